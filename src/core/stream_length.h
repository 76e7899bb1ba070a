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
    double time_us;         /**< of all streams */
    double guessed_tokens;  /**< of streams with a guess */
    double guessed_time_us; /**< of the same streams */
};

/** \brief A stream ended whole. \param guess of its client, tokens; 0: none */
static inline void stream_length_learn(struct stream_length *length, uint32_t guess,
                                       uint64_t time_us)
{
    double kept = 1 - STREAM_LENGTH_WEIGHT;
    length->streams = length->streams * kept + 1;
    length->time_us = length->time_us * kept + (double)time_us;
    if (!guess)
        return;
    length->guessed_tokens = length->guessed_tokens * kept + guess;
    length->guessed_time_us = length->guessed_time_us * kept + (double)time_us;
}

/** \return time from the send of a stream to its end, microseconds; 0: not known */
static inline uint64_t stream_length_expect(const struct stream_length *length, uint32_t guess)
{
    if (guess && length->guessed_tokens > 0)
        return (uint64_t)(guess * length->guessed_time_us / length->guessed_tokens);
    return length->streams > 0 ? (uint64_t)(length->time_us / length->streams) : 0;
}

#endif
