/**
 * Read assignments: the chunks whose preference lists name this node, when it reads them from the
 * origin, and when it first asks the members ranked before it.
 */
#include "core/swarm/swarm_internal.h"

#include "base/memory.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PENDING_ANSWERS 8 /* busy or pending answers of one member before the next is asked */

/* ---- list of assignments ---- */

static void add_assignment(struct swarm *swarm, uint32_t chunk, uint32_t position,
                           uint32_t *capacity)
{
    if (swarm->assignment_count == *capacity) {
        *capacity = *capacity ? 2 * *capacity : 32;
        swarm->assignments =
            memory_realloc(swarm->assignments, *capacity * sizeof *swarm->assignments);
    }
    struct read_assignment *assignment = &swarm->assignments[swarm->assignment_count++];
    *assignment = (struct read_assignment){.chunk = chunk, .position = (uint8_t)position};
    assignment->not_before = swarm->started + swarm->settings.join_delay_us;
    if (position >= swarm->settings.origin_budget)
        assignment->not_before +=
            swarm->settings.origin_copy_us + position * swarm->settings.origin_rank_delay_us;
    else
        assignment->next = (uint8_t)position;
}

static int compare_assignments(const void *left, const void *right)
{
    const struct read_assignment *a = left;
    const struct read_assignment *b = right;
    if (a->position != b->position)
        return a->position < b->position ? -1 : 1;
    return a->chunk < b->chunk ? -1 : a->chunk > b->chunk;
}

void swarm_collect_assignments(struct swarm *swarm)
{
    uint32_t self = swarm_plan_find(swarm->plan, swarm->self);
    uint32_t capacity = 0;
    free(swarm->assignments);
    swarm->assignments = NULL;
    swarm->assignment_count = 0;
    for (uint32_t chunk = 0; chunk < swarm->chunk_count && self != SWARM_NO_MEMBER; chunk++) {
        uint32_t preferences[SWARM_PREFERENCE_LIST_SIZE];
        uint32_t length =
            swarm_plan_preference_list(swarm->plan, chunk, swarm->region, preferences);
        for (uint32_t position = 0; position < length; position++)
            if (preferences[position] == self && !bitmap_get(swarm->have, chunk))
                add_assignment(swarm, chunk, position, &capacity);
    }
    if (swarm->assignment_count)
        qsort(swarm->assignments, swarm->assignment_count, sizeof *swarm->assignments,
              compare_assignments);
}

/* ---- probes and origin reads ---- */

static bool is_unresponsive(const struct swarm *swarm, uint64_t id)
{
    for (uint32_t i = 0; i < swarm->unresponsive_count; i++)
        if (swarm->unresponsive[i] == id)
            return true;
    return false;
}

static void add_unresponsive(struct swarm *swarm, uint64_t id)
{
    if (is_unresponsive(swarm, id))
        return;
    swarm->unresponsive =
        memory_realloc(swarm->unresponsive, (swarm->unresponsive_count + 1) * sizeof(uint64_t));
    swarm->unresponsive[swarm->unresponsive_count++] = id;
}

void swarm_clear_unresponsive(struct swarm *swarm, uint64_t id)
{
    for (uint32_t i = 0; i < swarm->unresponsive_count; i++)
        if (swarm->unresponsive[i] == id)
            swarm->unresponsive[i] = swarm->unresponsive[--swarm->unresponsive_count];
}

static struct read_assignment *find_assignment(struct swarm *swarm, uint32_t chunk)
{
    for (uint32_t i = 0; i < swarm->assignment_count; i++)
        if (swarm->assignments[i].chunk == chunk)
            return &swarm->assignments[i];
    return NULL;
}

/* Asks the next member ranked before this node, or reads from the origin if none is left. */
static void advance_assignment(struct swarm *swarm, uint64_t now,
                               struct read_assignment *assignment)
{
    uint32_t preferences[SWARM_PREFERENCE_LIST_SIZE];
    swarm_plan_preference_list(swarm->plan, assignment->chunk, swarm->region, preferences);
    while (assignment->next < assignment->position &&
           is_unresponsive(swarm, swarm->plan->members[preferences[assignment->next]].id))
        assignment->next++;
    assert(assignment->next <= assignment->position);
    bool from_origin = assignment->next == assignment->position;
    if (from_origin && (swarm->origin_reads || swarm->origin_backoff_until > now))
        return;
    assignment->asking = true;
    uint64_t source =
        from_origin ? SWARM_ORIGIN : swarm->plan->members[preferences[assignment->next]].id;
    swarm_start_request(swarm, now, source, assignment->chunk, !from_origin);
}

/* With an origin budget of several copies, the origin serves as an additional uploader, even for
 * chunks that neighbours hold. Otherwise it is read only for chunks that no neighbour has. */
static bool assignment_is_due(const struct swarm *swarm, const struct read_assignment *assignment,
                              uint64_t now)
{
    uint32_t budget = swarm->settings.origin_budget;
    bool within_budget = budget > 1 && assignment->position < budget;
    return !assignment->asking && assignment->not_before <= now &&
           bitmap_get(swarm->open, assignment->chunk) &&
           (within_budget || swarm->availability[assignment->chunk] == 0);
}

void swarm_drop_completed_assignments(struct swarm *swarm, uint32_t chunk)
{
    if (!swarm->assignment_count || !find_assignment(swarm, chunk))
        return;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < swarm->assignment_count; i++)
        if (!bitmap_get(swarm->have, swarm->assignments[i].chunk))
            swarm->assignments[kept++] = swarm->assignments[i];
    swarm->assignment_count = kept;
}

void swarm_start_due_assignments(struct swarm *swarm, uint64_t now)
{
    uint32_t room = SWARM_MAX_IN_FLIGHT - swarm->request_count;
    for (uint32_t i = 0; i < swarm->assignment_count && room > SWARM_MAX_IN_FLIGHT / 4; i++) {
        if (!assignment_is_due(swarm, &swarm->assignments[i], now))
            continue;
        advance_assignment(swarm, now, &swarm->assignments[i]);
        room = SWARM_MAX_IN_FLIGHT - swarm->request_count;
    }
}

void swarm_assignment_failed(struct swarm *swarm, uint64_t now, const struct request *request,
                             enum swarm_failure failure)
{
    struct read_assignment *assignment = find_assignment(swarm, request->chunk);
    if (!assignment || !assignment->asking) /* requested under an earlier plan */
        return;
    assignment->asking = false;
    if (request->source == SWARM_ORIGIN)
        return;
    if (!request->probe)
        return;
    bool waits = failure == SWARM_FAILURE_BUSY || failure == SWARM_FAILURE_PENDING;
    if (waits && assignment->pending++ < MAX_PENDING_ANSWERS) {
        assignment->not_before = now + swarm->settings.origin_rank_delay_us;
        return;
    }
    if (failure == SWARM_FAILURE_ERROR)
        add_unresponsive(swarm, request->source);
    assignment->pending = 0;
    assignment->next++;
}
