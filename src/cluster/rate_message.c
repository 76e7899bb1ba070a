#include "cluster/rate_message.h"

#define US_PER_MS ((uint64_t)1000)

void rate_message_write(const struct stated_rate *rate, uint64_t born, uint64_t now,
                        Shuntrun__RateStatement *message)
{
    shuntrun__rate_statement__init(message);
    message->born = born;
    message->limited = rate->limited;
    message->per_s = rate->per_s;
    message->age_ms = (now - rate->heard_at) / US_PER_MS;
}

struct stated_rate rate_message_read(const Shuntrun__RateStatement *message, uint64_t now)
{
    uint64_t age_us = message->age_ms * US_PER_MS;
    return (struct stated_rate){message->limited, message->per_s, now > age_us ? now - age_us : 1};
}
