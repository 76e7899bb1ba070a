/**
 * What a gateway saw of agents, and the choice of one for a request.
 */
#include "core/router_internal.h"

#include "base/memory.h"

#include <string.h>

#define EJECT_FAILURES 3      /* failures in a row that eject an agent */
#define EJECT_LEAST 500000ULL /* first ejection, microseconds; doubles */
#define EJECT_MOST 16000000ULL
#define SPEED_MEMORY 64ULL /* tokens over which the mean time between tokens is taken */

struct agent_record *router_record(struct router *router, uint64_t id)
{
    for (uint32_t i = 0; i < router->record_count; i++)
        if (router->records[i].id == id)
            return &router->records[i];
    router->records =
        memory_realloc(router->records, (router->record_count + 1) * sizeof *router->records);
    struct agent_record *record = &router->records[router->record_count++];
    *record = (struct agent_record){.id = id};
    return record;
}

/* ---- health of agents as this gateway sees it ---- */

void router_note_failure(struct router *router, uint64_t now, uint64_t agent)
{
    struct agent_record *record = router_record(router, agent);
    if (++record->failures < EJECT_FAILURES)
        return;
    record->eject_us = record->eject_us ? 2 * record->eject_us : EJECT_LEAST;
    if (record->eject_us > EJECT_MOST)
        record->eject_us = EJECT_MOST;
    record->ejected_until = now + record->eject_us;
    record->failures = EJECT_FAILURES - 1; /* one probe decides after the ejection */
}

void router_note_success(struct router *router, uint64_t agent)
{
    struct agent_record *record = router_record(router, agent);
    record->failures = 0;
    record->eject_us = 0;
    record->ejected_until = 0;
}

/* ---- choice of an agent ---- */

static bool is_excluded(const struct request *request, uint64_t agent)
{
    for (uint32_t i = 0; i < request->excluded_count; i++)
        if (request->excluded[i] == agent)
            return true;
    return false;
}

static bool may_take(struct router *router, uint64_t now, const struct request *request,
                     const struct route_service *service, const struct route_agent *agent)
{
    if (!agent->alive || agent->status.draining || is_excluded(request, agent->id))
        return false;
    if (router_record(router, agent->id)->ejected_until > now)
        return false;
    if (service->kind == SERVICE_PLAIN || !request->digest[0])
        return true;
    const struct ready_model *ready = route_agent_ready(agent, service->model);
    return ready && strcmp(ready->digest, request->digest) == 0;
}

static uint32_t list_candidates(struct router *router, uint64_t now, const struct request *request,
                                const struct route_service *service,
                                struct balance_candidate *candidates)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < service->agent_count; i++) {
        const struct route_agent *agent = &router->view->agents[service->agents[i]];
        if (!may_take(router, now, request, service, agent))
            continue;
        candidates[count++] = (struct balance_candidate){
            .agent = service->agents[i],
            .in_flight = router_record(router, agent->id)->in_flight,
            .reported = agent->status.active_requests,
            .capacity = agent->status.capacity,
            .token_us = router_record(router, agent->id)->token_us,
            .distance = agent->distance,
        };
    }
    return count;
}

int64_t router_choose_agent(struct router *router, uint64_t now, const struct request *request,
                            const struct route_service *service)
{
    if (request->key[0]) {
        int64_t home =
            routing_view_agent(router->view, service_home(&service->homes, request->key));
        if (home < 0 || is_excluded(request, router->view->agents[home].id))
            return -1;
        const struct route_agent *agent = &router->view->agents[home];
        return agent->alive && !agent->status.draining ? home : -1;
    }
    struct balance_candidate candidates[service->agent_count + 1];
    uint32_t count = list_candidates(router, now, request, service, candidates);
    if (router->settings.balance == balance_two_choices)
        count = balance_drop_slow(&router->balance, candidates, count);
    if (!count)
        return -1;
    return candidates[router->settings.balance(&router->balance, candidates, count)].agent;
}

void router_note_speed(struct router *router, uint64_t agent, uint64_t elapsed, uint32_t tokens)
{
    struct agent_record *record = router_record(router, agent);
    uint64_t token_us = elapsed / (tokens ? tokens : 1) + 1;
    if (record->token_us)
        token_us = ((SPEED_MEMORY - 1) * record->token_us + token_us) / SPEED_MEMORY;
    record->token_us = token_us < UINT32_MAX ? (uint32_t)token_us : UINT32_MAX;
}
