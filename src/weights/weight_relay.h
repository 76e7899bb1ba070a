/**
 * The relay of a gateway: holds the pieces of versions that loaders ask for, and hands them on.
 *
 * A version is fetched when it is first asked for. Only the newest few are kept, in memory.
 */
#ifndef SHUNTRUN_WEIGHT_RELAY_H
#define SHUNTRUN_WEIGHT_RELAY_H

#include "cluster/cluster.h"

struct weight_relay;

struct weight_relay *weight_relay_create(struct cluster *cluster);
/** \brief Say where the origin of weights is. */
void weight_relay_set_origin(struct weight_relay *relay, const struct sockaddr_in *origin);
/** \brief Answer a call of another node, now or later. \return false when it is none for weights */
bool weight_relay_serve(struct weight_relay *relay, struct service_call *call,
                        const struct service_request *request);
/** \brief Call several times a second. */
void weight_relay_tick(struct weight_relay *relay, uint64_t now);

#endif
