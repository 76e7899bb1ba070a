#include "net/key_ring.h"

#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <zmq.h>

#define LINE_SIZE 256

static void add_line_error(struct findings *findings, const char *path, int line, const char *text)
{
    char place[300];
    snprintf(place, sizeof place, "%s:%d", path, line);
    findings_add(findings, FINDING_ERROR, place, "%s", text);
}

static int slot_from_name(const char *name)
{
    if (strcmp(name, "a") == 0)
        return 0;
    return strcmp(name, "b") == 0 ? 1 : -1;
}

/* Whether the public key belongs to the secret key, from which libzmq derives it. */
static bool is_key_pair(const char *public_key, const char *secret_key)
{
    char derived[KEY_TEXT_SIZE];
    return strlen(public_key) == KEY_TEXT_SIZE - 1 && strlen(secret_key) == KEY_TEXT_SIZE - 1 &&
           zmq_curve_public(derived, secret_key) == 0 && strcmp(derived, public_key) == 0;
}

static void read_slot(struct key_ring *ring, int slot, const char *public_key,
                      const char *secret_key, const char *path, int line, struct findings *findings)
{
    if (!is_key_pair(public_key, secret_key)) {
        add_line_error(findings, path, line, "not a matching pair of CURVE keys");
        return;
    }
    ring->slots[slot].present = true;
    strcpy(ring->slots[slot].public_key, public_key);
    strcpy(ring->slots[slot].secret_key, secret_key);
}

/* \return the slot of a `use` line, or -1 for other lines */
static int read_line(struct key_ring *ring, const char *text, const char *path, int line,
                     struct findings *findings)
{
    char words[3][LINE_SIZE];
    int count = sscanf(text, "%255s %255s %255s", words[0], words[1], words[2]);
    if (count <= 0 || words[0][0] == '#')
        return -1;
    if (count == 2 && strcmp(words[0], "use") == 0 && slot_from_name(words[1]) >= 0)
        return slot_from_name(words[1]);
    if (count == 3 && slot_from_name(words[0]) >= 0)
        read_slot(ring, slot_from_name(words[0]), words[1], words[2], path, line, findings);
    else
        add_line_error(findings, path, line,
                       "expected `a PUBLIC SECRET`, `b PUBLIC SECRET` or `use a|b`");
    return -1;
}

enum status key_ring_read(const char *path, struct key_ring *ring, struct findings *findings)
{
    struct key_ring parsed = {.enabled = true};
    char text[LINE_SIZE];
    size_t before = findings->error_count;
    int active_slot = -1;
    FILE *stream = fopen(path, "r");
    if (!stream) {
        findings_add(findings, FINDING_ERROR, path, "%s", strerror(errno));
        return status_fail(STATUS_INVALID, "the key file cannot be read");
    }
    for (int line = 1; fgets(text, sizeof text, stream); line++) {
        int slot = read_line(&parsed, text, path, line, findings);
        active_slot = slot >= 0 ? slot : active_slot;
    }
    fclose(stream);
    if (active_slot < 0 || !parsed.slots[active_slot].present)
        findings_add(findings, FINDING_ERROR, path, "`use` must name a slot that has keys");
    if (findings->error_count > before)
        return status_fail(STATUS_INVALID, "the key file has errors");
    parsed.active_slot = (unsigned)active_slot;
    *ring = parsed;
    return STATUS_OK;
}

struct timespec key_ring_file_modified_at(const char *path)
{
    struct stat information = {0};
    stat(path, &information);
    return information.st_mtim;
}

bool key_ring_contains(const struct key_ring *ring, const char *public_key)
{
    for (unsigned slot = 0; slot < KEY_SLOTS; slot++)
        if (ring->slots[slot].present && strcmp(ring->slots[slot].public_key, public_key) == 0)
            return true;
    return false;
}

int keys_main(int argc, char **argv)
{
    static const char doc[] =
        "Print a key file with fresh keys in slot a, for `control-keys-file`.\v"
        "Keep it readable by the daemons' user only. Exit status 0, 1 when libzmq has no CURVE.";
    struct argp argp = {NULL, NULL, NULL, doc, NULL, NULL, NULL};
    char public_key[KEY_TEXT_SIZE];
    char secret_key[KEY_TEXT_SIZE];
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    if (zmq_curve_keypair(public_key, secret_key) != 0) {
        fputs("this libzmq has no CURVE\n", stderr);
        return 1;
    }
    printf("a %s %s\nuse a\n", public_key, secret_key);
    return 0;
}
