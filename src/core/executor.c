#include "core/executor.h"

#include "base/memory.h"
#include "core/admission.h"
#include "core/key_table.h"
#include "core/replay_guard.h"
#include "core/ticket.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define BUSY_RETRY_AFTER_MS 200   /* if a retry may succeed soon */
#define DRAIN_RETRY_AFTER_MS 1000 /* while draining, or if the key table is full */
#define MAX_SERVICES 32
#define VALID_TICKET_EPOCHS 2 /* a ticket is accepted in its own epoch and the next one */

struct run {
    uint64_t id;
    uint64_t route; /* opaque reply address */
    uint64_t gateway_incarnation;
    uint64_t sequence;
    uint32_t tenant; /* index in the admission */
    char tenant_name[CONFIG_NAME_SIZE];
    uint64_t next_offset;    /* of the next token */
    char *key;               /* owned; NULL without a key */
    uint8_t *partial_answer; /* tokens so far of a run with a key; owned */
    size_t partial_answer_size;
    bool plain;       /* a plain service: one answer, no tokens */
    bool model_known; /* `model` is set */
    struct ready_model model;
};

struct executor {
    struct executor_settings settings;
    struct executor_driver driver;
    uint64_t self;
    uint64_t incarnation;
    uint64_t started;
    uint64_t last_event;
    uint64_t pause_epoch;
    uint64_t next_run;
    uint64_t revision;
    bool draining;
    struct service_config services[MAX_SERVICES]; /* `machines` owned */
    uint32_t service_count;
    struct ready_model ready[NODE_MAX_READY_MODELS];
    uint32_t ready_count;
    char service[CONFIG_NAME_SIZE];
    struct admission admission;
    struct key_table *keys;
    struct replay_guard guard;
    struct run *runs;
    uint32_t run_count;
};

struct executor *executor_create(const struct executor_settings *settings, uint64_t self,
                                 uint64_t incarnation, uint64_t now,
                                 const struct executor_driver *driver)
{
    struct executor *executor = memory_calloc(1, sizeof *executor);
    executor->settings = *settings;
    executor->driver = *driver;
    executor->self = self;
    executor->incarnation = incarnation;
    executor->started = now;
    executor->last_event = now;
    executor->next_run = 1;
    executor->keys = key_table_create(settings->key_limit);
    executor->runs = memory_calloc(settings->capacity, sizeof *executor->runs);
    return executor;
}

static void clear_services(struct executor *executor)
{
    for (uint32_t i = 0; i < executor->service_count; i++)
        free(executor->services[i].machines);
    executor->service_count = 0;
}

void executor_set_config(struct executor *executor, uint64_t now, const struct fleet_config *config)
{
    clear_services(executor);
    executor->revision = config->revision;
    for (uint32_t i = 0; i < config->service_count && i < MAX_SERVICES; i++) {
        struct service_config *service = &executor->services[executor->service_count++];
        *service = config->services[i];
        service->machines = memory_duplicate(config->services[i].machines,
                                             service->machine_count * sizeof(uint64_t));
    }
    admission_configure(&executor->admission, executor->settings.capacity, config->tenants,
                        config->tenant_count);
    for (uint32_t i = 0; i < executor->run_count; i++) {
        struct run *run = &executor->runs[i];
        run->tenant = admission_find(&executor->admission, run->tenant_name);
    }
}

void executor_set_ready(struct executor *executor, const struct ready_model *models, uint32_t count)
{
    assert(count <= NODE_MAX_READY_MODELS);
    memcpy(executor->ready, models, count * sizeof *models);
    executor->ready_count = count;
}

void executor_set_service(struct executor *executor, const char *name)
{
    snprintf(executor->service, sizeof executor->service, "%s", name);
}

void executor_set_draining(struct executor *executor, bool draining)
{
    executor->draining = draining;
}

uint32_t executor_active(const struct executor *executor)
{
    return executor->run_count;
}

uint64_t executor_pause_epoch(const struct executor *executor)
{
    return executor->pause_epoch;
}

uint64_t executor_ticket_epoch(const struct executor *executor, uint64_t now)
{
    return (now - executor->started) / executor->settings.key_window_us;
}

/* A gap of more than `pause_us` between events: the process was paused, and queued input may be
 * old. */
static void detect_pause(struct executor *executor, uint64_t now)
{
    if (now > executor->last_event && now - executor->last_event > executor->settings.pause_us)
        executor->pause_epoch++;
    executor->last_event = now;
}

/* ---- answers ---- */

static void send_answer(struct executor *executor, uint64_t route, uint64_t gateway_incarnation,
                        uint64_t sequence, Shuntrun__Answer *answer)
{
    answer->gateway_incarnation = gateway_incarnation;
    answer->sequence = sequence;
    executor->driver.answer(executor->driver.context, route, answer);
}

static void reject_request(struct executor *executor, uint64_t route,
                           const Shuntrun__Forward *forward, const char *reason,
                           uint32_t retry_after_ms)
{
    Shuntrun__Answer answer = SHUNTRUN__ANSWER__INIT;
    answer.kind = SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED;
    answer.reason = (char *)reason;
    answer.retry_after_ms = retry_after_ms;
    send_answer(executor, route, forward->gateway_incarnation, forward->sequence, &answer);
}

static void fill_model(const struct run *run, Shuntrun__Answer *answer)
{
    if (!run->model_known)
        return;
    answer->model = (char *)run->model.model;
    answer->version = (char *)run->model.version;
    answer->digest = (char *)run->model.digest;
}

static void answer_run(struct executor *executor, const struct run *run, Shuntrun__Answer *answer)
{
    fill_model(run, answer);
    send_answer(executor, run->route, run->gateway_incarnation, run->sequence, answer);
}

static struct run *find_run(struct executor *executor, uint64_t id)
{
    for (uint32_t i = 0; i < executor->run_count; i++)
        if (executor->runs[i].id == id)
            return &executor->runs[i];
    return NULL;
}

static void remove_run(struct executor *executor, struct run *run)
{
    if (run->tenant != ADMISSION_UNKNOWN_TENANT)
        admission_leave(&executor->admission, run->tenant);
    free(run->key);
    free(run->partial_answer);
    *run = executor->runs[--executor->run_count];
}

void executor_destroy(struct executor *executor)
{
    if (!executor)
        return;
    while (executor->run_count)
        remove_run(executor, &executor->runs[0]);
    clear_services(executor);
    admission_clear(&executor->admission);
    key_table_destroy(executor->keys);
    replay_guard_clear(&executor->guard);
    free(executor->runs);
    free(executor);
}

/* ---- checks before a run ---- */

static const struct service_config *find_service(const struct executor *executor, const char *name)
{
    for (uint32_t i = 0; i < executor->service_count; i++)
        if (strcmp(executor->services[i].name, name) == 0)
            return &executor->services[i];
    return NULL;
}

static const struct ready_model *find_ready(const struct executor *executor,
                                            const struct service_config *service,
                                            const char *digest)
{
    for (uint32_t i = 0; i < executor->ready_count; i++) {
        const struct ready_model *ready = &executor->ready[i];
        if (strcmp(ready->model, service->model) != 0)
            continue;
        if (!digest[0] || strcmp(ready->digest, digest) == 0)
            return ready;
    }
    return NULL;
}

/* \return why the agent in its present state must not run a request, NULL if it may */
static const char *rejection_reason(const struct executor *executor,
                                    const Shuntrun__Forward *forward)
{
    if (forward->agent_incarnation != executor->incarnation)
        return "the request is for another incarnation of this agent";
    if (forward->pause_epoch != executor->pause_epoch)
        return "the request was sent before this agent woke from a pause";
    if (executor->draining)
        return "this machine is leaving";
    return NULL;
}

/* \return why a ticket does not prove that the key cannot have reached an earlier incarnation, NULL
 * if it does */
static const char *ticket_problem(const struct executor *executor, uint64_t now,
                                  const struct service_config *service, const char *key)
{
    struct ticket ticket;
    if (ticket_parse(key, &ticket) != STATUS_OK) {
        /* Without a ticket, wait until no caller retries a key of an earlier incarnation. */
        uint64_t window = VALID_TICKET_EPOCHS * executor->settings.key_window_us;
        return now - executor->started >= window
                   ? NULL
                   : "the agent restarted; a key without a ticket cannot be checked yet";
    }
    if (ticket.homes_hash != ticket_homes_hash(service))
        return "the homes of this service moved since the ticket was given";
    for (uint32_t i = 0; i < service->machine_count && i < ticket.home_count; i++) {
        if (service->machines[i] != executor->self)
            continue;
        uint64_t epoch = executor_ticket_epoch(executor, now);
        if (ticket.homes[i].incarnation != executor->incarnation)
            return "the agent restarted since the ticket was given";
        if (ticket.homes[i].epoch + VALID_TICKET_EPOCHS <= epoch)
            return "the ticket is too old";
        return NULL;
    }
    return "the ticket does not name this agent";
}

static void replay_stored_answer(struct executor *executor, uint64_t route,
                                 const Shuntrun__Forward *forward, const struct key_entry *entry)
{
    Shuntrun__Answer answer = SHUNTRUN__ANSWER__INIT;
    bool stream = entry->model.digest[0] != 0;
    answer.replayed = true;
    answer.model = (char *)entry->model.model;
    answer.version = (char *)entry->model.version;
    answer.digest = (char *)entry->model.digest;
    answer.data = (ProtobufCBinaryData){entry->answer_size, entry->answer};
    if (stream && entry->tokens) {
        answer.kind = SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS;
        answer.token_count = (uint32_t)entry->tokens;
        send_answer(executor, route, forward->gateway_incarnation, forward->sequence, &answer);
        answer.token_count = 0;
        answer.data.len = 0;
    }
    answer.kind = SHUNTRUN__ANSWER_KIND__ANSWER_DONE;
    answer.offset = entry->tokens;
    send_answer(executor, route, forward->gateway_incarnation, forward->sequence, &answer);
}

static void answer_repeated_key(struct executor *executor, uint64_t route,
                                const Shuntrun__Forward *forward, const struct key_entry *entry)
{
    if (entry->state == KEY_DONE && entry->answer_kept) {
        replay_stored_answer(executor, route, forward, entry);
        return;
    }
    Shuntrun__Answer answer = SHUNTRUN__ANSWER__INIT;
    bool running = entry->state == KEY_RUNNING;
    answer.kind = SHUNTRUN__ANSWER_KIND__ANSWER_UNKNOWN;
    answer.replayed = true;
    answer.retry_after_ms = running ? BUSY_RETRY_AFTER_MS : 0;
    answer.reason = running ? "the first request under this key is running"
                            : "the answer to this key is not known";
    send_answer(executor, route, forward->gateway_incarnation, forward->sequence, &answer);
}

/* Check the key of a request; answers or refuses the request if it must not start.
 * \return true if it may start */
static bool admit_key(struct executor *executor, uint64_t now, uint64_t route,
                      const Shuntrun__Forward *forward, const struct service_config *service)
{
    const char *key = forward->idempotency_key;
    struct key_entry *entry = key_table_find(executor->keys, key);
    if (entry) {
        answer_repeated_key(executor, route, forward, entry);
        return false;
    }
    if (service_home(service, key) != executor->self) {
        reject_request(executor, route, forward, "this agent is not the home of the key", 0);
        return false;
    }
    const char *problem = ticket_problem(executor, now, service, key);
    if (problem) {
        reject_request(executor, route, forward, problem, BUSY_RETRY_AFTER_MS);
        return false;
    }
    if (key_table_count(executor->keys) >= executor->settings.key_limit) {
        reject_request(executor, route, forward, "too many idempotency keys are held",
                       DRAIN_RETRY_AFTER_MS);
        return false;
    }
    return true;
}

static struct run *add_run(struct executor *executor, uint64_t now, uint64_t route,
                           const Shuntrun__Forward *forward, uint32_t tenant,
                           const struct ready_model *model)
{
    struct run *run = &executor->runs[executor->run_count++];
    *run = (struct run){
        .id = executor->next_run++,
        .route = route,
        .gateway_incarnation = forward->gateway_incarnation,
        .sequence = forward->sequence,
        .tenant = tenant,
        .next_offset = forward->resume_offset,
        .plain = !model,
        .model_known = model != NULL,
    };
    snprintf(run->tenant_name, sizeof run->tenant_name, "%s", forward->tenant);
    if (model)
        run->model = *model;
    if (forward->idempotency_key[0]) {
        struct key_entry *entry;
        uint64_t window = (VALID_TICKET_EPOCHS + 1) * executor->settings.key_window_us;
        run->key = memory_strdup(forward->idempotency_key);
        key_table_insert(executor->keys, run->key, now + window, &entry);
    }
    return run;
}

static void start_run(struct executor *executor, uint64_t now, uint64_t route,
                      const Shuntrun__Forward *forward, uint32_t tenant,
                      const struct ready_model *model)
{
    struct run *run = add_run(executor, now, route, forward, tenant, model);
    struct fence fence = {executor->revision, executor->incarnation, run->id};
    uint64_t id = run->id;
    if (model) {
        Shuntrun__Answer answer = SHUNTRUN__ANSWER__INIT;
        answer.kind = SHUNTRUN__ANSWER_KIND__ANSWER_STARTED;
        answer_run(executor, run, &answer);
    }
    executor->driver.start(executor->driver.context, id, forward, model, &fence);
}

void executor_on_forward(struct executor *executor, uint64_t now, uint64_t route,
                         const Shuntrun__Forward *forward)
{
    detect_pause(executor, now);
    if (!replay_guard_accept(&executor->guard, forward->gateway_incarnation, forward->sequence))
        return; /* a duplicate: the first one is or will be answered */
    const char *problem = rejection_reason(executor, forward);
    if (problem) {
        reject_request(executor, route, forward, problem,
                       executor->draining ? DRAIN_RETRY_AFTER_MS : 0);
        return;
    }
    const struct service_config *service = find_service(executor, forward->service);
    if (!service) {
        reject_request(executor, route, forward, "the service is not in this agent's configuration",
                       0);
        return;
    }
    const struct ready_model *model = NULL;
    if (service->kind == SERVICE_MODEL)
        model = find_ready(executor, service, forward->version_digest);
    bool serves = service->kind == SERVICE_MODEL ? model != NULL
                                                 : strcmp(executor->service, service->name) == 0;
    if (!serves) {
        reject_request(executor, route, forward, "this machine does not serve that now", 0);
        return;
    }
    if (forward->idempotency_key[0] && !admit_key(executor, now, route, forward, service))
        return;
    uint32_t tenant = admission_find(&executor->admission, forward->tenant);
    if (tenant == ADMISSION_UNKNOWN_TENANT) {
        reject_request(executor, route, forward, "the tenant is not known", 0);
        return;
    }
    if (executor->run_count >= executor->settings.capacity ||
        !admission_enter(&executor->admission, tenant)) {
        reject_request(executor, route, forward, "busy", BUSY_RETRY_AFTER_MS);
        return;
    }
    start_run(executor, now, route, forward, tenant, model);
}

/* ---- progress of runs ---- */

/* Buffer the tokens of a run with a key, until they exceed the longest answer that is stored. */
static void buffer_tokens(struct run *run, const uint8_t *data, size_t size)
{
    if (run->partial_answer_size > KEY_MAX_ANSWER_SIZE)
        return;
    run->partial_answer = memory_realloc(run->partial_answer, run->partial_answer_size + size);
    memcpy(run->partial_answer + run->partial_answer_size, data, size);
    run->partial_answer_size += size;
}

void executor_on_tokens(struct executor *executor, uint64_t now, uint64_t run_id, uint64_t offset,
                        uint32_t count, const uint8_t *data, size_t size)
{
    detect_pause(executor, now);
    struct run *run = find_run(executor, run_id);
    if (!run)
        return;
    if (offset != run->next_offset) {
        executor->driver.cancel(executor->driver.context, run_id);
        executor_on_failed(executor, now, run_id, true, "the engine skipped tokens");
        return;
    }
    run->next_offset += count;
    if (run->key)
        buffer_tokens(run, data, size);
    Shuntrun__Answer answer = SHUNTRUN__ANSWER__INIT;
    answer.kind = SHUNTRUN__ANSWER_KIND__ANSWER_TOKENS;
    answer.offset = offset;
    answer.token_count = count;
    answer.data = (ProtobufCBinaryData){size, (uint8_t *)data};
    answer_run(executor, run, &answer);
}

static void finish_key(struct executor *executor, const struct run *run, enum key_state state,
                       const uint8_t *data, size_t size)
{
    struct key_entry *entry = run->key ? key_table_find(executor->keys, run->key) : NULL;
    if (!entry)
        return;
    if (run->model_known) {
        entry->model = run->model;
        entry->tokens = run->next_offset;
    }
    key_table_finish(entry, state, data, size);
}

void executor_on_done(struct executor *executor, uint64_t now, uint64_t run_id, uint64_t tokens,
                      const uint8_t *data, size_t size)
{
    detect_pause(executor, now);
    struct run *run = find_run(executor, run_id);
    if (!run)
        return;
    Shuntrun__Answer answer = SHUNTRUN__ANSWER__INIT;
    answer.kind = SHUNTRUN__ANSWER_KIND__ANSWER_DONE;
    answer.offset = tokens;
    answer.data = (ProtobufCBinaryData){size, (uint8_t *)data};
    if (run->plain)
        finish_key(executor, run, KEY_DONE, data, size);
    else
        finish_key(executor, run, KEY_DONE, run->partial_answer, run->partial_answer_size);
    answer_run(executor, run, &answer);
    remove_run(executor, run);
}

void executor_on_failed(struct executor *executor, uint64_t now, uint64_t run_id, bool started,
                        const char *reason)
{
    detect_pause(executor, now);
    struct run *run = find_run(executor, run_id);
    if (!run)
        return;
    Shuntrun__Answer answer = SHUNTRUN__ANSWER__INIT;
    answer.kind =
        started ? SHUNTRUN__ANSWER_KIND__ANSWER_UNKNOWN : SHUNTRUN__ANSWER_KIND__ANSWER_REFUSED;
    answer.reason = (char *)reason;
    if (started)
        finish_key(executor, run, KEY_UNKNOWN, NULL, 0);
    else if (run->key)
        key_table_remove(executor->keys, run->key);
    answer_run(executor, run, &answer);
    remove_run(executor, run);
}

void executor_on_cancel(struct executor *executor, uint64_t now, const Shuntrun__Cancel *cancel)
{
    detect_pause(executor, now);
    for (uint32_t i = 0; i < executor->run_count; i++) {
        struct run *run = &executor->runs[i];
        bool same = run->gateway_incarnation == cancel->gateway_incarnation &&
                    run->sequence == cancel->sequence;
        /* A run with a key continues: its answer is stored for a retry of the caller. */
        if (!same || run->key)
            continue;
        executor->driver.cancel(executor->driver.context, run->id);
        remove_run(executor, run);
        return;
    }
}

void executor_end_runs(struct executor *executor, uint64_t now, const char *reason)
{
    while (executor->run_count) {
        uint64_t id = executor->runs[0].id;
        executor->driver.cancel(executor->driver.context, id);
        executor_on_failed(executor, now, id, true, reason);
    }
}

void executor_on_tick(struct executor *executor, uint64_t now)
{
    detect_pause(executor, now);
    key_table_expire(executor->keys, now);
}
