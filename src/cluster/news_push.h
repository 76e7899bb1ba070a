/**
 * Tells other nodes at once of changes of what the platform publishes: small changes travel in the
 * message itself, others are fetched by whoever lacks them.
 *
 * A gateway that reads the store tells the gateways of its region that do not; and every gateway
 * passes changes by the operator on (core/news_targets).
 */
#ifndef SHUNTRUN_NEWS_PUSH_H
#define SHUNTRUN_NEWS_PUSH_H

#include "cluster/cluster.h"

/** \brief Tell of what this node learned since the last call. */
void news_push(struct cluster *cluster);

#endif
