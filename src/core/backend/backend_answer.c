#include "core/backend/backend_answer.h"

#define STATUS_MISDIRECTED_REQUEST 421
#define STATUS_SERVICE_UNAVAILABLE 503

static bool is_success(const struct answer_properties *answer)
{
    return answer->status >= 200 && answer->status < 300;
}

enum answer_class classify_answer(const struct answer_properties *answer)
{
    if (answer->status == STATUS_MISDIRECTED_REQUEST)
        return ANSWER_MISDIRECTED;
    if (answer->not_executed)
        return ANSWER_NOT_RUN;
    if (!answer->sealed || answer->encoded)
        return ANSWER_UNVERIFIED;
    return is_success(answer) ? ANSWER_SUCCEEDED : ANSWER_FAILED;
}

enum rate_statement answer_rate_statement(const struct answer_properties *answer)
{
    if (answer->rate == RATE_UNLIMITED && classify_answer(answer) != ANSWER_SUCCEEDED)
        return RATE_UNKNOWN;
    return answer->rate;
}

/* With any other status, Retry-After applies to the request and not to the backend: a 429 limits
 * one caller, and a backoff would withhold the requests of all other callers, too. */
uint64_t answer_backoff_us(const struct answer_properties *answer)
{
    return answer->status == STATUS_SERVICE_UNAVAILABLE ? answer->retry_after_ms * 1000 : 0;
}
