/**
 * Parts of prompts that several requests share. A part may crash each backend that begins to answer
 * it, whatever else a request holds; so crashes are recorded for the parts of a request as well as
 * for the request itself.
 *
 * The identity of a part does not cover the caller: callers whose requests with it are answered
 * clear it for all, and all are protected once it is blocked.
 */
#ifndef SHUNTRUN_PROMPT_PART_H
#define SHUNTRUN_PROMPT_PART_H

#include "core/crash/request_identity.h"

#include <stdint.h>

struct prompt_part {
    struct request_identity identity; /**< the same for all requests to a service with this part */
    uint64_t id;                      /**< as clients send it */
    uint32_t position;                /**< in the prompt, from 0 */
};

struct prompt_part prompt_part_of(const char *service, uint64_t id, uint32_t position);

/** Parts that are remembered at least; the set that a new part falls into forgets its oldest. */
#define SOUND_PARTS_SETS 256
#define SOUND_PARTS_PER_SET 4

/** When requests with a part were last seen to be answered. All 0 at first. */
struct sound_parts {
    struct sound_part {
        uint64_t key;
        uint64_t at;
    } sets[SOUND_PARTS_SETS][SOUND_PARTS_PER_SET];
};

/** \brief Record that a backend was answering a request with the part at this time. */
void sound_parts_record(struct sound_parts *parts, const struct request_identity *part,
                        uint64_t at);
/** \return the latest such time; 0: none is remembered */
uint64_t sound_parts_last(const struct sound_parts *parts, const struct request_identity *part);

#endif
