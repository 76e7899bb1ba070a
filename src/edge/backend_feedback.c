#include "edge/backend_feedback.h"

#include "base/log.h"
#include "base/metrics.h"
#include "cluster/rate_message.h"

#include <inttypes.h>
#include <string.h>

/* A backend with another id uses the address now; its headers say nothing about `backend`. */
static bool is_from_other_instance(const struct backend *backend, const struct response_head *head)
{
    return head->instance[0] && strcmp(head->instance, backend->listing.id) != 0;
}

/* \param request id of the request whose response announced it; "-": a load report did */
static void log_leaving(const struct backend *backend, const char *source, const char *request)
{
    metric_add(METRIC_BACKENDS_LEAVING, 1);
    log_event(LOG_LEVEL_INFO, "backend", "leaving",
              "id=%s born=%" PRIu64 " source=%s request=%s listed_draining=%d in_flight=%u",
              backend->listing.id, backend->listing.born, source, request,
              backend->listing.draining, backend->in_flight);
}

static void log_backoff(const struct backend *backend, const struct response_head *head,
                        uint64_t now)
{
    metric_add(METRIC_BACKOFFS, 1);
    log_event(LOG_LEVEL_INFO, "backend", "backs-off",
              "id=%s born=%" PRIu64 " request=%s status=%u asked_ms=%" PRIu64 " for_ms=%" PRIu64
              " in_flight=%u",
              backend->listing.id, backend->listing.born, head->request_id, head->properties.status,
              head->properties.retry_after_ms, (backend->backoff_until - now) / 1000,
              backend->in_flight);
}

/* \param source id of the request whose answer stated it, or the kind of message */
static void log_rate(const struct backend *backend, const struct stated_rate *before,
                     const char *source)
{
    metric_add(METRIC_RATE_LIMITS, 1);
    log_event(LOG_LEVEL_INFO, "backend", backend->rate.limited ? "rate-limited" : "rate-unlimited",
              "id=%s born=%" PRIu64 " source=%s per_s=%.3f before_per_s=%.3f was_limited=%d "
              "rank=%u gateways=%u in_flight=%u",
              backend->listing.id, backend->listing.born, source, backend->rate.per_s,
              before->per_s, before->limited, backend->rate_rank.rank, backend->rate_rank.gateways,
              backend->in_flight);
}

void backend_feedback_from_response(struct edge *edge, struct backend *backend,
                                    const struct response_head *head, uint64_t asked_at)
{
    uint64_t now = cluster_now();
    if (head->malformed_field)
        log_event(LOG_LEVEL_WARN, "backend", "unreadable-field", "id=%s request=%s field=%s",
                  backend->listing.id, head->request_id, head->malformed_field);
    if (is_from_other_instance(backend, head))
        return;
    struct backend_statement statement = {
        .leaving = head->properties.leaving,
        .backoff_us = answer_backoff_us(&head->properties),
        .works = classify_answer(&head->properties) == ANSWER_SUCCEEDED,
        .rate = {answer_rate_statement(&head->properties), head->properties.rate_limit_per_s,
                 asked_at},
    };
    struct stated_rate rate_before = backend->rate;
    struct backend_statement_effect change =
        backend_pool_apply_statement(edge->pool, backend, &statement, now);
    if (head->cold_ms)
        backend_record_cold(backend, now + (uint64_t)head->cold_ms * 1000);
    if (statement.leaving)
        backend_record_leaving(backend, now);
    if (change.now_leaving && !backend->load.leaving)
        log_leaving(backend, "answer", head->request_id);
    if (change.now_backed_off)
        log_backoff(backend, head, now);
    if (change.works_again)
        log_event(LOG_LEVEL_INFO, "backend", "backoff-over", "id=%s born=%" PRIu64 " request=%s",
                  backend->listing.id, backend->listing.born, head->request_id);
    if (change.rate_changed) {
        log_rate(backend, &rate_before, head->request_id);
        edge_announce_rate(edge, backend, now);
    }
}

static void merge_rate(struct backend *backend, const Shuntrun__RateStatement *rate,
                       const char *source)
{
    struct stated_rate before = backend->rate;
    struct stated_rate told = rate_message_read(rate, cluster_now());
    if (stated_rate_merge(&backend->rate, &told))
        log_rate(backend, &before, source);
}

void backend_feedback_from_rate(struct edge *edge, const Shuntrun__RateStatement *rate)
{
    struct backend *backend = backend_pool_find_address(edge->pool, rate->address);
    if (backend && rate->born == backend_born(backend))
        merge_rate(backend, rate, "gateway");
}

bool backend_feedback_from_load(struct edge *edge, const char *address,
                                const struct backend_load *load,
                                const Shuntrun__RateStatement *rate)
{
    const struct backend *previous = backend_pool_find_address(edge->pool, address);
    bool was_leaving = previous && (previous->leaving || previous->load.leaving);
    struct backend *backend = backend_pool_report(edge->pool, address, load, cluster_now());
    if (backend && load->leaving)
        backend_record_leaving(backend, cluster_now());
    if (backend && load->leaving && !was_leaving)
        log_leaving(backend, "report", "-");
    if (backend && rate && rate->born == load->born)
        merge_rate(backend, rate, "report");
    return backend != NULL;
}
