#include "core/weights/manifest_candidates.h"

#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

static void remove_candidate(struct manifest_candidates *candidates, uint32_t index)
{
    free(candidates->list[index].digests);
    free(candidates->list[index].body);
    candidates->count--;
    memmove(&candidates->list[index], &candidates->list[index + 1],
            (candidates->count - index) * sizeof *candidates->list);
}

void manifest_candidates_clear(struct manifest_candidates *candidates)
{
    while (candidates->count)
        remove_candidate(candidates, candidates->count - 1);
    free(candidates->unknown);
    candidates->unknown = NULL;
    candidates->unknown_count = 0;
}

static bool has_expected_count(const struct manifest_candidates *candidates, uint32_t count)
{
    return !candidates->expected_pieces || count == candidates->expected_pieces;
}

void manifest_candidates_expect(struct manifest_candidates *candidates, uint32_t pieces)
{
    candidates->expected_pieces = pieces;
    for (uint32_t i = candidates->count; i-- > 0;)
        if (!has_expected_count(candidates, candidates->list[i].count))
            remove_candidate(candidates, i);
}

/* --- support ---------------------------------------------------------------------------------- */

bool manifest_candidate_is_trusted(const struct manifest_candidates *candidates,
                                   const struct manifest_candidate *candidate)
{
    return candidate->readings >= MANIFEST_READINGS_TRUSTED ||
           (candidate->told_at && !candidates->needs_readings);
}

/* Readings of the origin count more than what a node says, which may have been refuted since. */
static int support_level(const struct manifest_candidates *candidates,
                         const struct manifest_candidate *candidate)
{
    if (candidate->readings >= MANIFEST_READINGS_TRUSTED)
        return 3;
    if (manifest_candidate_is_trusted(candidates, candidate))
        return 2;
    return candidate->readings > 0;
}

/* Of two candidates with the same kind of support, the one received last has more: whoever sent the
 * other one may have learned better. */
static bool has_more_support(const struct manifest_candidates *candidates,
                             const struct manifest_candidate *one,
                             const struct manifest_candidate *other)
{
    int level = support_level(candidates, one);
    int other_level = support_level(candidates, other);
    uint64_t last = one->read_at > one->told_at ? one->read_at : one->told_at;
    uint64_t other_last = other->read_at > other->told_at ? other->read_at : other->told_at;
    return level != other_level ? level > other_level : last > other_last;
}

uint32_t manifest_candidates_best(const struct manifest_candidates *candidates)
{
    uint32_t best = MANIFEST_NONE;
    for (uint32_t i = 0; i < candidates->count; i++)
        if (best == MANIFEST_NONE ||
            has_more_support(candidates, &candidates->list[i], &candidates->list[best]))
            best = i;
    return best;
}

/* --- manifests received ----------------------------------------------------------------------- */

static uint32_t find_candidate(const struct manifest_candidates *candidates,
                               const struct manifest_reading *reading)
{
    for (uint32_t i = 0; i < candidates->count; i++)
        if (candidates->list[i].count == reading->count &&
            memcmp(candidates->list[i].digests, reading->digests,
                   reading->count * sizeof *reading->digests) == 0)
            return i;
    return MANIFEST_NONE;
}

static void make_room(struct manifest_candidates *candidates)
{
    uint32_t least = 0;
    if (candidates->count < MANIFEST_CANDIDATES_MAX)
        return;
    for (uint32_t i = 1; i < candidates->count; i++)
        if (has_more_support(candidates, &candidates->list[least], &candidates->list[i]))
            least = i;
    remove_candidate(candidates, least);
}

static uint32_t append_candidate(struct manifest_candidates *candidates,
                                 const struct manifest_reading *reading)
{
    make_room(candidates);
    uint32_t index = candidates->count++;
    candidates->list[index] = (struct manifest_candidate){
        .id = ++candidates->events,
        .digests = memory_duplicate(reading->digests, reading->count * sizeof *reading->digests),
        .count = reading->count,
        .body = memory_duplicate(reading->body, reading->body_size),
        .body_size = reading->body_size};
    return index;
}

uint32_t manifest_candidates_add(struct manifest_candidates *candidates,
                                 const struct manifest_reading *reading)
{
    if (!has_expected_count(candidates, reading->count))
        return MANIFEST_NONE;
    uint32_t index = find_candidate(candidates, reading);
    if (index == MANIFEST_NONE)
        index = append_candidate(candidates, reading);
    struct manifest_candidate *candidate = &candidates->list[index];
    candidates->events++;
    if (reading->sender == MANIFEST_SENDER_ORIGIN) {
        candidate->readings++;
        candidate->read_at = candidates->events;
    } else {
        candidate->told_at = candidates->events;
    }
    return index;
}

/* --- evidence --------------------------------------------------------------------------------- */

/* \return whether the origin sent this piece with this digest before; remembers it */
static bool was_sent_before(struct manifest_candidates *candidates, uint32_t piece,
                            const struct digest *digest)
{
    for (uint32_t i = 0; i < candidates->unknown_count; i++) {
        struct unknown_piece *unknown = &candidates->unknown[i];
        if (unknown->piece != piece)
            continue;
        bool same = digest_equal(&unknown->digest, digest);
        unknown->digest = *digest;
        return same;
    }
    candidates->unknown = memory_realloc(candidates->unknown, (candidates->unknown_count + 1) *
                                                                  sizeof(struct unknown_piece));
    candidates->unknown[candidates->unknown_count++] = (struct unknown_piece){piece, *digest};
    return false;
}

static bool has_piece(const struct manifest_candidate *candidate, uint32_t piece,
                      const struct digest *digest)
{
    return piece < candidate->count && digest_equal(&candidate->digests[piece], digest);
}

/* The piece may be what is wrong, so a refuted candidate is not banned: it is trusted again when
 * the origin sends it again. */
bool manifest_candidates_refute(struct manifest_candidates *candidates, uint32_t piece,
                                const struct digest *digest)
{
    if (!was_sent_before(candidates, piece, digest))
        return false;
    for (uint32_t i = 0; i < candidates->count; i++) {
        if (has_piece(&candidates->list[i], piece, digest))
            continue;
        candidates->list[i].readings = 0;
        candidates->list[i].read_at = 0;
        candidates->list[i].told_at = 0;
    }
    candidates->unknown_count = 0;
    candidates->needs_readings = true;
    return true;
}
