/**
 * Keys of the links between own processes (ZeroMQ CURVE), shared by the nodes of a fleet.
 *
 * File: one line `SLOT PUBLIC SECRET` for each of the slots `a` and `b` (Z85, 40 characters each),
 * and one line `use SLOT`. Every node listens with both slots, on ports KEY_SLOT_PORT_OFFSET apart,
 * and connects with the one in use, so that keys are exchanged without a stop: put new keys into
 * the slot that is not used, on every node; then change `use`, node by node. A link with a key that
 * is in neither slot is refused.
 */
#ifndef SHUNTRUN_KEY_RING_H
#define SHUNTRUN_KEY_RING_H

#include "base/findings.h"
#include "base/status.h"

#include <stdbool.h>
#include <time.h>

#define KEY_SLOTS 2
#define KEY_SLOT_PORT_OFFSET 10
#define KEY_TEXT_SIZE 41

struct key_slot {
    bool present;
    char public_key[KEY_TEXT_SIZE];
    char secret_key[KEY_TEXT_SIZE];
};

struct key_ring {
    bool enabled;         /**< false: links are neither encrypted nor authenticated */
    unsigned active_slot; /**< slot with which this node connects */
    struct key_slot slots[KEY_SLOTS];
};

/** \brief Read a key file; findings name lines, never keys. \return STATUS_INVALID with findings */
enum status key_ring_read(const char *path, struct key_ring *ring, struct findings *findings);

/** \brief Time of the last change of a file, 0 when it cannot be told. */
struct timespec key_ring_file_modified_at(const char *path);

/** \brief Whether a client's key (Z85) is in one of the slots. */
bool key_ring_contains(const struct key_ring *ring, const char *public_key);

/** `shuntrun keys`: print a key file with fresh keys. */
int keys_main(int argc, char **argv);

#endif
