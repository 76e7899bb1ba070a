/**
 * Takes what the platform publishes from peers that are ahead, and gives it to those that are
 * behind.
 */
#ifndef SHUNTRUN_STATE_SYNC_H
#define SHUNTRUN_STATE_SYNC_H

#include "cluster/cluster.h"

struct state_sync *state_sync_create(struct cluster *cluster);
/** \brief A peer knows changes that this node needs; its state reaches up to `revision`. */
void state_sync_heard(struct state_sync *sync, uint32_t peer, uint64_t revision, uint64_t now);
void state_sync_tick(struct state_sync *sync, uint64_t now);
/** \return whether the call was one for changes of the state, and is answered */
bool state_sync_serve(struct state_sync *sync, struct service_call *call,
                      const struct service_request *request);

#endif
