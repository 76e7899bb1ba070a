/**
 * The attributes of a node that placement and overlay networks use.
 */
#ifndef SHUNTRUN_MEMBER_H
#define SHUNTRUN_MEMBER_H

#include <stdint.h>

struct member {
    uint64_t id; /**< hash_name() of the node's name */
    uint16_t zone;
    uint16_t region;
};

#endif
