#include "core/random.h"

#include <Random123/threefry.h>

uint64_t random_next(struct random_stream *stream)
{
    threefry2x64_ctr_t counter = {{stream->counter++, 0}};
    threefry2x64_key_t key = {{stream->seed, 0}};
    return threefry2x64(counter, key).v[0];
}

uint64_t random_below(struct random_stream *stream, uint64_t bound)
{
    if (!bound)
        return 0;
    return (uint64_t)(((__uint128_t)random_next(stream) * bound) >> 64);
}

double random_unit(struct random_stream *stream)
{
    return (double)(random_next(stream) >> 11) * 0x1.0p-53;
}
