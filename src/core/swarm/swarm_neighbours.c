/**
 * Neighbours of a swarm, the chunks that they hold, and announcements to them.
 */
#include "core/swarm/swarm_internal.h"

#include "base/memory.h"
#include "core/overlay.h"

#include <stdlib.h>
#include <string.h>

#define FULL_UPDATE_INTERVAL 64 /* one update in so many is full, to repair lost state */

/* ---- neighbours ---- */

struct neighbour *swarm_find_neighbour(struct swarm *swarm, uint64_t id)
{
    for (uint32_t i = 0; i < swarm->neighbour_count; i++)
        if (swarm->neighbours[i].id == id)
            return &swarm->neighbours[i];
    return NULL;
}

static struct neighbour *add_neighbour(struct swarm *swarm, uint64_t now, uint64_t id, bool chosen)
{
    uint32_t index = swarm_plan_find(swarm->plan, id);
    if (index == SWARM_NO_MEMBER || id == swarm->self ||
        swarm->neighbour_count == SWARM_MAX_NEIGHBOURS)
        return NULL;
    struct neighbour *neighbour = &swarm->neighbours[swarm->neighbour_count++];
    *neighbour = (struct neighbour){.id = id, .chosen = chosen, .needs_full = true};
    neighbour->have = memory_calloc(swarm->words, sizeof(uint64_t));
    neighbour->zone = swarm->plan->members[index].zone;
    neighbour->region = swarm->plan->members[index].region;
    neighbour->last_heard = now;
    neighbour->wants_full = true;
    return neighbour;
}

static void clear_have_set(struct swarm *swarm, struct neighbour *neighbour)
{
    for (uint32_t chunk = 0; chunk < swarm->chunk_count; chunk++)
        if (bitmap_get(neighbour->have, chunk))
            swarm->availability[chunk]--;
    memset(neighbour->have, 0, swarm->words * sizeof(uint64_t));
    neighbour->have_count = 0;
}

static void remove_neighbour(struct swarm *swarm, struct neighbour *neighbour)
{
    clear_have_set(swarm, neighbour);
    free(neighbour->have);
    *neighbour = swarm->neighbours[--swarm->neighbour_count];
}

static bool is_neighbour(const void *context, uint64_t id)
{
    const struct swarm *swarm = context;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++)
        if (swarm->neighbours[i].id == id)
            return true;
    return false;
}

void swarm_fill_neighbours(struct swarm *swarm, uint64_t now)
{
    uint32_t chosen = 0;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++)
        chosen += swarm->neighbours[i].chosen;
    for (; chosen < swarm->settings.neighbours; chosen++) {
        struct overlay_query query = {
            .members = swarm->plan->members,
            .member_count = swarm->plan->member_count,
            .self = swarm->self,
            .region = swarm->region,
            .prefer_same_region = chosen % 2 == 0,
            .excluded = is_neighbour,
            .context = swarm,
        };
        uint64_t id = overlay_select_neighbour(&query);
        if (!id || !add_neighbour(swarm, now, id, true))
            return;
    }
}

void swarm_drop_former_members(struct swarm *swarm)
{
    for (uint32_t i = 0; i < swarm->neighbour_count;) {
        struct neighbour *neighbour = &swarm->neighbours[i];
        if (swarm_plan_find(swarm->plan, neighbour->id) == SWARM_NO_MEMBER)
            remove_neighbour(swarm, neighbour);
        else
            i++;
    }
}

void swarm_replace_silent_neighbours(struct swarm *swarm, uint64_t now)
{
    bool replaced = false;
    for (uint32_t i = 0; i < swarm->neighbour_count;) {
        struct neighbour *neighbour = &swarm->neighbours[i];
        bool silent = now - neighbour->last_heard >= swarm->settings.neighbour_timeout_us;
        if (silent && !neighbour->chosen) {
            remove_neighbour(swarm, neighbour);
            continue;
        }
        /* A selected neighbour is kept, as it may recover, but is no longer counted as selected. */
        if (silent) {
            neighbour->chosen = false;
            neighbour->last_heard = now;
            neighbour->backoff_until = now + swarm->settings.neighbour_timeout_us;
            replaced = true;
        }
        i++;
    }
    if (replaced)
        swarm_fill_neighbours(swarm, now);
}

/* ---- announcements ---- */

static bool needs_announcement(const struct swarm *swarm, const struct neighbour *neighbour)
{
    return neighbour->announced < swarm->held || neighbour->needs_full || neighbour->wants_full;
}

static void announce_to(struct swarm *swarm, uint64_t now, struct neighbour *neighbour)
{
    bool full = neighbour->needs_full || neighbour->sequence_out % FULL_UPDATE_INTERVAL == 0;
    struct swarm_update update = {
        .rollout = swarm->rollout,
        .sequence = ++neighbour->sequence_out,
        .upload_queue = swarm->upload_queue,
        .have_all = full ? swarm->have : NULL,
        .have_words = full ? (uint32_t)swarm->words : 0,
        .have_new = &swarm->arrivals[neighbour->announced],
        .new_count = full ? 0 : swarm->held - neighbour->announced,
        .want_full = neighbour->wants_full,
    };
    neighbour->announced = swarm->held;
    neighbour->needs_full = false;
    neighbour->last_sent = now;
    swarm->driver.announce(swarm->driver.context, neighbour->id, &update);
}

/* New chunks are announced at once, but at most every `announce_us`; otherwise sends heartbeats. */
void swarm_send_announcements(struct swarm *swarm, uint64_t now)
{
    uint64_t heartbeat = swarm->settings.neighbour_timeout_us / 4;
    for (uint32_t i = 0; i < swarm->neighbour_count; i++) {
        struct neighbour *neighbour = &swarm->neighbours[i];
        uint64_t wait =
            needs_announcement(swarm, neighbour) ? swarm->settings.announce_us : heartbeat;
        if (!neighbour->last_sent || now - neighbour->last_sent >= wait)
            announce_to(swarm, now, neighbour);
    }
}

static void record_neighbour_chunk(struct swarm *swarm, struct neighbour *neighbour, uint32_t chunk)
{
    if (chunk >= swarm->chunk_count || bitmap_get(neighbour->have, chunk))
        return;
    bitmap_set(neighbour->have, chunk);
    neighbour->have_count++;
    swarm->availability[chunk]++;
}

static void replace_have_set(struct swarm *swarm, struct neighbour *neighbour, const uint64_t *have)
{
    clear_have_set(swarm, neighbour);
    for (size_t word = 0; word < swarm->words; word++)
        for (uint64_t bits = have[word]; bits; bits &= bits - 1)
            record_neighbour_chunk(swarm, neighbour,
                                   (uint32_t)(word * BITMAP_WORD_BITS) +
                                       (uint32_t)__builtin_ctzll(bits));
}

bool swarm_apply_update(struct swarm *swarm, uint64_t now, uint64_t peer,
                        const struct swarm_update *update)
{
    if (update->rollout != swarm->rollout || !swarm->plan)
        return false;
    struct neighbour *neighbour = swarm_find_neighbour(swarm, peer);
    if (!neighbour)
        neighbour = add_neighbour(swarm, now, peer, false);
    if (!neighbour)
        return false;
    swarm_clear_unresponsive(swarm, peer);
    neighbour->last_heard = now;
    neighbour->upload_queue = update->upload_queue;
    neighbour->needs_full |= update->want_full;
    if (update->have_all) {
        replace_have_set(swarm, neighbour, update->have_all);
        neighbour->wants_full = false;
    } else if (update->sequence != neighbour->sequence_in + 1) {
        neighbour->wants_full = true; /* an update was lost or reordered */
    }
    for (uint32_t i = 0; i < update->new_count; i++)
        record_neighbour_chunk(swarm, neighbour, update->have_new[i]);
    neighbour->sequence_in = update->sequence;
    return true;
}
