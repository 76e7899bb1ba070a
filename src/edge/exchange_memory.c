/* Gives up answers whose end may never come, so that they don't take the memory of all other
 * requests. */
#include "base/log.h"
#include "edge/exchange_internal.h"

size_t exchange_held_bytes(const struct exchange *exchange,
                           const struct upstream_response *response)
{
    return response->message.body.size + exchange->events.partial.size;
}

static void give_up(struct exchange *exchange, size_t size, const struct memory_use *memory)
{
    struct edge *edge = exchange->edge;
    log_event(LOG_LEVEL_WARN, "request", "given-up",
              "request=%s backend=%s answer_bytes=%zu held_bytes=%zu limit_bytes=%zu",
              exchange->head.id, exchange->backend->listing.id, size, memory->held, memory->limit);
    exchange_on_attempt_failed(exchange, BACKEND_BROKEN, END_MEMORY);
    exchange_dispatch_queued(edge);
}

bool exchange_give_up_if_memory_full(struct exchange *exchange, size_t size)
{
    struct memory_use memory = edge_memory_use(exchange->edge);
    if (!memory_share_gives_up(&memory, size))
        return false;
    give_up(exchange, size, &memory);
    return true;
}

/* Gives up the largest answer. \return whether there was one that had to be given up */
static bool give_up_for_arrival(struct edge *edge)
{
    size_t size;
    struct memory_use memory = edge_memory_use(edge);
    if (!memory_share_gives_up_for_arrival(&memory, SIZE_MAX))
        return false;
    struct exchange *largest = upstream_largest_answer(edge, &size);
    if (!largest || !memory_share_gives_up_for_arrival(&memory, size))
        return false;
    give_up(largest, size, &memory);
    return true;
}

void exchange_reclaim_memory(struct edge *edge)
{
    while (give_up_for_arrival(edge))
        ; /* each ends an attempt, and a retry holds nothing yet */
}
