/**
 * How long a stream of a service is expected to last, learned from those that ended.
 *
 * Clients may say how many tokens they guess; a guess is off by a factor of two for one stream in
 * ten, so it orders streams by length rather than telling when one ends.
 */
#ifndef SHUNTRUN_STREAM_LENGTH_H
#define SHUNTRUN_STREAM_LENGTH_H

#include <stdint.h>

/** Weight of one stream in the moving sums: about the last hundred streams count. */
#define STREAM_LENGTH_WEIGHT 0.01

/** Moving sums; all 0 before the first stream. */
struct stream_length {
    double streams;
    double time_us;        /**< of all streams */
    double hinted_tokens;  /**< of streams with a guess */
    double hinted_time_us; /**< of the same streams */
};

/** \brief A stream ended whole. \param guess of its client, tokens; 0: none */
static inline void stream_length_record(struct stream_length *length, uint32_t hint,
                                        uint64_t time_us)
{
    double decay = 1 - STREAM_LENGTH_WEIGHT;
    length->streams = length->streams * decay + 1;
    length->time_us = length->time_us * decay + (double)time_us;
    if (!hint)
        return;
    length->hinted_tokens = length->hinted_tokens * decay + hint;
    length->hinted_time_us = length->hinted_time_us * decay + (double)time_us;
}

/** \return time from the send of a stream to its end, microseconds; 0: not known */
static inline uint64_t stream_length_expected_us(const struct stream_length *length, uint32_t hint)
{
    if (hint && length->hinted_tokens > 0)
        return (uint64_t)(hint * length->hinted_time_us / length->hinted_tokens);
    return length->streams > 0 ? (uint64_t)(length->time_us / length->streams) : 0;
}

#endif
