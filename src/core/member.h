/**
 * A member of a group of nodes, as far as placement and overlays need it.
 */
#ifndef SHUNTRUN_MEMBER_H
#define SHUNTRUN_MEMBER_H

#include <stdint.h>

struct member {
    uint64_t id; /**< hash_name of the node */
    uint16_t zone;
    uint16_t region;
};

#endif
