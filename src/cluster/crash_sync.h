/**
 * Shares among all nodes what is known of requests that crash back ends (core/crash_table).
 *
 * New evidence goes at once to whom core/crash_spread names. Messages of membership carry a digest
 * of what all gateways keep; a gateway that holds something else sends it, so that one that starts,
 * or was cut off, learns it with its first messages. Loaders keep a part: it outlives all gateways.
 */
#ifndef SHUNTRUN_CRASH_SYNC_H
#define SHUNTRUN_CRASH_SYNC_H

#include "cluster/cluster.h"
#include "core/crash_table.h"

struct crash_sync;

struct crash_sync *crash_sync_create(struct cluster *cluster);
struct crash_table *crash_sync_table(const struct crash_sync *sync);
/** \brief Tell other nodes what they were not told yet. */
void crash_sync_send_updates(struct crash_sync *sync);
/** \brief Take what a message holds of it. */
void crash_sync_receive(struct crash_sync *sync, const Shuntrun__MemberMessage *message,
                        uint32_t sender, uint64_t now);
/** \brief Forget what is too old. */
void crash_sync_trim(struct crash_sync *sync, uint64_t now);
/** \return a digest of what all gateways keep, up to 0.1 s old; 0: of nothing */
uint64_t crash_sync_digest(struct crash_sync *sync);

#endif
