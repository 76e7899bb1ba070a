/**
 * The relay in a gateway: fetches pieces of model weights and serves them to other nodes.
 *
 * A version is fetched on its first request. The few most recently requested ones are kept in
 * memory.
 */
#ifndef SHUNTRUN_WEIGHT_RELAY_H
#define SHUNTRUN_WEIGHT_RELAY_H

#include "cluster/cluster.h"

struct weight_relay;

struct weight_relay *weight_relay_create(struct cluster *cluster);
/** \brief Set the address of the origin of weights. */
void weight_relay_set_origin(struct weight_relay *relay, const struct sockaddr_in *origin);
/** \brief Set the number of pieces that the configuration gives each version of a model; 0: it
 * gives none. */
void weight_relay_expect(struct weight_relay *relay, const char *model, uint32_t pieces);
/** \brief Handle a call of another node, now or later. \return false when it is not for weights */
bool weight_relay_serve(struct weight_relay *relay, struct service_call *call,
                        const struct service_request *request);
/** \brief Handle timeouts; call several times a second. */
void weight_relay_tick(struct weight_relay *relay, uint64_t now);

#endif
