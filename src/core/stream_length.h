/**
 * Estimates the duration of a service's streams from streams that have completed.
 *
 * Clients may send a length hint, in tokens. A hint is off by a factor of two for one stream in
 * ten, so an estimate from it serves to order streams by length rather than to predict when one
 * ends.
 */
#ifndef SHUNTRUN_STREAM_LENGTH_H
#define SHUNTRUN_STREAM_LENGTH_H

#include <stdint.h>

/** Weight of one stream in the decaying sums: about the last hundred streams count. */
#define STREAM_LENGTH_WEIGHT 0.01

/** Exponentially decaying sums; all 0 before the first stream. */
struct stream_length {
    double streams;        /**< number of streams */
    double time_us;        /**< of all streams */
    double hinted_tokens;  /**< of streams with a hint */
    double hinted_time_us; /**< of the same streams */
};

/**
 * \brief Record a completed stream.
 * \param hint length hint of its client, tokens; 0: none
 * \param time_us from sending the request to the end of the stream
 */
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

/** \return expected time from sending a request to the end of its stream, us; 0: unknown */
static inline uint64_t stream_length_expected_us(const struct stream_length *length, uint32_t hint)
{
    if (hint && length->hinted_tokens > 0)
        return (uint64_t)(hint * length->hinted_time_us / length->hinted_tokens);
    return length->streams > 0 ? (uint64_t)(length->time_us / length->streams) : 0;
}

#endif
