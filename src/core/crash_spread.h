/**
 * Whom a node tells of requests that were there when back ends ended.
 *
 * One ended start makes a request no more than a suspect among a dozen: it goes to a few gateways
 * that every node reckons alike from the request, where the next one meets it. What was there at
 * more starts concerns everybody: it goes to a few gateways taken by chance, each of which passes
 * it on once, and to two loaders, which outlive the gateways. Told to all at once, the end of many
 * engines would fill the links between regions.
 */
#ifndef SHUNTRUN_CRASH_SPREAD_H
#define SHUNTRUN_CRASH_SPREAD_H

#include "core/crash_table.h"
#include "core/membership.h"

/** Gateways at which evidence on one request meets. In a fleet of 7 these are all, so that same
 *  requests meet at one back end, and others part, from the first end on. */
#define CRASH_GATEWAY_REPLICAS 6
/** Loaders that keep what all gateways keep: both have to be lost with all gateways. */
#define CRASH_LOADER_REPLICAS 2
/** Gateways that each node tells of a request that was there at more than one end. A rumour that
 *  each node passes on reaches nearly all; a digest finds the others. */
#define CRASH_GOSSIP_FANOUT 6

struct crash_receivers {
    uint32_t addresses[CRASH_GOSSIP_FANOUT + CRASH_GATEWAY_REPLICAS + CRASH_LOADER_REPLICAS];
    uint32_t count;
};

/** \brief The nodes to tell of an entry, this one not among them. */
void crash_spread_receivers(struct membership *membership, const struct crash_entry *entry,
                            struct random_stream *random, struct crash_receivers *receivers);

#endif
