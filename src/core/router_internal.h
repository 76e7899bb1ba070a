/**
 * State of a router, shared by router.c (requests) and router_agents.c (choice of agents).
 */
#ifndef SHUNTRUN_ROUTER_INTERNAL_H
#define SHUNTRUN_ROUTER_INTERNAL_H

#include "core/admission.h"
#include "core/retry_budget.h"
#include "core/router.h"

#define MAX_EXCLUDED_AGENTS 8

struct request {
    uint64_t caller;
    uint64_t sequence; /* of the present attempt */
    uint64_t agent;
    uint64_t agent_incarnation;
    uint64_t arrived;
    uint64_t deadline;
    uint64_t last_progress;
    uint32_t tenant;
    char tenant_name[CONFIG_NAME_SIZE];
    char service[CONFIG_NAME_SIZE];
    char digest[DIGEST_HEX_SIZE]; /* version that this answer is made with; "" before the first */
    char *key;
    uint8_t *body;
    size_t body_size;
    bool unrepeatable;
    bool begin_reported;
    bool may_have_run;
    uint32_t priority;
    uint32_t precedence; /* of the tenant, by policy */
    uint32_t attempts;
    uint64_t next_offset;
    uint64_t excluded[MAX_EXCLUDED_AGENTS]; /* agents that failed or refused this request */
    uint32_t excluded_count;
};

/* What this gateway saw of one agent. */
struct agent_record {
    uint64_t id;
    uint32_t in_flight;
    uint32_t failures;
    uint32_t token_us; /* mean time between tokens of one stream */
    uint64_t ejection_us;
    uint64_t ejected_until;
};

struct router {
    struct router_settings settings;
    struct router_driver driver;
    struct router_counters counters;
    struct service_counts services;
    const struct routing_view *view;
    struct admission admission;
    struct retry_budget budget;
    struct balance_state balance;
    uint64_t incarnation;
    uint64_t next_sequence;
    struct request **requests;
    uint32_t request_count;
    uint32_t request_capacity;
    struct agent_record *records;
    uint32_t record_count;
};

/* router_agents.c */
struct agent_record *router_get_agent_record(struct router *router, uint64_t id);
void router_record_failure(struct router *router, uint64_t now, uint64_t agent);
void router_record_success(struct router *router, uint64_t agent);
void router_record_token_time(struct router *router, uint64_t agent, uint64_t elapsed,
                              uint32_t tokens);
/** \return index in the view of the agent that should take the request, -1 when none can */
int64_t router_choose_agent(struct router *router, uint64_t now, const struct request *request,
                            const struct route_service *service);

#endif
