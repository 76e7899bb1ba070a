/* Queue of the requests that wait for a slot, most urgent first. Some requests wait for a time
 * only, outside the queue. */
#include "edge/exchange_internal.h"

/** Greatest urgency value that backends know: the least urgent. */
#define MAX_URGENCY 9

int exchange_urgency(const struct exchange *exchange)
{
    uint32_t tenant = exchange->tenant ? exchange->tenant->priority : 0;
    uint32_t urgency = 2 * tenant + exchange->route->priority;
    return urgency < MAX_URGENCY ? (int)urgency : MAX_URGENCY;
}

static bool is_more_urgent(const struct exchange *left, const struct exchange *right)
{
    int left_urgency = exchange_urgency(left), right_urgency = exchange_urgency(right);
    if (left_urgency != right_urgency)
        return left_urgency < right_urgency;
    return left->arrived_at < right->arrived_at;
}

static void insert_in_queue(struct exchange *exchange)
{
    struct exchange **link = &exchange->edge->queue;
    if (exchange->is_queued)
        return;
    while (*link && !is_more_urgent(exchange, *link))
        link = &(*link)->next_queued;
    exchange->next_queued = *link;
    *link = exchange;
    exchange->is_queued = true;
}

void exchange_dequeue(struct exchange *exchange)
{
    if (!exchange->is_queued)
        return;
    exchange->is_queued = false;
    for (struct exchange **link = &exchange->edge->queue; *link; link = &(*link)->next_queued) {
        if (*link == exchange) {
            *link = exchange->next_queued;
            return;
        }
    }
}

void exchange_wait_until(struct exchange *exchange, uint64_t until)
{
    exchange->state = EXCHANGE_WAITING;
    exchange->recheck_at = until;
    exchange_dequeue(exchange);
    exchange_arm_timer(exchange);
}

void exchange_enqueue(struct exchange *exchange)
{
    exchange->state = EXCHANGE_WAITING;
    exchange->recheck_at = 0;
    insert_in_queue(exchange);
    exchange_arm_timer(exchange);
}

uint32_t exchange_queue_length(const struct edge *edge)
{
    uint32_t count = 0;
    for (const struct exchange *exchange = edge->queue; exchange; exchange = exchange->next_queued)
        count++;
    return count;
}
