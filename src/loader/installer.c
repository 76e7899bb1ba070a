#include "loader/installer.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/cluster.h"
#include "net/http_caller.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define STAGE_TIMEOUT_MS 2000
/** An order without an answer is retried after this; the engine accepts no requests meanwhile. */
#define ORDER_TIMEOUT_MS 600
#define ANSWER_BODY_LIMIT_BYTES (8U << 20)

static const struct weight_install_settings install_settings = {
    /** Half of the 3 s for which a corrupted piece may go undetected; the rest is for the order to
     *  reach the engine. */
    .verification_valid_us = 1500000,
    /** A third of `verification_valid_us`: reading all pieces may take the other two thirds. */
    .reread_interval_us = 500000,
    /** An engine may handle an order or a put this long after its caller gave it up. */
    .call_lifetime_us = 12000000,
    .order_effect_timeout_us = 1500000,
    /** Reports are up to about 60 ms old; an earlier retry would use the same state. */
    .order_backoff_us = 100000,
};

struct installer {
    uv_loop_t *loop;
    struct http_caller *stage_caller;
    struct http_caller *order_caller;
    char model[BACKEND_NAME_SIZE];
    struct piece_store *store;
    struct weight_install install;
    struct install_piece *pieces; /* of the store; NULL until its manifest is known */
    uint32_t manifest_changes;    /* of the store, when `pieces` was made */
    uint64_t scheduled_at;        /* time from which an order may be sent, as of the last tick */
    bool confirmed;               /* a report showed that the engine runs the store's version */
    struct piece_store *recovery_store; /* filled from the staging area; NULL: no recovery */
    uint32_t recovery_piece;
    uint32_t recovered_count;
};

static void run_next_action(struct installer *installer, uint64_t now);

struct installer *installer_create(uv_loop_t *loop, const struct sockaddr_in *engine,
                                   const char *model)
{
    struct installer *installer = memory_calloc(1, sizeof *installer);
    installer->loop = loop;
    installer->stage_caller = http_caller_create(loop, engine);
    installer->order_caller = http_caller_create(loop, engine);
    snprintf(installer->model, sizeof installer->model, "%s", model);
    weight_install_init(&installer->install, &install_settings, cluster_now());
    return installer;
}

/* Outcome of a call; without an answer, the engine may have handled it or not. */
static enum install_result install_result_from_call(enum http_call_result result,
                                                    const struct http_message *message)
{
    if (result == CALL_CONNECT_FAILED || result == CALL_CONNECT_TIMED_OUT)
        return INSTALL_UNSENT;
    if (result != CALL_COMPLETE)
        return INSTALL_NO_ANSWER;
    return http_message_status(message) < 300 ? INSTALL_DONE : INSTALL_REFUSED;
}

static const char *install_result_name(enum install_result result)
{
    static const char *const names[] = {[INSTALL_DONE] = "done",
                                        [INSTALL_REFUSED] = "refused",
                                        [INSTALL_MISSING] = "missing",
                                        [INSTALL_UNSENT] = "unsent",
                                        [INSTALL_NO_ANSWER] = "no-answer"};
    return names[result];
}

static unsigned answered_status(enum http_call_result result, const struct http_message *message)
{
    return result == CALL_COMPLETE ? http_message_status(message) : 0;
}

/* --- version being installed ------------------------------------------------------------------ */

bool installer_set_store(struct installer *installer, struct piece_store *store, uint64_t now)
{
    const struct weight_install *install = &installer->install;
    if (!weight_install_change(&installer->install, 0, NULL, 0, now))
        return false;
    log_event(LOG_LEVEL_INFO, "install", "begin",
              "version=%" PRIu64 " before=%" PRIu64 " held=%" PRIu64 " sequence=%" PRIu64,
              store ? piece_store_version(store) : 0,
              installer->store ? piece_store_version(installer->store) : 0, install->engine.version,
              install->engine.sequence);
    free(installer->pieces);
    installer->pieces = NULL;
    installer->store = store;
    installer->confirmed = false;
    return true;
}

/* \return whether the state machine has the pieces of the manifest in use */
static bool has_current_pieces(const struct installer *installer)
{
    return installer->pieces &&
           installer->manifest_changes == piece_store_manifest_changes(installer->store);
}

/* Another manifest is in use: the numbers of pieces may stand for others. Not while calls for the
 * pieces are under way or in doubt. \return whether the state machine has none now */
static bool drop_pieces(struct installer *installer, uint64_t now)
{
    if (!installer->pieces)
        return true;
    if (!weight_install_change(&installer->install, 0, NULL, 0, now))
        return false;
    log_event(LOG_LEVEL_INFO, "install", "manifest-changed", "version=%" PRIu64 " changes=%u",
              piece_store_version(installer->store),
              piece_store_manifest_changes(installer->store));
    free(installer->pieces);
    installer->pieces = NULL;
    return true;
}

/* The store is what is held; pieces come into it from other nodes and from the staging area. */
static void mark_held_pieces(struct installer *installer)
{
    for (uint32_t i = 0; i < installer->install.piece_count; i++) {
        size_t size;
        if (piece_store_data(installer->store, i, &size))
            weight_install_mark_held(&installer->install, i);
    }
}

/* The state machine gets the version once the manifest gives its number of pieces. */
static void start_version(struct installer *installer, uint64_t now)
{
    const struct piece_manifest *manifest = piece_store_manifest(installer->store);
    if (has_current_pieces(installer) || !drop_pieces(installer, now) || !manifest)
        return;
    installer->pieces = memory_calloc(manifest->count, sizeof *installer->pieces);
    installer->manifest_changes = piece_store_manifest_changes(installer->store);
    if (!weight_install_change(&installer->install, piece_store_version(installer->store),
                               installer->pieces, manifest->count, now)) {
        free(installer->pieces);
        installer->pieces = NULL;
        return;
    }
}

/* \return whether the state machine has the version, and knows all pieces that are held */
static bool update_pieces(struct installer *installer, uint64_t now)
{
    start_version(installer, now);
    if (!has_current_pieces(installer))
        return false;
    if (installer->install.held_count != piece_store_held(installer->store))
        mark_held_pieces(installer);
    return true;
}

void installer_on_piece(struct installer *installer)
{
    uint64_t now = cluster_now();
    if (update_pieces(installer, now))
        run_next_action(installer, now);
}

/* --- staging area ----------------------------------------------------------------------------- */

static void send_stage(struct installer *installer, const char *method, uint32_t piece,
                       const void *body, size_t size, http_call_done *done)
{
    struct buffer target = {0};
    if (strcmp(method, "PUT") == 0)
        platform_write_stage_put_target(installer->model, piece, &target);
    else
        platform_write_stage_get_target(installer->model, piece, &target);
    buffer_append(&target, "", 1);
    struct http_caller_request request = {.method = method,
                                          .target = target.data,
                                          .body = body,
                                          .body_size = size,
                                          .timeout_ms = STAGE_TIMEOUT_MS,
                                          .body_limit = ANSWER_BODY_LIMIT_BYTES,
                                          .done = done,
                                          .context = installer};
    http_caller_send(installer->stage_caller, &request);
    buffer_clear(&target);
}

/* A call that was not sent or got no answer is retried at the next tick, not at once. */
static void complete_stage_call(struct installer *installer, enum install_result result,
                                unsigned status)
{
    uint64_t now = cluster_now();
    uint32_t piece = installer->install.stage_call_piece;
    bool put = installer->install.stage_call == INSTALL_PUT;
    bool was_staged = installer->pieces[piece].staged;
    bool failed = put ? result != INSTALL_DONE
                      : was_staged || result == INSTALL_UNSENT || result == INSTALL_NO_ANSWER;
    if (result != INSTALL_DONE && failed)
        log_event(LOG_LEVEL_WARN, "install", put ? "put-failed" : "read-failed",
                  "version=%" PRIu64 " piece=%u result=%s status=%u", installer->install.version,
                  piece, install_result_name(result), status);
    weight_install_stage_done(&installer->install, result, now);
    if (result != INSTALL_UNSENT && result != INSTALL_NO_ANSWER)
        run_next_action(installer, now);
}

static void on_put(void *context, enum http_call_result result, const struct http_message *message)
{
    complete_stage_call(context, install_result_from_call(result, message),
                        answered_status(result, message));
}

/* \return whether the piece in the staging area equals the one in the store */
static enum install_result compare_piece(const struct installer *installer, uint32_t piece,
                                         const struct http_message *message)
{
    size_t size;
    const uint8_t *data = piece_store_data(installer->store, piece, &size);
    if (http_message_status(message) == 404)
        return INSTALL_MISSING;
    bool right = http_message_status(message) == 200 && data && message->body.size == size &&
                 memcmp(message->body.data, data, size) == 0;
    return right ? INSTALL_DONE : INSTALL_REFUSED;
}

static void on_get(void *context, enum http_call_result result, const struct http_message *message)
{
    struct installer *installer = context;
    enum install_result outcome = install_result_from_call(result, message);
    if (result == CALL_COMPLETE)
        outcome = compare_piece(installer, installer->install.stage_call_piece, message);
    complete_stage_call(installer, outcome, answered_status(result, message));
}

/* --- recovery of pieces from the staging area ------------------------------------------------- */

static void read_next_recovery_piece(struct installer *installer);

static void on_recovery_read(void *context, enum http_call_result result,
                             const struct http_message *message)
{
    struct installer *installer = context;
    uint32_t piece = installer->recovery_piece;
    if (!installer->recovery_store)
        return;
    bool there = result == CALL_COMPLETE && http_message_status(message) == 200;
    if (there &&
        piece_store_add(installer->recovery_store, piece, message->body.data, message->body.size))
        installer->recovered_count++;
    installer->recovery_piece = piece + 1;
    if (result == CALL_COMPLETE) {
        read_next_recovery_piece(installer);
        return;
    }
    log_event(LOG_LEVEL_WARN, "install", "read-failed",
              "version=%" PRIu64 " piece=%u result=%s recovery=1",
              piece_store_version(installer->recovery_store), piece, http_call_result_name(result));
    installer->recovery_store = NULL;
}

static void read_next_recovery_piece(struct installer *installer)
{
    const struct piece_manifest *manifest = piece_store_manifest(installer->recovery_store);
    if (manifest && installer->recovery_piece < manifest->count) {
        send_stage(installer, "GET", installer->recovery_piece, NULL, 0, on_recovery_read);
        return;
    }
    log_event(LOG_LEVEL_INFO, "install", "recovered", "version=%" PRIu64 " pieces=%u of=%u",
              piece_store_version(installer->recovery_store), installer->recovered_count,
              manifest ? manifest->count : 0);
    installer->recovery_store = NULL;
}

bool installer_recover(struct installer *installer, struct piece_store *store)
{
    if (installer->recovery_store || installer->install.stage_call != INSTALL_NO_ACTION)
        return false;
    installer->recovery_store = store;
    installer->recovery_piece = 0;
    installer->recovered_count = 0;
    read_next_recovery_piece(installer);
    return true;
}

void installer_release_store(struct installer *installer, const struct piece_store *store)
{
    if (installer->recovery_store == store)
        installer->recovery_store = NULL;
}

bool installer_is_recovering(const struct installer *installer)
{
    return installer->recovery_store != NULL;
}

/* --- load order ------------------------------------------------------------------------------- */

static void on_order(void *context, enum http_call_result result,
                     const struct http_message *message)
{
    struct installer *installer = context;
    enum install_result outcome = install_result_from_call(result, message);
    log_event(LOG_LEVEL_INFO, "install", "order-answered",
              "version=%" PRIu64 " result=%s status=%u sequence=%" PRIu64,
              installer->install.version, install_result_name(outcome),
              answered_status(result, message), installer->install.order_sequence);
    weight_install_order_done(&installer->install, outcome, cluster_now());
}

static void send_order(struct installer *installer, uint64_t now,
                       const struct install_action *action)
{
    const struct weight_install *install = &installer->install;
    struct buffer body = {0};
    platform_write_start_order(installer->model, install->version, action->sequence, 0, &body);
    log_event(LOG_LEVEL_INFO, "install", "order",
              "version=%" PRIu64 " held=%" PRIu64 " sequence=%" PRIu64 " read_ms_ago=%" PRIu64
              " unanswered=%d requests=%u",
              install->version, install->engine.version, action->sequence,
              (now - weight_install_verified_at(install)) / 1000,
              now < install->in_doubt_order_until, install->engine.requests);
    metric_add(METRIC_ENGINE_LOADS, 1);
    struct http_caller_request request = {.method = "POST",
                                          .target = platform_order_target(),
                                          .headers = "Content-Type: application/json\r\n",
                                          .body = body.data,
                                          .body_size = body.size,
                                          .timeout_ms = ORDER_TIMEOUT_MS,
                                          .body_limit = ANSWER_BODY_LIMIT_BYTES,
                                          .done = on_order,
                                          .context = installer};
    http_caller_send(installer->order_caller, &request);
    buffer_clear(&body);
}

void installer_on_report(struct installer *installer, const struct engine_report *report,
                         bool reachable, uint64_t now)
{
    if (!reachable) {
        weight_install_report_missed(&installer->install);
        return;
    }
    struct install_engine engine = {.born = report->load.born,
                                    .version = report->load.version,
                                    .sequence = report->sequence,
                                    .requests = report->load.running + report->load.waiting,
                                    .loading = report->load.loading,
                                    .leaving = report->load.leaving};
    if (weight_install_report(&installer->install, &engine, now))
        log_event(LOG_LEVEL_INFO, "install", "engine-restarted",
                  "version=%" PRIu64 " born=%" PRIu64 " sequence=%" PRIu64, engine.version,
                  engine.born, engine.sequence);
}

void installer_note_predecessor(struct installer *installer, uint64_t heard_at, uint64_t born)
{
    uint64_t before = installer->install.known_predecessor_until;
    weight_install_note_predecessor(&installer->install, heard_at, born);
    if (installer->install.known_predecessor_until == before)
        return;
    uint64_t now = cluster_now();
    uint64_t until = installer->install.known_predecessor_until;
    log_event(LOG_LEVEL_INFO, "install", "predecessor",
              "heard_ms_ago=%" PRIu64 " born=%" PRIu64 " engine_born=%" PRIu64
              " may_act_ms=%" PRIu64,
              now > heard_at ? (now - heard_at) / 1000 : 0, born, installer->install.engine.born,
              until > now ? (until - now) / 1000 : 0);
}

/* --- actions ---------------------------------------------------------------------------------- */

static void log_confirmation(struct installer *installer, uint64_t now)
{
    const struct weight_install *install = &installer->install;
    if (installer->confirmed || !weight_install_is_complete(install))
        return;
    installer->confirmed = true;
    if (install->ordered_at)
        log_event(LOG_LEVEL_INFO, "install", "confirmed", "version=%" PRIu64 " took_ms=%" PRIu64,
                  install->engine.version, (now - install->ordered_at) / 1000);
}

static void run_next_action(struct installer *installer, uint64_t now)
{
    if (!has_current_pieces(installer))
        return;
    struct install_action action =
        weight_install_next(&installer->install, now, installer->scheduled_at);
    size_t size = 0;
    const uint8_t *data = NULL;
    switch (action.kind) {
    case INSTALL_NO_ACTION:
        break;
    case INSTALL_READ:
        send_stage(installer, "GET", action.piece, NULL, 0, on_get);
        break;
    case INSTALL_PUT:
        data = piece_store_data(installer->store, action.piece, &size);
        send_stage(installer, "PUT", action.piece, data, size, on_put);
        break;
    case INSTALL_ORDER:
        send_order(installer, now, &action);
        break;
    }
}

void installer_tick(struct installer *installer, uint64_t now, uint64_t scheduled_at)
{
    installer->scheduled_at = scheduled_at;
    if (!installer->store)
        return;
    update_pieces(installer, now);
    log_confirmation(installer, now);
    run_next_action(installer, now);
}

bool installer_is_busy(const struct installer *installer, uint64_t now)
{
    return weight_install_is_busy(&installer->install, now);
}

bool installer_is_pinned(const struct installer *installer, uint64_t now)
{
    return weight_install_is_pinned(&installer->install, now);
}

bool installer_is_staged(const struct installer *installer)
{
    return weight_install_is_staged(&installer->install) &&
           !weight_install_is_complete(&installer->install);
}

bool installer_is_loading(const struct installer *installer, uint64_t now)
{
    return weight_install_is_loading(&installer->install, now);
}
