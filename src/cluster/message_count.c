#include "cluster/message_count.h"

#include "base/metrics.h"

/* Counters of one kind of message: index 0 within the region, 1 to other regions. */
struct kind_counters {
    enum metric_counter messages[2];
    enum metric_counter bytes[2];
};

static const struct kind_counters loads = {{METRIC_MESSAGES_LOAD_NEAR, METRIC_MESSAGES_LOAD_FAR},
                                           {METRIC_BYTES_LOAD_NEAR, METRIC_BYTES_LOAD_FAR}};
static const struct kind_counters probes = {{METRIC_MESSAGES_PROBE_NEAR, METRIC_MESSAGES_PROBE_FAR},
                                            {METRIC_BYTES_PROBE_NEAR, METRIC_BYTES_PROBE_FAR}};
static const struct kind_counters tables = {{METRIC_MESSAGES_TABLE_NEAR, METRIC_MESSAGES_TABLE_FAR},
                                            {METRIC_BYTES_TABLE_NEAR, METRIC_BYTES_TABLE_FAR}};
static const struct kind_counters changes = {
    {METRIC_MESSAGES_CHANGES_NEAR, METRIC_MESSAGES_CHANGES_FAR},
    {METRIC_BYTES_CHANGES_NEAR, METRIC_BYTES_CHANGES_FAR}};

static const struct kind_counters *counters_for(const Shuntrun__MemberMessage *message)
{
    if (message->load)
        return &loads;
    if (message->changes)
        return &changes;
    return message->n_digests || message->from_table ? &tables : &probes;
}

void message_count_sent(const Shuntrun__MemberMessage *message, size_t size, bool far)
{
    const struct kind_counters *counters = counters_for(message);
    metric_add(counters->messages[far], 1);
    metric_add(counters->bytes[far], size);
}
