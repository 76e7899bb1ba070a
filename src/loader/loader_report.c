/* Asks the engine for reports of its state, and hears what it states about itself. */
#include "base/log.h"
#include "base/metrics.h"
#include "cluster/rate_message.h"
#include "loader/loader_internal.h"

#include <inttypes.h>
#include <string.h>

#define REPORT_TIMEOUT_MS 600
#define REPORT_BODY_LIMIT_BYTES (1U << 20)

static void set_reachable(struct loader *loader, bool reachable)
{
    if (reachable != loader->reachable)
        log_event(reachable ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "engine",
                  reachable ? "regained" : "lost", "address=%s version=%" PRIu64,
                  loader->cluster.settings->engine_address, loader->report.load.version);
    loader->reachable = reachable;
}

/* The engine says in the head of each response whether it is shutting down, and which rate of
 * requests it accepts. */
static struct answer_properties read_statements(const struct http_message *message)
{
    struct response_head head;
    platform_read_response(message, &head);
    return head.properties;
}

static void log_shutdown_change(const struct loader *loader, bool leaving)
{
    if (leaving != loader->report.load.leaving)
        log_event(LOG_LEVEL_INFO, "engine", leaving ? "leaving" : "stays",
                  "address=%s born=%" PRIu64 " running=%u",
                  loader->cluster.settings->engine_address, loader->report.load.born,
                  loader->report.load.running);
}

static void log_rate(const struct loader *loader, const struct stated_rate *before,
                     const char *source)
{
    const struct stated_rate *rate = &loader->rate.stated;
    metric_add(METRIC_RATE_LIMITS, 1);
    log_event(LOG_LEVEL_INFO, "engine", rate->limited ? "rate-limited" : "rate-unlimited",
              "address=%s born=%" PRIu64 " source=%s per_s=%.3f before_per_s=%.3f was_limited=%d",
              loader->cluster.settings->engine_address, loader->rate.born, source, rate->per_s,
              before->per_s, before->limited);
}

static void hear_rate(struct loader *loader, const struct answer_properties *answer, uint64_t now)
{
    struct heard_rate heard = {answer->rate, answer->rate_limit_per_s, loader->report_asked_at};
    engine_rate_set_born(&loader->rate, loader->report.load.born);
    struct stated_rate before = loader->rate.stated;
    if (engine_rate_hear(&loader->rate, &heard, now))
        log_rate(loader, &before, "report");
}

void loader_on_rate(void *context, uint32_t from, const Shuntrun__RateStatement *message)
{
    struct loader *loader = context;
    uint64_t now = cluster_now();
    struct stated_rate told = rate_message_read(message, now), before = loader->rate.stated;
    if (strcmp(message->address, loader->cluster.settings->engine_address) != 0 ||
        !engine_rate_merge(&loader->rate, message->born, &told))
        return;
    log_rate(loader, &before, "gateway");
    if (loader->reachable) /* else the next report is sent with it */
        loader_send_load(loader, now);
}

static void on_report(void *context, enum http_call_result result,
                      const struct http_message *message)
{
    struct loader *loader = context;
    struct engine_report report;
    uint64_t now = cluster_now();
    loader->report_pending = false;
    bool valid = result == CALL_COMPLETE && http_message_status(message) == 200 &&
                 platform_read_report(message->body.data, message->body.size, loader->model,
                                      &report) == STATUS_OK;
    set_reachable(loader, valid);
    if (valid) {
        struct answer_properties statements = read_statements(message);
        report.load.leaving = statements.leaving;
        log_shutdown_change(loader, report.load.leaving);
        loader->report = report;
        hear_rate(loader, &statements, now);
        metric_gauge_set(METRIC_ENGINE_RUNNING, report.load.running);
        metric_gauge_set(METRIC_ENGINE_WAITING, report.load.waiting);
        metric_gauge_set(METRIC_ENGINE_VERSION, report.load.version);
    }
    if (loader->installer)
        installer_on_report(loader->installer, &loader->report, valid, now);
    if (valid)
        loader_send_load(loader, now);
}

/* The engine may have restarted with an empty staging area before the next report. */
void loader_on_engine_connection_lost(void *context)
{
    struct loader *loader = context;
    if (loader->installer)
        installer_on_report(loader->installer, &loader->report, false, cluster_now());
}

void loader_request_report(struct loader *loader)
{
    struct http_caller_request request = {.method = "GET",
                                          .target = platform_report_target(),
                                          .timeout_ms = REPORT_TIMEOUT_MS,
                                          .body_limit = REPORT_BODY_LIMIT_BYTES,
                                          .done = on_report,
                                          .context = loader};
    loader->report_pending = true;
    loader->report_asked_at = cluster_now();
    http_caller_send(loader->engine_caller, &request);
}
