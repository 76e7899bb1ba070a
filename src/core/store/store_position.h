/**
 * A place in the history of the platform's store, which may come back from an older copy: its
 * revisions then go back, and are given out again in the next epoch. Positions are ordered by epoch
 * and revision, as term and index are in a replicated log, and compare like integers; a position
 * without an epoch (0) is the plain revision. In decimal, the last twelve digits are the revision.
 */
#ifndef SHUNTRUN_STORE_POSITION_H
#define SHUNTRUN_STORE_POSITION_H

#include <stdint.h>

/** Revisions of one epoch. */
#define STORE_EPOCH_SPAN ((uint64_t)1000000000000)
/** Greatest epoch that a position can hold. */
#define STORE_EPOCH_MAX (UINT64_MAX / STORE_EPOCH_SPAN - 1)

/** \return the position of a revision in an epoch; revisions above the span are cut to it */
static inline uint64_t store_position(uint64_t epoch, uint64_t revision)
{
    uint64_t last = STORE_EPOCH_SPAN - 1;
    return epoch * STORE_EPOCH_SPAN + (revision < last ? revision : last);
}

static inline uint64_t store_position_epoch(uint64_t position)
{
    return position / STORE_EPOCH_SPAN;
}

/** \return the revision in its epoch, as the store counts it */
static inline uint64_t store_position_revision(uint64_t position)
{
    return position % STORE_EPOCH_SPAN;
}

#endif
