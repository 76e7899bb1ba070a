/**
 * Selects the nodes to which a node sends its crash entries.
 *
 * One crash makes a request no more than one suspect among a dozen. Its entry goes to a few replica
 * gateways, which every node derives from the request identity, so that entries of the same request
 * meet there, and to two loaders, which outlive the gateways. An entry with more crashes concerns
 * all gateways: it is gossiped to a few random gateways, each of which forwards it once.
 * Sending each entry to all nodes at once would saturate the links between regions when many
 * engines crash.
 */
#ifndef SHUNTRUN_CRASH_SPREAD_H
#define SHUNTRUN_CRASH_SPREAD_H

#include "core/crash/crash_table.h"
#include "core/membership/membership.h"

/** Replica gateways of an entry. In a fleet of 7 gateways these are all the others, so from the
 *  first crash on attempts of the same request share a backend and different suspects do not. */
#define CRASH_GATEWAY_REPLICAS 6
/** Loaders that hold an entry: it is lost only with both loaders and all gateways. */
#define CRASH_LOADER_REPLICAS 2
/** Random gateways to which each node gossips a shared entry. Gossip that each node forwards
 *  reaches nearly all nodes; comparing digests finds the others. */
#define CRASH_GOSSIP_FANOUT 6

struct crash_receivers {
    uint32_t addresses[CRASH_GOSSIP_FANOUT + CRASH_GATEWAY_REPLICAS + CRASH_LOADER_REPLICAS];
    uint32_t count;
};

/** \brief Select the nodes to which an entry is sent, without this node. */
void crash_spread_receivers(struct membership *membership, const struct crash_entry *entry,
                            struct random_stream *random, struct crash_receivers *receivers);

#endif
