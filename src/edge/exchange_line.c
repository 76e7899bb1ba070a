/* The line of requests that wait for a place, the most urgent first; some wait beside it, for time
 * alone. */
#include "edge/exchange_internal.h"

#define URGENCY_MOST 9

int exchange_urgency(const struct exchange *exchange)
{
    uint32_t tenant = exchange->tenant ? exchange->tenant->priority : 0;
    uint32_t urgency = 2 * tenant + exchange->route->priority;
    return urgency < URGENCY_MOST ? (int)urgency : URGENCY_MOST;
}

static bool goes_before(const struct exchange *left, const struct exchange *right)
{
    int left_urgency = exchange_urgency(left), right_urgency = exchange_urgency(right);
    if (left_urgency != right_urgency)
        return left_urgency < right_urgency;
    return left->arrived < right->arrived;
}

static void join_line(struct exchange *exchange)
{
    struct exchange **place = &exchange->edge->waiting;
    if (exchange->in_line)
        return;
    while (*place && !goes_before(exchange, *place))
        place = &(*place)->next_waiting;
    exchange->next_waiting = *place;
    *place = exchange;
    exchange->in_line = true;
}

void exchange_leave_line(struct exchange *exchange)
{
    if (!exchange->in_line)
        return;
    exchange->in_line = false;
    for (struct exchange **place = &exchange->edge->waiting; *place;
         place = &(*place)->next_waiting) {
        if (*place == exchange) {
            *place = exchange->next_waiting;
            return;
        }
    }
}

void exchange_wait_until(struct exchange *exchange, uint64_t moment)
{
    exchange->state = EXCHANGE_WAITING;
    exchange->next_look = moment;
    exchange_leave_line(exchange);
    exchange_arm(exchange);
}

void exchange_wait_in_line(struct exchange *exchange)
{
    exchange->state = EXCHANGE_WAITING;
    exchange->next_look = 0;
    join_line(exchange);
    exchange_arm(exchange);
}

uint32_t exchange_waiting_count(const struct edge *edge)
{
    uint32_t count = 0;
    for (const struct exchange *exchange = edge->waiting; exchange;
         exchange = exchange->next_waiting)
        count++;
    return count;
}
