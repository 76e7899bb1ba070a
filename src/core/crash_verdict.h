/**
 * Which requests crash back ends, judged from who was there when starts of back ends ended.
 *
 * This is group testing: each ended start is a test of the group of requests that it had, and tells
 * something of one of them only where the others are known not to be the cause. A request is
 * - a suspect once it was there at one end;
 * - isolated once it was there at CRASHES_TO_ISOLATE ends that no blocked request explains: it
 *   then runs at a back end without another isolated request (core/crash_lease), so that the next
 *   end is proof, and a good end clears it;
 * - blocked once it was there at enough ends, CRASH_PROOFS_TO_BLOCK of which are proof: it was the
 *   only one there that had, with this end, as many ends unexplained as isolate a request.
 * An end at which a blocked request was is explained for all others.
 * - held back, if it is isolated, from CRASHES_TO_HOLD ends on, for a time that doubles, if
 * that is no proof: ends that were shared are no reason to refuse a request for good.
 *
 * Pure functions of the entries: nodes that hold the same entries, in any order, judge alike.
 */
#ifndef SHUNTRUN_CRASH_VERDICT_H
#define SHUNTRUN_CRASH_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

struct crash_entry;

/** Ended starts from which on a request runs apart from others with as many. */
#define CRASHES_TO_ISOLATE 2
/** Ended starts that block a request, with proofs among them. Two are met by chance: a stream whose
 *  engine ends goes on at another one, where a suspect may run. */
#define CRASHES_TO_BLOCK 3
/** The same for a request of which one attempt of its caller was at all of them: a begun stream
 * goes on wherever it can, and meets others' ends by that. */
#define CRASHES_TO_BLOCK_SINGLE_ATTEMPT 4
/** Proofs among these ends, where nothing else ends back ends. */
#define CRASH_PROOFS_TO_BLOCK 1
/** The same where back ends end for reasons that are not known, too: such an end may come while a
 *  request runs apart. */
#define CRASH_PROOFS_TO_BLOCK_IN_NOISE 3
/** Ended starts from which on a request that is isolated and not proven is held back, explained
 * ones too: two requests that crash back ends may have met at some of them. */
#define CRASHES_TO_HOLD 3
/** A loss of power ends many starts at one moment, repeats that come to several gateways at once
 * end a few: of one moment no more than these count. */
#define CRASH_MAX_SIMULTANEOUS_COUNTED 2
/** Time after the first of these in which it may still run, apart from others. */
#define CRASH_HOLD_GRACE_US ((uint64_t)2000000)
/** It is held back for so long after its last end, and for twice as long with each further one. */
#define CRASH_HOLD_INITIAL_US ((uint64_t)10000000)
#define CRASH_HOLD_MAX_US ((uint64_t)3600000000)
/** Ended starts that nothing explains and that block a request whoever else was there: two requests
 *  that each crash back ends may always have met. Not where others end as well. */
#define CRASHES_TO_BLOCK_WITHOUT_PROOF 5

/** What follows from all entries for one of them. */
struct crash_finding {
    uint32_t unexplained; /**< ends at which no other request that is blocked was */
    uint32_t crashes; /**< all ends, those of one moment CRASH_MAX_SIMULTANEOUS_COUNTED at most */
    uint32_t proofs;
    bool isolated; /**< it must not run beside another one that is */
    bool blocked;  /**< unless its ends are so old that it may be tried again */
    bool settled;  /**< with `blocked`: all nodes know the ends that it rests on */
};

/** \return time up to which a request must not run, where it is not blocked; 0: it may */
uint64_t crash_verdict_held_until(const struct crash_finding *finding, uint64_t latest_crash_at,
                                  uint64_t now);
/**
 * \brief Judge all entries. Only who is blocked by a settled verdict explains ends of others.
 * \param findings one for each entry, written
 * \return time at which a verdict settles next; UINT64_MAX: none does
 */
uint64_t crash_verdict_evaluate(const struct crash_entry *entries, uint32_t count, uint64_t now,
                                struct crash_finding *findings);

#endif
