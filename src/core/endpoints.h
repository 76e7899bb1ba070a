/**
 * Selects the gateways that callers should use: listed, alive and not draining.
 */
#ifndef SHUNTRUN_ENDPOINTS_H
#define SHUNTRUN_ENDPOINTS_H

#include "core/node.h"

#define ENDPOINTS_MAX 64

/**
 * \brief List the gateways for an answer with endpoints; this one comes first unless it is
 * draining. \param machines indexes into node_fleet(); at most ENDPOINTS_MAX \return their number
 */
uint32_t endpoints_list(const struct node *node, bool draining, uint64_t now,
                        uint32_t machines[ENDPOINTS_MAX]);

#endif
