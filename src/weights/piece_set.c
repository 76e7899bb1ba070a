#include "weights/piece_set.h"

#include "base/memory.h"
#include "base/metrics.h"
#include "core/hash.h"
#include "core/swarm/bitmap.h"
#include "weights/piece_wire.h"

#include <stdlib.h>
#include <string.h>

/* A verified copy of a piece, of any of the manifests. */
struct stored_piece {
    uint32_t piece;
    struct digest digest;
    uint8_t *data;
    size_t size;
};

struct piece_set {
    char model[BACKEND_NAME_SIZE];
    uint64_t version;
    uint64_t version_key;
    struct manifest_candidates candidates;
    uint64_t candidate_in_use;      /* its id; 0: none */
    struct piece_manifest manifest; /* in use; borrows from the candidate */
    uint64_t manifest_key;
    uint32_t manifest_changes;
    bool has_equal_digests; /* pieces of the manifest in use have the same digest */
    bool proved; /* all pieces of the manifest in use were held, as many as are expected */
    struct stored_piece *stored;
    uint32_t stored_count;
    uint32_t *held; /* per piece of the manifest in use: index in `stored` plus 1; 0: not held */
    uint32_t held_count;
};

struct piece_set *piece_set_create(const char *model, uint64_t version)
{
    struct piece_set *set = memory_calloc(1, sizeof *set);
    snprintf(set->model, sizeof set->model, "%s", model);
    set->version = version;
    set->version_key = hash_pair(hash_name(model), version);
    return set;
}

void piece_set_destroy(struct piece_set *set)
{
    for (uint32_t i = 0; i < set->stored_count; i++)
        free(set->stored[i].data);
    free(set->stored);
    free(set->held);
    manifest_candidates_clear(&set->candidates);
    free(set);
}

const char *piece_set_model(const struct piece_set *set)
{
    return set->model;
}

uint64_t piece_set_version(const struct piece_set *set)
{
    return set->version;
}

uint64_t piece_set_version_key(const struct piece_set *set)
{
    return set->version_key;
}

/* --- manifest in use -------------------------------------------------------------------------- */

static const struct manifest_candidate *candidate_in_use(const struct piece_set *set)
{
    for (uint32_t i = 0; i < set->candidates.count; i++)
        if (set->candidates.list[i].id == set->candidate_in_use)
            return &set->candidates.list[i];
    return NULL;
}

static bool fits(const struct manifest_candidate *candidate, const struct stored_piece *stored)
{
    return stored->piece < candidate->count &&
           digest_equal(&candidate->digests[stored->piece], &stored->digest);
}

static uint64_t key_of(const struct manifest_candidate *candidate)
{
    return hash_bytes(candidate->digests, candidate->count * sizeof *candidate->digests) | 1;
}

static bool find_equal_digests(const struct manifest_candidate *candidate)
{
    for (uint32_t i = 0; i < candidate->count; i++)
        for (uint32_t j = 0; j < i; j++)
            if (digest_equal(&candidate->digests[i], &candidate->digests[j]))
                return true;
    return false;
}

/* \param candidate NULL: none */
static void use_candidate(struct piece_set *set, const struct manifest_candidate *candidate)
{
    set->manifest_changes++;
    set->proved = false;
    set->held_count = 0;
    free(set->held);
    set->held = NULL;
    set->manifest_key = 0;
    set->candidate_in_use = candidate ? candidate->id : 0;
    set->manifest = (struct piece_manifest){.version = set->version};
    if (!candidate)
        return;
    set->manifest.digests = candidate->digests;
    set->manifest.count = candidate->count;
    set->manifest_key = key_of(candidate);
    set->has_equal_digests = find_equal_digests(candidate);
    set->held = memory_calloc(candidate->count, sizeof *set->held);
    for (uint32_t i = 0; i < set->stored_count; i++) {
        if (!fits(candidate, &set->stored[i]))
            continue;
        set->held[set->stored[i].piece] = i + 1;
        set->held_count++;
    }
}

/* Each piece was compared with what was sent for its number, so a manifest of which all are held is
 * right, if it has as many as there are. */
static void update_proved(struct piece_set *set)
{
    set->proved = set->candidate_in_use && set->candidates.expected_pieces &&
                  set->held_count == set->manifest.count;
}

/* A manifest that is proved stays in use. */
static void choose_manifest(struct piece_set *set)
{
    const struct manifest_candidate *in_use = candidate_in_use(set);
    if (in_use && set->proved)
        return;
    uint32_t best = manifest_candidates_best(&set->candidates);
    const struct manifest_candidate *candidate =
        best == MANIFEST_NONE ? NULL : &set->candidates.list[best];
    if (set->candidate_in_use != (candidate ? candidate->id : 0))
        use_candidate(set, candidate);
    update_proved(set);
}

void piece_set_expect(struct piece_set *set, uint32_t pieces)
{
    manifest_candidates_expect(&set->candidates, pieces);
    if (!candidate_in_use(set))
        set->proved = false;
    choose_manifest(set);
}

static enum status check_manifest(const struct piece_set *set,
                                  const struct piece_manifest *manifest)
{
    uint32_t expected = set->candidates.expected_pieces;
    if (manifest->version != set->version)
        return status_fail(STATUS_INVALID, "manifest has version %llu, expected %llu",
                           (unsigned long long)manifest->version, (unsigned long long)set->version);
    if (manifest->model[0] && strcmp(manifest->model, set->model) != 0)
        return status_fail(STATUS_INVALID, "manifest is of model %s, expected %s", manifest->model,
                           set->model);
    if (manifest->count > PIECE_MAX_COUNT)
        return status_fail(STATUS_INVALID, "manifest has %u pieces, more than %u", manifest->count,
                           PIECE_MAX_COUNT);
    if (expected && manifest->count != expected)
        return status_fail(STATUS_INVALID, "manifest has %u pieces, configured are %u",
                           manifest->count, expected);
    return STATUS_OK;
}

enum status piece_set_add_manifest(struct piece_set *set, enum manifest_sender sender,
                                   const char *body, size_t size)
{
    struct piece_manifest manifest;
    enum status status = platform_read_manifest(body, size, &manifest);
    if (status == STATUS_OK)
        status = check_manifest(set, &manifest);
    if (status == STATUS_OK && !set->proved) {
        struct manifest_reading reading = {.sender = sender,
                                           .digests = manifest.digests,
                                           .count = manifest.count,
                                           .body = body,
                                           .body_size = size};
        manifest_candidates_add(&set->candidates, &reading);
        choose_manifest(set);
    }
    piece_manifest_clear(&manifest);
    return status;
}

const struct piece_manifest *piece_set_manifest(const struct piece_set *set)
{
    return set->candidate_in_use ? &set->manifest : NULL;
}

uint64_t piece_set_manifest_key(const struct piece_set *set)
{
    return set->manifest_key;
}

uint32_t piece_set_manifest_changes(const struct piece_set *set)
{
    return set->manifest_changes;
}

bool piece_set_manifest_is_trusted(const struct piece_set *set)
{
    const struct manifest_candidate *in_use = candidate_in_use(set);
    return in_use && (set->proved || manifest_candidate_is_trusted(&set->candidates, in_use));
}

bool piece_set_needs_readings(const struct piece_set *set)
{
    return set->candidates.needs_readings;
}

const char *piece_set_manifest_body(const struct piece_set *set, size_t *size)
{
    const struct manifest_candidate *in_use = candidate_in_use(set);
    *size = in_use ? in_use->body_size : 0;
    return in_use ? in_use->body : NULL;
}

/* --- pieces ----------------------------------------------------------------------------------- */

bool piece_set_wants_equal_digest(const struct piece_set *set, const uint64_t *wanted,
                                  uint32_t piece)
{
    const struct digest *digests = set->manifest.digests;
    for (uint32_t i = 0; set->has_equal_digests && i < set->manifest.count; i++)
        if (i != piece && bitmap_get(wanted, i) && digest_equal(&digests[i], &digests[piece]))
            return true;
    return false;
}

/* \return number of the piece that was asked for and has this digest; `count` if there is none, or
 * more than one */
static uint32_t find_piece(const struct digest *digests, uint32_t count,
                           const struct received_piece *received, const struct digest *digest)
{
    uint32_t found = count;
    for (uint32_t i = 0; i < count && i < received->wanted_bits; i++) {
        if (!bitmap_get(received->wanted, i) || !digest_equal(digest, &digests[i]))
            continue;
        if (found < count)
            return count;
        found = i;
    }
    return found;
}

static bool is_stored(const struct piece_set *set, uint32_t piece, const struct digest *digest)
{
    for (uint32_t i = 0; i < set->stored_count; i++)
        if (set->stored[i].piece == piece && digest_equal(&set->stored[i].digest, digest))
            return true;
    return false;
}

static void store_piece(struct piece_set *set, uint32_t piece, const struct digest *digest,
                        const struct received_piece *received)
{
    set->stored = memory_realloc(set->stored, (set->stored_count + 1) * sizeof *set->stored);
    set->stored[set->stored_count++] =
        (struct stored_piece){.piece = piece,
                              .digest = *digest,
                              .data = memory_duplicate(received->bytes, received->size),
                              .size = received->size};
    metric_add(METRIC_CHUNK_BYTES, received->size);
}

static bool holds_all_of(const struct piece_set *set, const struct manifest_candidate *candidate)
{
    uint32_t held = 0;
    for (uint32_t i = 0; i < set->stored_count; i++)
        held += fits(candidate, &set->stored[i]);
    return held == candidate->count;
}

/* Stores a piece of a manifest that is not in use, which is used once all of its pieces are held:
 * that proves it. */
static enum piece_add_result add_for_another(struct piece_set *set,
                                             const struct received_piece *received,
                                             const struct digest *digest)
{
    for (uint32_t i = 0; i < set->candidates.count; i++) {
        const struct manifest_candidate *candidate = &set->candidates.list[i];
        uint32_t piece = find_piece(candidate->digests, candidate->count, received, digest);
        if (piece == candidate->count)
            continue;
        if (!is_stored(set, piece, digest))
            store_piece(set, piece, digest, received);
        if (set->candidates.expected_pieces && holds_all_of(set, candidate)) {
            use_candidate(set, candidate);
            update_proved(set);
        }
        return PIECE_KEPT;
    }
    return PIECE_UNKNOWN;
}

static enum piece_add_result take_as_evidence(struct piece_set *set,
                                              const struct received_piece *received,
                                              const struct digest *digest)
{
    uint32_t piece = 0;
    if (received->sender != MANIFEST_SENDER_ORIGIN || set->proved)
        return PIECE_UNKNOWN;
    while (piece < received->wanted_bits && !bitmap_get(received->wanted, piece))
        piece++;
    if (!manifest_candidates_refute(&set->candidates, piece, digest))
        return PIECE_UNKNOWN;
    choose_manifest(set);
    return PIECE_REFUTES;
}

enum piece_add_result piece_set_add(struct piece_set *set, const struct received_piece *received,
                                    uint32_t *piece)
{
    struct digest digest = digest_of(received->bytes, received->size);
    *piece = find_piece(set->manifest.digests, set->manifest.count, received, &digest);
    if (*piece == set->manifest.count) {
        enum piece_add_result result = add_for_another(set, received, &digest);
        return result == PIECE_KEPT ? result : take_as_evidence(set, received, &digest);
    }
    if (set->held[*piece])
        return PIECE_DUPLICATE;
    store_piece(set, *piece, &digest, received);
    set->held[*piece] = set->stored_count;
    set->held_count++;
    update_proved(set);
    return PIECE_ADDED;
}

const uint8_t *piece_set_data(const struct piece_set *set, uint32_t piece, size_t *size)
{
    *size = 0;
    if (piece >= set->manifest.count || !set->held[piece])
        return NULL;
    const struct stored_piece *stored = &set->stored[set->held[piece] - 1];
    *size = stored->size;
    return stored->data;
}

uint32_t piece_set_held(const struct piece_set *set)
{
    return set->held_count;
}

bool piece_set_complete(const struct piece_set *set)
{
    return set->candidate_in_use && set->held_count == set->manifest.count &&
           piece_set_manifest_is_trusted(set);
}
