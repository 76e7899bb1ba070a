#include "loader/installer.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "core/bitmap.h"
#include "net/http_caller.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define STAGE_TIMEOUT_MS 2000
#define ORDER_TIMEOUT_MS 1500
#define STAGE_LIMIT (8U << 20)
/** What was read back longer ago is read again before the order. */
#define CHECK_FRESH_US 1500000
/** After an order without effect in the engine's report, it is given again. */
#define ORDER_EFFECT_US 1500000
/** An engine under pressure runs on for so long without new requests before it breaks off what is
 *  left: about the time that a request of usual length takes, so that only long ones are moved.
 *  Of what requests are worth, 0.9 % more is earned than when engines always run empty, 0.5 % more
 *  than with 300 ms and 0.3 % more than with 500 (mean of 15 simulated days with failures). */
#define SHORT_DRAIN_US 800000

enum install_step {
    STEP_IDLE,
    STEP_CHECK, /* read every piece back, stage what is missing or wrong */
    STEP_READY, /* all is there; wait for the turn */
    STEP_DRAIN, /* takes no new requests, and is cut over soon */
    STEP_ORDERED,
};

struct installer {
    uv_loop_t *loop;
    struct http_caller *stage;
    struct http_caller *order;
    char model[BACKEND_NAME_SIZE];
    struct piece_store *store;
    enum install_step step;
    struct engine_report report;
    bool reachable;
    uint32_t piece;                 /* of the check under way */
    bool busy;                      /* a stage call is under way */
    uint32_t generation;            /* of the store, so that late answers are dropped */
    struct piece_store *recovering; /* gets what lies at the engine; NULL: none */
    uint32_t recover_piece;
    uint32_t recovered;
    uint64_t checked_at; /* begin of the last whole check */
    uint64_t check_began;
    uint64_t drain_began;
    uint64_t ordered_at;
    uint64_t ordered_sequence; /* orders that the engine had taken before this one */
    uint64_t staged[PIECE_BITMAP_WORDS];
};

/* A stage call under way. */
struct stage_call {
    struct installer *installer;
    uint32_t generation;
    uint32_t piece;
};

static void check_next(struct installer *installer);

struct installer *installer_create(uv_loop_t *loop, const struct sockaddr_in *engine,
                                   const char *model)
{
    struct installer *installer = memory_zero(1, sizeof *installer);
    installer->loop = loop;
    installer->stage = http_caller_create(loop, engine);
    installer->order = http_caller_create(loop, engine);
    snprintf(installer->model, sizeof installer->model, "%s", model);
    return installer;
}

void installer_set_store(struct installer *installer, struct piece_store *store)
{
    installer->store = store;
    installer->recovering = NULL;
    installer->generation++;
    installer->step = STEP_IDLE;
    installer->busy = false;
    installer->checked_at = 0;
    memset(installer->staged, 0, sizeof installer->staged);
}

static struct stage_call *call_create(struct installer *installer, uint32_t piece)
{
    struct stage_call *call = memory_zero(1, sizeof *call);
    *call = (struct stage_call){installer, installer->generation, piece};
    return call;
}

static void send_stage(struct installer *installer, const char *method, uint32_t piece,
                       const void *body, size_t size, call_done *done)
{
    struct buffer target = {0};
    if (strcmp(method, "PUT") == 0)
        platform_write_stage_put_target(installer->model, piece, &target);
    else
        platform_write_stage_get_target(installer->model, piece, &target);
    buffer_append(&target, "", 1);
    struct caller_request request = {.method = method,
                                     .target = target.data,
                                     .body = body,
                                     .body_size = size,
                                     .timeout_ms = STAGE_TIMEOUT_MS,
                                     .body_limit = STAGE_LIMIT,
                                     .done = done,
                                     .context = call_create(installer, piece)};
    http_caller_send(installer->stage, &request);
    buffer_clear(&target);
}

static bool take_call(struct stage_call *call, struct installer **installer, uint32_t *piece)
{
    *installer = call->installer;
    *piece = call->piece;
    bool valid = call->generation == call->installer->generation;
    free(call);
    return valid;
}

/* --- staging as pieces come ----------------------------------------------------------------------
 */

static void on_early_put(void *context, enum call_result result, const struct http_message *message)
{
    struct installer *installer;
    uint32_t piece;
    if (!take_call(context, &installer, &piece))
        return;
    if (result == CALL_ANSWERED && http_message_status(message) < 300)
        bitmap_set(installer->staged, piece);
}

void installer_on_piece(struct installer *installer, uint32_t piece)
{
    size_t size;
    const uint8_t *data = piece_store_data(installer->store, piece, &size);
    if (!installer->reachable || installer->step != STEP_IDLE || piece >= PIECES_MOST)
        return;
    if (installer->report.load.version < piece_store_version(installer->store))
        send_stage(installer, "PUT", piece, data, size, on_early_put);
}

/* --- recovery of pieces from the engine's stage
 * --------------------------------------------------- */

static void recover_next(struct installer *installer);

static void on_recovered(void *context, enum call_result result, const struct http_message *message)
{
    struct installer *installer;
    uint32_t piece;
    if (!take_call(context, &installer, &piece) || !installer->recovering)
        return;
    bool there = result == CALL_ANSWERED && http_message_status(message) == 200;
    if (there &&
        piece_store_offer(installer->recovering, piece, message->body.data, message->body.size))
        installer->recovered++;
    installer->recover_piece = piece + 1;
    if (result == CALL_ANSWERED)
        recover_next(installer);
    else
        installer->recovering = NULL;
}

static void recover_next(struct installer *installer)
{
    const struct piece_manifest *manifest = piece_store_manifest(installer->recovering);
    if (installer->recover_piece < manifest->count) {
        send_stage(installer, "GET", installer->recover_piece, NULL, 0, on_recovered);
        return;
    }
    log_event(LOG_LEVEL_INFO, "install", "recovered", "version=%" PRIu64 " pieces=%u of=%u",
              piece_store_version(installer->recovering), installer->recovered, manifest->count);
    installer->recovering = NULL;
}

bool installer_recover(struct installer *installer, struct piece_store *store)
{
    if (installer->recovering || installer->step != STEP_IDLE)
        return false;
    installer->recovering = store;
    installer->recover_piece = 0;
    installer->recovered = 0;
    recover_next(installer);
    return true;
}

bool installer_is_recovering(const struct installer *installer)
{
    return installer->recovering != NULL;
}

/* --- check ---------------------------------------------------------------------------------------
 */

static void on_put(void *context, enum call_result result, const struct http_message *message)
{
    struct installer *installer;
    uint32_t piece;
    if (!take_call(context, &installer, &piece))
        return;
    installer->busy = false;
    if (result != CALL_ANSWERED || http_message_status(message) >= 300) {
        installer->step = STEP_IDLE;
        return;
    }
    bitmap_set(installer->staged, piece);
    check_next(installer); /* read it back */
}

static bool is_right(const struct installer *installer, uint32_t piece,
                     const struct http_message *message)
{
    size_t size;
    const uint8_t *data = piece_store_data(installer->store, piece, &size);
    return http_message_status(message) == 200 && message->body.size == size &&
           memcmp(message->body.data, data, size) == 0;
}

static void on_get(void *context, enum call_result result, const struct http_message *message)
{
    struct installer *installer;
    uint32_t piece;
    if (!take_call(context, &installer, &piece))
        return;
    installer->busy = false;
    if (result != CALL_ANSWERED) {
        installer->step = STEP_IDLE;
        return;
    }
    if (is_right(installer, piece, message)) {
        installer->piece++;
        check_next(installer);
        return;
    }
    if (bitmap_get(installer->staged, piece))
        log_event(LOG_LEVEL_WARN, "install", "staged-piece-wrong", "piece=%u status=%u bytes=%zu",
                  piece, http_message_status(message), message->body.size);
    size_t size;
    const uint8_t *data = piece_store_data(installer->store, piece, &size);
    installer->busy = true;
    send_stage(installer, "PUT", piece, data, size, on_put);
}

static void check_next(struct installer *installer)
{
    const struct piece_manifest *manifest = piece_store_manifest(installer->store);
    if (installer->piece == manifest->count) {
        installer->checked_at = installer->check_began;
        installer->step = STEP_READY;
        return;
    }
    installer->busy = true;
    send_stage(installer, "GET", installer->piece, NULL, 0, on_get);
}

static void check_begin(struct installer *installer, uint64_t now)
{
    installer->step = STEP_CHECK;
    installer->piece = 0;
    installer->check_began = now;
    check_next(installer);
}

/* --- order ---------------------------------------------------------------------------------------
 */

static void on_order(void *context, enum call_result result, const struct http_message *message)
{
    struct installer *installer;
    uint32_t unused;
    if (!take_call(context, &installer, &unused))
        return;
    unsigned status = result == CALL_ANSWERED ? http_message_status(message) : 0;
    log_event(LOG_LEVEL_INFO, "install", "order-answered",
              "version=%" PRIu64 " status=%u sequence=%" PRIu64,
              piece_store_version(installer->store), status, installer->ordered_sequence);
    if (status >= 400)
        installer->step = STEP_IDLE;
}

static void give_order(struct installer *installer, uint64_t now, enum start_method method)
{
    struct buffer body = {0};
    installer->step = STEP_ORDERED;
    installer->ordered_at = now;
    installer->ordered_sequence = installer->report.sequence;
    platform_write_start_order(installer->model, piece_store_version(installer->store), method,
                               installer->ordered_sequence, 0, &body);
    log_event(LOG_LEVEL_INFO, "install", "order",
              "version=%" PRIu64 " held=%" PRIu64 " sequence=%" PRIu64 " checked_ms_ago=%" PRIu64
              " method=%s running=%u",
              piece_store_version(installer->store), installer->report.load.version,
              installer->ordered_sequence, (now - installer->checked_at) / 1000,
              method == START_BREAKING_OFF ? "break-off" : "run-empty",
              installer->report.load.running);
    metric_add(METRIC_ENGINE_LOADS, 1);
    struct caller_request request = {.method = "POST",
                                     .target = platform_order_target(),
                                     .headers = "Content-Type: application/json\r\n",
                                     .body = body.data,
                                     .body_size = body.size,
                                     .timeout_ms = ORDER_TIMEOUT_MS,
                                     .body_limit = STAGE_LIMIT,
                                     .done = on_order,
                                     .context = call_create(installer, 0)};
    http_caller_send(installer->order, &request);
    buffer_clear(&body);
}

void installer_on_report(struct installer *installer, const struct engine_report *report,
                         bool reachable)
{
    bool restarted = reachable && report->sequence < installer->report.sequence;
    installer->reachable = reachable;
    if (!reachable)
        return;
    installer->report = *report;
    if (restarted) {
        log_event(LOG_LEVEL_INFO, "install", "engine-restarted", "version=%" PRIu64,
                  report->load.version);
        installer->step = STEP_IDLE;
        installer->busy = false;
        installer->checked_at = 0;
        installer->recovering = NULL;
        installer->generation++;
    }
}

static bool is_installed(const struct installer *installer)
{
    return installer->report.load.version >= piece_store_version(installer->store);
}

static void tick_ready(struct installer *installer, uint64_t now, const struct install_turn *turn)
{
    if (now < turn->at || installer->report.load.loading)
        return;
    if (now > installer->checked_at + CHECK_FRESH_US) {
        check_begin(installer, now);
        return;
    }
    if (!turn->short_drain) {
        give_order(installer, now, START_WHEN_EMPTY);
        return;
    }
    installer->step = STEP_DRAIN;
    installer->drain_began = now;
    log_event(LOG_LEVEL_INFO, "install", "drain", "version=%" PRIu64 " running=%u",
              piece_store_version(installer->store), installer->report.load.running);
}

static void tick_drain(struct installer *installer, uint64_t now)
{
    const struct backend_load *load = &installer->report.load;
    if (load->running + load->waiting == 0 || now >= installer->drain_began + SHORT_DRAIN_US)
        give_order(installer, now, START_BREAKING_OFF);
}

void installer_tick(struct installer *installer, uint64_t now, const struct install_turn *turn)
{
    if (!installer->store || !installer->reachable || !piece_store_complete(installer->store))
        return;
    if (is_installed(installer)) {
        if (installer->step == STEP_ORDERED)
            log_event(LOG_LEVEL_INFO, "install", "confirmed",
                      "version=%" PRIu64 " took_ms=%" PRIu64, installer->report.load.version,
                      (now - installer->ordered_at) / 1000);
        installer->step = STEP_IDLE;
        return;
    }
    switch (installer->step) {
    case STEP_IDLE:
        if (!installer->busy && !installer->report.load.loading)
            check_begin(installer, now);
        break;
    case STEP_CHECK:
        break;
    case STEP_READY:
        tick_ready(installer, now, turn);
        break;
    case STEP_DRAIN:
        tick_drain(installer, now);
        break;
    case STEP_ORDERED:
        if (now > installer->ordered_at + ORDER_EFFECT_US && !installer->report.load.loading &&
            installer->report.sequence == installer->ordered_sequence)
            installer->step = STEP_IDLE;
        else if (installer->report.sequence > installer->ordered_sequence &&
                 !installer->report.load.loading && now > installer->ordered_at + ORDER_EFFECT_US)
            installer->step = STEP_IDLE;
        break;
    }
}

bool installer_is_busy(const struct installer *installer)
{
    return installer->step != STEP_IDLE && installer->step != STEP_READY;
}

bool installer_is_staged(const struct installer *installer)
{
    return installer->checked_at > 0 && installer->step != STEP_IDLE;
}

bool installer_is_loading(const struct installer *installer, uint64_t now)
{
    if (installer->report.load.loading || installer->step == STEP_DRAIN)
        return true;
    return installer->step == STEP_ORDERED && now < installer->ordered_at + ORDER_EFFECT_US;
}
