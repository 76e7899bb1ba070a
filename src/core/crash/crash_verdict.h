/**
 * Decides which requests crash backends, from the requests that were running at each crash.
 *
 * This is group testing: each crash is a test of the group of requests on that backend incarnation,
 * and tells something about one of them only where the others are known not to be the cause. A
 * request is
 * - a suspect once it was present at one crash;
 * - isolated once it was present at CRASHES_TO_ISOLATE crashes that no blocked request explains: it
 *   then runs on a backend without another isolated request (core/crash/crash_lease), so that the
 *   next crash is proof, and a successful run clears it;
 * - blocked once it was present at enough crashes, CRASH_PROOFS_TO_BLOCK of which are proof: no
 *   other request on that backend had, counting this crash, as many unexplained crashes as isolate
 *   a request;
 * - held back, if it is isolated and not proven, from CRASHES_TO_HOLD crashes on, for a time that
 *   doubles with each further crash: shared crashes are no reason to refuse a request for good.
 * A crash at which a blocked request was present counts as explained for all other requests.
 *
 * The same rules hold for the parts that prompts share, with these differences:
 * - A part and the request that it belongs to are one participant.
 * - Of one request, CRASHES_OF_ONE_REQUEST crashes count for a part: a request that is always the
 *   same is blocked itself, and does not explain the crashes of its parts.
 * - A crash counts for the likeliest part only that was present: for the one with the most
 *   unexplained crashes; of several, for one that was never answered; else for the later one in
 *   the prompt, as more requests share the beginning.
 * - Other requests run well with most parts and clear them, so CRASHES_TO_BLOCK_PART crashes
 *   without an answer in between block a part, without proof, and fewer do not block it with one.
 *   A part is never held back.
 *
 * Pure functions of the entries: nodes that hold the same entries, in any order, reach the same
 * verdicts.
 */
#ifndef SHUNTRUN_CRASH_VERDICT_H
#define SHUNTRUN_CRASH_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

struct crash_entry;

/** Unexplained crashes from which on a request is isolated. */
#define CRASHES_TO_ISOLATE 2
/** Crashes that block a request, given enough proofs among them. Two happen by chance: a stream
 *  whose engine crashes is resumed on another engine, where a suspect may run. */
#define CRASHES_TO_BLOCK 3
/** The same for a request with a single attempt of its caller present at all of the crashes: a
 *  stream that has begun is resumed wherever possible, and so meets crashes that others cause. It
 *  also takes one more proof. */
#define CRASHES_TO_BLOCK_SINGLE_ATTEMPT 4
/** Proofs required among these crashes, where backends crash for no unknown reason. */
#define CRASH_PROOFS_TO_BLOCK 1
/** The same where backends also crash for unknown reasons: such a crash may happen to hit the
 *  backend of an isolated request. */
#define CRASH_PROOFS_TO_BLOCK_IN_NOISE 3
/** Crashes from which on an isolated request without proof is held back. Explained ones count, too:
 *  two requests that crash backends may have met at some of them. */
#define CRASHES_TO_HOLD 3
/** Time after crash number CRASHES_TO_HOLD in which the request may still run in isolation. */
#define CRASH_HOLD_GRACE_US ((uint64_t)2000000)
/** A request is held back for this long after its latest crash, doubled with each further one. */
#define CRASH_HOLD_INITIAL_US ((uint64_t)10000000)
#define CRASH_HOLD_MAX_US ((uint64_t)3600000000)
/** Unexplained crashes that block a request without proof, whichever requests ran beside it: two
 *  requests that each crash backends may always have met. Does not apply where backends without the
 *  request crash as well. */
#define CRASHES_TO_BLOCK_WITHOUT_PROOF 5
/** The same for a part of prompts, whether or not backends without it crash. */
#define CRASHES_TO_BLOCK_PART 4
/** Crashes of one request that count for the parts of its prompt. */
#define CRASHES_OF_ONE_REQUEST 2

/** The result for one entry, derived from all entries. */
struct crash_finding {
    uint32_t unexplained; /**< crashes at which no other, blocked request was present */
    uint32_t own;         /**< of these, for a part: those that count for no likelier part */
    uint32_t crashes;     /**< all crashes; at most CRASH_MAX_SIMULTANEOUS_COUNTED per moment */
    uint32_t proofs;      /**< crashes that prove the request to be the cause */
    bool isolated;        /**< it must not run beside another isolated request */
    bool blocked; /**< it must not run, unless CRASH_BLOCK_DURATION_US is over since its crashes */
    bool settled; /**< `blocked`, and all nodes know the crashes that the verdict rests on */
};

/** \return time until which a request that is not blocked must not run; 0: it may */
uint64_t crash_verdict_held_until(const struct crash_finding *finding, uint64_t latest_crash_at,
                                  uint64_t now);
/**
 * \brief Evaluate all entries. Only a request with a settled verdict explains crashes of others.
 * \param findings written, one for each entry
 * \return time at which the next verdict settles; UINT64_MAX: none
 */
uint64_t crash_verdict_evaluate(const struct crash_entry *entries, uint32_t count, uint64_t now,
                                struct crash_finding *findings);

#endif
