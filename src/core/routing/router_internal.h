/**
 * State of a router, shared by router.c (requests) and router_agents.c (health and choice of
 * agents).
 */
#ifndef SHUNTRUN_ROUTER_INTERNAL_H
#define SHUNTRUN_ROUTER_INTERNAL_H

#include "core/admission.h"
#include "core/retry/retry_budget.h"
#include "core/routing/router.h"

#define MAX_EXCLUDED_AGENTS 8

struct request {
    uint64_t caller;
    uint64_t sequence; /* of the attempt in progress; 0: none */
    uint64_t agent;    /* of the last attempt */
    uint64_t agent_incarnation;
    uint64_t arrived;
    uint64_t deadline;
    uint64_t last_progress; /* time of the last answer, or of the start of the attempt */
    uint32_t tenant;        /* index in the admission, or ADMISSION_UNKNOWN_TENANT */
    char tenant_name[CONFIG_NAME_SIZE];
    char service[CONFIG_NAME_SIZE];
    char digest[DIGEST_HEX_SIZE]; /* model version of the answer; "" before the first answer */
    char *key;
    uint8_t *body;
    size_t body_size;
    bool unrepeatable;
    bool begin_reported; /* driver.begin() was called */
    bool may_have_run;
    uint32_t priority;
    uint32_t precedence; /* of the tenant, set by the policy */
    uint32_t attempts;
    uint64_t next_offset;                   /* of the next token; the number of tokens delivered */
    uint64_t excluded[MAX_EXCLUDED_AGENTS]; /* ids of agents that failed or refused this request */
    uint32_t excluded_count;
};

/* Health and load of one agent as observed by this gateway. */
struct agent_record {
    uint64_t id;
    uint32_t in_flight;
    uint32_t failures;    /* consecutive */
    uint32_t token_us;    /* moving average of the time between tokens of one stream; 0: unknown */
    uint64_t ejection_us; /* length of the last ejection; 0: none since the last success */
    uint64_t ejected_until; /* 0: not ejected */
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
/* The record of an agent, added if it is new; valid until another one is added. */
struct agent_record *router_get_agent_record(struct router *router, uint64_t id);
/* Count a failed attempt; consecutive failures eject the agent. */
void router_record_failure(struct router *router, uint64_t now, uint64_t agent);
/* Reset the failures and end the ejection of an agent. */
void router_record_success(struct router *router, uint64_t agent);
/* Add `tokens` received after `elapsed` microseconds to the time between tokens. */
void router_record_token_time(struct router *router, uint64_t agent, uint64_t elapsed,
                              uint32_t tokens);
/* Choose an agent. \return its index in the view, -1 if no agent is eligible */
int64_t router_choose_agent(struct router *router, uint64_t now, const struct request *request,
                            const struct route_service *service);

#endif
