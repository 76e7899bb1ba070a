/* Load, latency and failures of a backend, as this gateway's own requests show them. */
#include "core/backend/backend_pool_internal.h"

/** Weights of the newest sample in moving averages. */
#define RATE_EWMA_WEIGHT 0.15
#define LATENCY_EWMA_WEIGHT 0.2
#define FAILURES_BEFORE_EJECTION 2
#define FIRST_EJECTION_US 500000
#define MAX_EJECTION_US 4000000
/** Share of failed requests above which a backend is ejected. */
#define FAULTY_FAILURE_RATE 0.35

void backend_request_started(struct backend *backend, uint32_t tokens, uint64_t now)
{
    if (!backend->awaiting_first_byte)
        backend->awaiting_since = now;
    backend->probing |= now >= backend->ejected_until && backend_needs_probe(backend, now);
    backend->in_flight++;
    backend->sent_since_report++;
    backend->started_since_report++;
    backend->awaiting_first_byte++;
    backend->pending_prompt_tokens += tokens;
    backend->tokens_since_report += tokens;
}

void backend_request_answered(struct backend *backend, uint32_t tokens, uint64_t latency_us,
                              uint64_t now)
{
    if (latency_us) {
        backend->last_answer_at = now;
        backend->last_latency_us = latency_us;
    }
    backend->awaiting_since = now;
    backend->awaiting_first_byte--;
    backend->pending_prompt_tokens -= tokens;
    backend->tokens_since_report -= tokens;
}

static void update_rate(double *rate, bool hit)
{
    *rate += RATE_EWMA_WEIGHT * ((hit ? 1.0 : 0.0) - *rate);
}

static void eject(struct backend *backend, uint64_t now)
{
    uint64_t length = backend->ejection_us ? 2 * backend->ejection_us : FIRST_EJECTION_US;
    backend->ejection_us = length > MAX_EJECTION_US ? MAX_EJECTION_US : length;
    backend->ejected_until = now + backend->ejection_us;
}

static bool is_failure(enum backend_result result)
{
    return result == BACKEND_BROKEN || result == BACKEND_TIMED_OUT || result == BACKEND_UNREACHABLE;
}

/* An engine that loads other weights may abort its running requests, which is not a failure. */
static bool is_planned_abort(const struct backend_pool *pool, const struct backend *backend,
                             enum backend_result result, uint64_t now)
{
    return result == BACKEND_BROKEN && backend_has_recent_load(pool, backend, now) &&
           backend->load.loading;
}

bool backend_request_ended(struct backend_pool *pool, struct backend *backend,
                           enum backend_result result, uint64_t latency_us, uint64_t now)
{
    bool was_probe = backend->probing;
    backend->in_flight--;
    backend->sent_since_report--;
    backend->probing = false;
    /* Only successes measure the latency: a failure may take any time. */
    if (result == BACKEND_SUCCEEDED && latency_us && backend->latency_us > 0)
        backend->latency_us += LATENCY_EWMA_WEIGHT * ((double)latency_us - backend->latency_us);
    else if (result == BACKEND_SUCCEEDED && latency_us)
        backend->latency_us = (double)latency_us;
    if (result == BACKEND_CANCELLED || is_planned_abort(pool, backend, result, now))
        return false;
    update_rate(&backend->failure_rate, is_failure(result));
    update_rate(&backend->refusal_rate, result == BACKEND_REFUSED);
    if (!is_failure(result)) {
        backend->failures = 0;
        if (result == BACKEND_SUCCEEDED) {
            backend->ejected_until = 0;
            if (was_probe)
                backend->failure_rate /= 2;
            if (backend->failure_rate < 0.05)
                backend->ejection_us = 0;
        }
        return false;
    }
    backend->failures++;
    bool faulty = result == BACKEND_UNREACHABLE || was_probe ||
                  backend->failures >= FAILURES_BEFORE_EJECTION ||
                  backend->failure_rate > FAULTY_FAILURE_RATE;
    if (faulty)
        eject(backend, now);
    return faulty;
}
