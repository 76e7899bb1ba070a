#include "core/backend_answer.h"

#define STATUS_MISDIRECTED 421
#define STATUS_UNAVAILABLE 503

static bool is_success(const struct answer_properties *facts)
{
    return facts->status >= 200 && facts->status < 300;
}

enum answer_class classify_answer(const struct answer_properties *facts)
{
    if (facts->status == STATUS_MISDIRECTED)
        return ANSWER_MISDIRECTED;
    if (facts->not_executed)
        return ANSWER_NOT_RUN;
    if (!facts->sealed || facts->encoded)
        return ANSWER_UNVERIFIED;
    return is_success(facts) ? ANSWER_SUCCEEDED : ANSWER_FAILED;
}

/* With other statuses the field says when this request may come again: 429 is about its caller, and
 * others would be kept away for his sake. */
uint64_t answer_backoff_us(const struct answer_properties *facts)
{
    return facts->status == STATUS_UNAVAILABLE ? facts->retry_after_ms * 1000 : 0;
}
