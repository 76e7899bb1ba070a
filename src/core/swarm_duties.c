/**
 * This node's places in the ladders of chunks: reading from the origin, and asking those before.
 */
#include "core/swarm_internal.h"

#include "base/memory.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define PENDING_PATIENCE 8 /* "pending" answers before a later rank goes on */

/* ---- duties: this node's places in the ladders ---- */

static void add_duty(struct swarm *swarm, uint32_t chunk, uint32_t position, uint32_t *capacity)
{
    if (swarm->duty_count == *capacity) {
        *capacity = *capacity ? 2 * *capacity : 32;
        swarm->duties = memory_realloc(swarm->duties, *capacity * sizeof *swarm->duties);
    }
    struct duty *duty = &swarm->duties[swarm->duty_count++];
    *duty = (struct duty){.chunk = chunk, .position = (uint8_t)position};
    duty->not_before = swarm->started + swarm->settings.join_hold_us;
    if (position >= swarm->settings.origin_budget)
        duty->not_before +=
            swarm->settings.origin_copy_us + position * swarm->settings.origin_step_us;
    else
        duty->next = (uint8_t)position;
}

static int compare_duties(const void *left, const void *right)
{
    const struct duty *a = left;
    const struct duty *b = right;
    if (a->position != b->position)
        return a->position < b->position ? -1 : 1;
    return a->chunk < b->chunk ? -1 : a->chunk > b->chunk;
}

void swarm_collect_duties(struct swarm *swarm)
{
    uint32_t self = swarm_plan_find(swarm->plan, swarm->self);
    uint32_t capacity = 0;
    free(swarm->duties);
    swarm->duties = NULL;
    swarm->duty_count = 0;
    for (uint32_t chunk = 0; chunk < swarm->chunk_count && self != SWARM_NO_MEMBER; chunk++) {
        uint32_t ladder[SWARM_LADDER_SIZE];
        uint32_t length = swarm_plan_ladder(swarm->plan, chunk, swarm->region, ladder);
        for (uint32_t position = 0; position < length; position++)
            if (ladder[position] == self && !bitmap_get(swarm->have, chunk))
                add_duty(swarm, chunk, position, &capacity);
    }
    if (swarm->duty_count)
        qsort(swarm->duties, swarm->duty_count, sizeof *swarm->duties, compare_duties);
}

/* ---- later ranks ---- */

static bool is_suspect(const struct swarm *swarm, uint64_t id)
{
    for (uint32_t i = 0; i < swarm->suspect_count; i++)
        if (swarm->suspects[i] == id)
            return true;
    return false;
}

static void add_suspect(struct swarm *swarm, uint64_t id)
{
    if (is_suspect(swarm, id))
        return;
    swarm->suspects =
        memory_realloc(swarm->suspects, (swarm->suspect_count + 1) * sizeof(uint64_t));
    swarm->suspects[swarm->suspect_count++] = id;
}

void swarm_clear_suspect(struct swarm *swarm, uint64_t id)
{
    for (uint32_t i = 0; i < swarm->suspect_count; i++)
        if (swarm->suspects[i] == id)
            swarm->suspects[i] = swarm->suspects[--swarm->suspect_count];
}

static struct duty *find_duty(struct swarm *swarm, uint32_t chunk)
{
    for (uint32_t i = 0; i < swarm->duty_count; i++)
        if (swarm->duties[i].chunk == chunk)
            return &swarm->duties[i];
    return NULL;
}

/* Ask the next entry before us, or read from the origin when none is left. */
static void advance_duty(struct swarm *swarm, uint64_t now, struct duty *duty)
{
    uint32_t ladder[SWARM_LADDER_SIZE];
    swarm_plan_ladder(swarm->plan, duty->chunk, swarm->region, ladder);
    while (duty->next < duty->position &&
           is_suspect(swarm, swarm->plan->members[ladder[duty->next]].id))
        duty->next++;
    assert(duty->next <= duty->position);
    bool from_origin = duty->next == duty->position;
    if (from_origin && (swarm->origin_reads || swarm->origin_backoff_until > now))
        return;
    duty->asking = true;
    uint64_t source = from_origin ? SWARM_ORIGIN : swarm->plan->members[ladder[duty->next]].id;
    swarm_start_request(swarm, now, source, duty->chunk, !from_origin);
}

/* With a budget of several copies the origin is one more uploader, used even for what neighbours
 * hold. Otherwise it is read only for what nobody near has. */
static bool duty_due(const struct swarm *swarm, const struct duty *duty, uint64_t now)
{
    uint32_t budget = swarm->settings.origin_budget;
    bool budgeted = budget > 1 && duty->position < budget;
    return !duty->asking && duty->not_before <= now && bitmap_get(swarm->open, duty->chunk) &&
           (budgeted || swarm->availability[duty->chunk] == 0);
}

void swarm_drop_done_duties(struct swarm *swarm, uint32_t chunk)
{
    if (!swarm->duty_count || !find_duty(swarm, chunk))
        return;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < swarm->duty_count; i++)
        if (!bitmap_get(swarm->have, swarm->duties[i].chunk))
            swarm->duties[kept++] = swarm->duties[i];
    swarm->duty_count = kept;
}

void swarm_perform_duties(struct swarm *swarm, uint64_t now)
{
    uint32_t room = SWARM_MAX_IN_FLIGHT - swarm->request_count;
    for (uint32_t i = 0; i < swarm->duty_count && room > SWARM_MAX_IN_FLIGHT / 4; i++) {
        if (!duty_due(swarm, &swarm->duties[i], now))
            continue;
        advance_duty(swarm, now, &swarm->duties[i]);
        room = SWARM_MAX_IN_FLIGHT - swarm->request_count;
    }
}

void swarm_duty_failed(struct swarm *swarm, uint64_t now, const struct request *request,
                       enum swarm_failure failure)
{
    struct duty *duty = find_duty(swarm, request->chunk);
    if (!duty || !duty->asking) /* asked under an earlier plan */
        return;
    duty->asking = false;
    if (request->source == SWARM_ORIGIN)
        return;
    if (!request->probe)
        return;
    bool waits = failure == SWARM_FAILURE_BUSY || failure == SWARM_FAILURE_PENDING;
    if (waits && duty->pending++ < PENDING_PATIENCE) {
        duty->not_before = now + swarm->settings.origin_step_us;
        return;
    }
    if (failure == SWARM_FAILURE_ERROR)
        add_suspect(swarm, request->source);
    duty->pending = 0;
    duty->next++;
}
