/**
 * Synchronizes the copies of the platform state: fetches changes from a peer with a newer revision,
 * and serves them to peers with an older one.
 */
#ifndef SHUNTRUN_STATE_SYNC_H
#define SHUNTRUN_STATE_SYNC_H

#include "cluster/cluster.h"

/** \return the synchronization of a node's state, which lives as long as the process */
struct state_sync *state_sync_create(struct cluster *cluster);
/**
 * \brief Record that a peer has changes that this node needs.
 * \param revision up to which the peer knows all changes
 * \param near whether it is in the own region; peers in other regions are requested only after a
 * delay, if the changes have not arrived by then
 */
void state_sync_record_newer_peer(struct state_sync *sync, uint32_t peer, uint64_t revision,
                                  bool near, uint64_t now);
/** \brief Apply changes pushed by a peer. \return false if changes before them are missing here */
bool state_sync_apply(struct state_sync *sync, const Shuntrun__StateChanges *changes);
/** \brief Start a request that is due; call it several times a second. */
void state_sync_tick(struct state_sync *sync, uint64_t now);
/** \brief Serve a peer's request for changes. \return whether the call was one, and is answered */
bool state_sync_serve(struct state_sync *sync, struct service_call *call,
                      const struct service_request *request);

#endif
