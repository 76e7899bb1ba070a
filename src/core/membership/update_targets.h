/**
 * The nodes to which a node sends a change by the operator at once (gossip).
 *
 * A gateway sends it to a few random gateways, which pass it on in the same way, and to the loaders
 * that it is responsible for. Each loader has two responsible gateways by rendezvous weight, of its
 * own region if that has any. Nodes that this misses receive the change with the next probe.
 */
#ifndef SHUNTRUN_UPDATE_TARGETS_H
#define SHUNTRUN_UPDATE_TARGETS_H

#include "core/membership/membership.h"

/**
 * \brief Choose the nodes to which this node sends a change.
 * \param revision of the change; members that are known to have it are left out
 * \param count receives the number of addresses
 * \return their addresses, owned by the caller
 */
uint32_t *update_targets(struct membership *membership, uint64_t revision,
                         struct random_stream *random, uint32_t *count);

#endif
