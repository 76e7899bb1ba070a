/**
 * Takes what the platform publishes from peers that are ahead, and gives it to those that are
 * behind.
 */
#ifndef SHUNTRUN_STATE_SYNC_H
#define SHUNTRUN_STATE_SYNC_H

#include "cluster/cluster.h"

struct state_sync *state_sync_create(struct cluster *cluster);
/**
 * \brief A peer knows changes that this node needs; its state reaches up to `revision`.
 * \param near it is of the own region: others are asked only when no near one tells the same soon
 */
void state_sync_record_newer_peer(struct state_sync *sync, uint32_t peer, uint64_t revision,
                                  bool near, uint64_t now);
/** \brief A peer sent changes. \return false when changes before them are not known here */
bool state_sync_apply(struct state_sync *sync, const Shuntrun__StateChanges *changes);
void state_sync_tick(struct state_sync *sync, uint64_t now);
/** \return whether the call was one for changes of the state, and is answered */
bool state_sync_serve(struct state_sync *sync, struct service_call *call,
                      const struct service_request *request);

#endif
