/**
 * Which requests were there when back ends ended: what tells a request that crashes back ends from
 * one that only happened to run beside it.
 *
 * Evidence is a start of a back end that ended, with the requests that it had. Each start counts
 * once, however many gateways report it, and all that a table holds merges in any order: of a start
 * the earliest time of its end is kept, of a request's good end the latest.
 *
 * Being there is not being the cause. A request is
 * - a suspect once it was there at the end of one start, and
 * - blocked once it was there at CRASH_STARTS_TO_BLOCK of them, unless another request was there at
 *   all of these too, or, where back ends end without it as well, each of its ends had another one
 *   that was at as many. Whoever asks sends suspects to back ends of their own, so that the next
 *   end tells them apart. Of 1,000 small worlds with 12 back ends and three requests that crash
 *   them, 46 others were blocked without the second part, none with it; 8.3 and 8.4 back ends ended
 *   in each (tests/core/crash_table_test.c).
 * A request that ran to its end is cleared of all that was before.
 *
 * No clock, socket or thread. Times are microseconds of a clock that does not step back.
 */
#ifndef SHUNTRUN_CRASH_TABLE_H
#define SHUNTRUN_CRASH_TABLE_H

#include "core/request_identity.h"

#include <stdbool.h>
#include <stdint.h>

/** Ended starts that block a request. Two are met by chance: a stream whose engine ends goes on at
 *  another one, where a suspect may run. */
#define CRASH_STARTS_TO_BLOCK 3
/** Ended starts that block a request of which one attempt of its caller was at all of them: a begun
 *  stream goes on wherever it can, and meets others' ends by that. */
#define CRASH_STARTS_TO_BLOCK_ONE_ATTEMPT 4
/** Ended starts that block a request whoever else was there: two requests that each crash back ends
 *  may always have met. */
#define CRASH_STARTS_TO_BLOCK_ANY 5
/** Starts that end within this time count as one: what ends many at the same moment is a loss of
 *  power or the like, and no request. Gateways see one end up to some 10 ms apart. */
#define CRASH_SAME_MOMENT_US ((uint64_t)30000)
/** A blocked request may be tried again after this: the back ends may have become able to run it.
 *  One more end blocks it again, so one that cannot be run costs about one back end an hour. */
#define CRASH_BLOCK_US ((uint64_t)3600000000)
/** Time after which one ended start says nothing any more: repeats by callers come within it. */
#define CRASH_SUSPECT_US ((uint64_t)60000000)
/** The same for more than one. */
#define CRASH_REMEMBER_US ((uint64_t)86400000000)
/** Requests that a table holds; those with the least evidence go first. 170 bytes each. */
#define CRASH_ENTRIES_MOST 1024
/** Starts kept of one request, the latest. */
#define CRASH_STARTS_KEPT 8

/** A start of a back end that ended. */
struct crash_start {
    uint64_t start;    /**< see crash_start_key() */
    uint64_t ended_at; /**< as the first to notice saw it */
    uint32_t attempt;  /**< of the caller, that ran there: see crash_attempt_key() */
};

/** What is known of one request. */
struct crash_entry {
    struct request_identity identity;
    struct crash_start starts[CRASH_STARTS_KEPT]; /**< the earliest end first */
    uint32_t start_count;
    uint64_t cleared_at; /**< time of its last good end; 0: none is known */
    bool shared;         /**< it was there at more than one end once: all gateways keep it */
    bool untold;         /**< others were not told of the last change */
};

enum crash_verdict {
    CRASH_NO_SUSPECT,
    CRASH_SUSPECT, /**< may run, apart from others */
    CRASH_BLOCKED, /**< must not run */
};

/** \return the word for logs and reports */
const char *crash_verdict_name(enum crash_verdict verdict);

struct crash_table;

struct crash_table *crash_table_create(void);
void crash_table_destroy(struct crash_table *table);

/** \brief What stands for one start of a back end on all nodes. \param born 0: not said */
uint64_t crash_start_key(const char *backend_id, uint64_t born);

/**
 * \brief A start that is known to have ended cannot end again: a run that began later was at
 * another start, of which nobody has said yet when it was born. \return what stands for the start
 * at which the run was, the same on all nodes that know that end
 */
uint64_t crash_table_start_of_run(const struct crash_table *table, uint64_t start,
                                  uint64_t began_at);
/** \brief What stands for one attempt of a caller on all nodes, from the id that it sends. */
uint32_t crash_attempt_key(const char *request_id);
/** \brief A start ended with this request. \return whether that is new */
bool crash_table_add(struct crash_table *table, const struct request_identity *identity,
                     const struct crash_start *start);
/** \brief The request ran to a good end. \return whether it was under suspicion */
bool crash_table_clear(struct crash_table *table, const struct request_identity *identity,
                       uint64_t at);
/** \brief Take what another node holds of a request. \return whether any of it is new */
bool crash_table_merge(struct crash_table *table, const struct crash_entry *entry);
enum crash_verdict crash_table_judge(const struct crash_table *table,
                                     const struct request_identity *identity, uint64_t now);
/** \brief Forget what is too old. */
void crash_table_trim(struct crash_table *table, uint64_t now);

/** \return 0 as long as nobody is under suspicion */
uint32_t crash_table_count(const struct crash_table *table);
struct crash_entry *crash_table_at(struct crash_table *table, uint32_t index);
/** \return or NULL */
const struct crash_entry *crash_table_find(const struct crash_table *table,
                                           const struct request_identity *identity);
/** \return starts that count, those that ended at the same moment once */
uint32_t crash_entry_weight(const struct crash_entry *entry);
/** News of an end reach all gateways within this time; only then a digest counts it. */
#define CRASH_SETTLED_US ((uint64_t)500000)
/**
 * \return a digest of the entries with more than one start, the same on nodes that hold the same;
 * 0: none. Ends of the last CRASH_SETTLED_US are left out: news of them are still on their way.
 */
uint64_t crash_table_digest(const struct crash_table *table, uint64_t now);

#endif
