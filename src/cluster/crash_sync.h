/**
 * Replicates the crash entries of requests that crash backends (core/crash/crash_table) between
 * nodes.
 *
 * New evidence is sent at once to the nodes that core/crash/crash_spread selects. Membership
 * messages carry a digest of the shared entries, which all gateways hold. A gateway whose digest
 * differs replies with its entries (anti-entropy), so a gateway that has just started, or was
 * partitioned, receives them with its first messages. Loaders hold some of the entries, which so
 * outlive the loss of all gateways. A gateway process that a node hears of for the first time gets
 * the entries with recent crashes, also those that the digest leaves out.
 */
#ifndef SHUNTRUN_CRASH_SYNC_H
#define SHUNTRUN_CRASH_SYNC_H

#include "cluster/cluster.h"
#include "core/crash/crash_table.h"

struct crash_sync;

/** \return a replicator with an empty table, which lives as long as the process */
struct crash_sync *crash_sync_create(struct cluster *cluster);
/** \return the table of this node */
struct crash_table *crash_sync_table(const struct crash_sync *sync);
/** \brief Send entries that changed since they were last sent; call it after changes. */
void crash_sync_send_updates(struct crash_sync *sync);
/** \brief Merge the entries in a message, and reply if its digest differs. */
void crash_sync_receive(struct crash_sync *sync, const Shuntrun__MemberMessage *message,
                        uint32_t sender, uint64_t now);
/** \brief Send the entries with recent crashes to a gateway process that has just begun. */
void crash_sync_send_recent(struct crash_sync *sync, uint32_t address);
/** \brief Remove expired entries. */
void crash_sync_trim(struct crash_sync *sync, uint64_t now);
/** \return digest of the shared entries, computed up to 0.1 s ago; 0: there are none */
uint64_t crash_sync_digest(struct crash_sync *sync);

#endif
