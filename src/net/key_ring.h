/**
 * CURVE keys (ZeroMQ) for the links between the nodes of a fleet.
 *
 * File format: a line `SLOT PUBLIC SECRET` for each of the slots `a` and `b` (Z85, 40 characters
 * each), and a line `use SLOT`. Every node listens with both slots, on ports KEY_SLOT_PORT_OFFSET
 * apart, and connects with the active slot. So keys are rotated without downtime: write new keys to
 * the inactive slot on every node, then change `use` node by node. A link with a key that is in
 * neither slot is rejected.
 */
#ifndef SHUNTRUN_KEY_RING_H
#define SHUNTRUN_KEY_RING_H

#include "base/findings.h"
#include "base/status.h"

#include <stdbool.h>
#include <time.h>

#define KEY_SLOTS 2
#define KEY_SLOT_PORT_OFFSET 10
#define KEY_TEXT_SIZE 41 /* Z85 text of a key and its NUL, bytes */

struct key_slot {
    bool present;
    char public_key[KEY_TEXT_SIZE];
    char secret_key[KEY_TEXT_SIZE];
};

struct key_ring {
    bool enabled;         /**< false: links are neither encrypted nor authenticated */
    unsigned active_slot; /**< slot whose keys this node connects with */
    struct key_slot slots[KEY_SLOTS];
};

/** \brief Read a key file; findings contain line numbers, never keys. \return STATUS_INVALID, with
 * `ring` unchanged, after any error */
enum status key_ring_read(const char *path, struct key_ring *ring, struct findings *findings);

/** \brief Modification time of a file, 0 when it cannot be read. */
struct timespec key_ring_file_modified_at(const char *path);

/** \brief Whether one of the slots contains this public key (Z85). */
bool key_ring_contains(const struct key_ring *ring, const char *public_key);

/** Command `shuntrun keys`: print a key file with new keys. */
int keys_main(int argc, char **argv);

#endif
