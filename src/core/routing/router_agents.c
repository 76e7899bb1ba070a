/**
 * Health of agents as observed by a gateway, and the choice of an agent for a request.
 */
#include "core/routing/router_internal.h"

#include "base/memory.h"

#include <string.h>

#define EJECTION_FAILURE_THRESHOLD 3 /* consecutive failures that eject an agent */
#define EJECTION_MIN_US 500000ULL    /* first ejection; doubles with each further one */
#define EJECTION_MAX_US 16000000ULL
/* Samples over which the moving average of the time between tokens is taken. */
#define TOKEN_TIME_AVERAGE_TOKENS 64ULL

struct agent_record *router_get_agent_record(struct router *router, uint64_t id)
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

/* ---- passive health checks ---- */

void router_record_failure(struct router *router, uint64_t now, uint64_t agent)
{
    struct agent_record *record = router_get_agent_record(router, agent);
    if (++record->failures < EJECTION_FAILURE_THRESHOLD)
        return;
    record->ejection_us = record->ejection_us ? 2 * record->ejection_us : EJECTION_MIN_US;
    if (record->ejection_us > EJECTION_MAX_US)
        record->ejection_us = EJECTION_MAX_US;
    record->ejected_until = now + record->ejection_us;
    /* After the ejection a single further failure ejects the agent again. */
    record->failures = EJECTION_FAILURE_THRESHOLD - 1;
}

void router_record_success(struct router *router, uint64_t agent)
{
    struct agent_record *record = router_get_agent_record(router, agent);
    record->failures = 0;
    record->ejection_us = 0;
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

/* Agents that have failed, are ejected or drain are not eligible, nor is another model version than
 * that of a stream to resume. */
static bool is_eligible(struct router *router, uint64_t now, const struct request *request,
                        const struct route_service *service, const struct route_agent *agent)
{
    if (!agent->alive || agent->status.draining || is_excluded(request, agent->id))
        return false;
    if (router_get_agent_record(router, agent->id)->ejected_until > now)
        return false;
    if (service->kind == SERVICE_PLAIN || !request->digest[0])
        return true;
    const struct ready_model *ready = route_agent_find_ready_model(agent, service->model);
    return ready && strcmp(ready->digest, request->digest) == 0;
}

static uint32_t collect_candidates(struct router *router, uint64_t now,
                                   const struct request *request,
                                   const struct route_service *service,
                                   struct balance_candidate *candidates)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < service->agent_count; i++) {
        const struct route_agent *agent = &router->view->agents[service->agents[i]];
        if (!is_eligible(router, now, request, service, agent))
            continue;
        candidates[count++] = (struct balance_candidate){
            .agent = service->agents[i],
            .in_flight = router_get_agent_record(router, agent->id)->in_flight,
            .reported = agent->status.active_requests,
            .capacity = agent->status.capacity,
            .token_us = router_get_agent_record(router, agent->id)->token_us,
            .distance = agent->distance,
        };
    }
    return count;
}

int64_t router_choose_agent(struct router *router, uint64_t now, const struct request *request,
                            const struct route_service *service)
{
    if (request->key[0]) { /* only the home of a key can tell whether it has run */
        int64_t home =
            routing_view_find_agent(router->view, service_home(&service->homes, request->key));
        if (home < 0 || is_excluded(request, router->view->agents[home].id))
            return -1;
        const struct route_agent *agent = &router->view->agents[home];
        return agent->alive && !agent->status.draining ? home : -1;
    }
    struct balance_candidate candidates[service->agent_count + 1];
    uint32_t count = collect_candidates(router, now, request, service, candidates);
    if (router->settings.balance == balance_two_choices)
        count = balance_drop_slow(&router->balance, candidates, count);
    if (!count)
        return -1;
    return candidates[router->settings.balance(&router->balance, candidates, count)].agent;
}

void router_record_token_time(struct router *router, uint64_t agent, uint64_t elapsed,
                              uint32_t tokens)
{
    struct agent_record *record = router_get_agent_record(router, agent);
    uint64_t token_us = elapsed / (tokens ? tokens : 1) + 1;
    if (record->token_us)
        token_us = ((TOKEN_TIME_AVERAGE_TOKENS - 1) * record->token_us + token_us) /
                   TOKEN_TIME_AVERAGE_TOKENS;
    record->token_us = token_us < UINT32_MAX ? (uint32_t)token_us : UINT32_MAX;
}
