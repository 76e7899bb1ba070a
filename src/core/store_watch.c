#include "core/store_watch.h"

/** Time for a page of the whole, which is sent at once. */
#define READ_TIMEOUT_MS 1500
/** A watch that the store never answers, as it was silent meanwhile, must be over within the 3 s in
 *  which nodes get back in touch; after a failure it is over sooner. */
#define WATCH_WAIT_MS 2300
#define WATCH_AGAIN_MS 800
/** Time for the answer at the end of the wait: a store may answer a hundred times slower than its
 *  usual 4 ms. */
#define WATCH_SLACK_MS 700
#define BACKOFF_FIRST_MS 150
#define BACKOFF_MOST_MS 1000
/** A node that knows nothing yet serves nobody. */
#define BACKOFF_EMPTY_MS 250
#define BACKOFF_DOUBLINGS_MOST 3

void store_watch_begin(struct store_watch *watch, uint64_t known)
{
    *watch = (struct store_watch){.revision = known};
}

struct store_call store_watch_next_call(const struct store_watch *watch)
{
    if (!watch->revision)
        return (struct store_call){.timeout_ms = READ_TIMEOUT_MS};
    uint32_t wait_ms = watch->failures ? WATCH_AGAIN_MS : WATCH_WAIT_MS;
    return (struct store_call){
        .watches = true, .wait_ms = wait_ms, .timeout_ms = wait_ms + WATCH_SLACK_MS};
}

uint32_t store_watch_failed(struct store_watch *watch)
{
    uint32_t doublings =
        watch->failures < BACKOFF_DOUBLINGS_MOST ? watch->failures : BACKOFF_DOUBLINGS_MOST;
    uint32_t wait_ms = BACKOFF_FIRST_MS << doublings;
    uint32_t most_ms = watch->revision ? BACKOFF_MOST_MS : BACKOFF_EMPTY_MS;
    watch->failures++;
    return wait_ms < most_ms ? wait_ms : most_ms;
}

void store_watch_history_lost(struct store_watch *watch)
{
    watch->revision = 0;
}

void store_watch_answered(struct store_watch *watch, uint64_t revision)
{
    if (revision > watch->revision)
        watch->revision = revision;
    watch->answered = true;
    watch->failures = 0;
}

bool store_watch_is_sound(const struct store_watch *watch)
{
    return watch->answered && !watch->failures;
}
