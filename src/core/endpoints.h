/**
 * Which addresses callers should use: gateways that are listed, heard and not draining.
 */
#ifndef SHUNTRUN_ENDPOINTS_H
#define SHUNTRUN_ENDPOINTS_H

#include "core/node.h"

#define ENDPOINTS_MAX 64

/**
 * \brief List gateways for an address answer, this one first unless it drains.
 * \param machines indexes into node_fleet(); at most ENDPOINTS_MAX
 * \return how many
 */
uint32_t endpoints_list(const struct node *node, bool draining, uint64_t now,
                        uint32_t machines[ENDPOINTS_MAX]);

#endif
