/**
 * Which requests were there when back ends ended: what tells a request that crashes back ends from
 * one that only happened to run beside it.
 *
 * Evidence is a start of a back end that ended, with the requests that it had. Each start counts
 * once, however many gateways report it, and all that a table holds merges in any order: of a start
 * the earliest time of its end is kept, of a request's good end the latest.
 *
 * Being there is not being the cause: core/crash_verdict tells from all entries what follows for
 * each of them. A request that ran to its end is cleared of all that was before. A request that is
 * to run apart from others holds a lease on a start of a back end: see core/crash_lease.
 *
 * No clock, socket or thread. Times are microseconds of a clock that does not step back.
 */
#ifndef SHUNTRUN_CRASH_TABLE_H
#define SHUNTRUN_CRASH_TABLE_H

#include "core/crash_lease.h"
#include "core/crash_verdict.h"
#include "core/request_identity.h"

#include <stdbool.h>
#include <stdint.h>

/** Starts that end within this time count as one: what ends many at the same moment is a loss of
 *  power or the like, and no request. Gateways see one end up to some 10 ms apart. */
#define CRASH_SIMULTANEOUS_US ((uint64_t)30000)
/** A blocked request may be tried again after this: the back ends may have become able to run it.
 *  One more end blocks it again, so one that cannot be run costs about one back end an hour. */
#define CRASH_BLOCK_DURATION_US ((uint64_t)3600000000)
/** Time after which one ended start says nothing any more: repeats by callers come within it. */
#define CRASH_SINGLE_TTL_US ((uint64_t)60000000)
/** The same for more than one. */
#define CRASH_SHARED_TTL_US ((uint64_t)86400000000)
/** Requests that a table holds; those with the least evidence go first. */
#define CRASH_MAX_ENTRIES 1024
/** Starts kept of one request, the latest. */
#define CRASH_MAX_EVENTS 8

/** A start of a back end that ended. */
struct crash_event {
    uint64_t incarnation; /**< see crash_incarnation_key() */
    uint64_t ended_at;    /**< when runs there broke off, as the first to notice saw it */
    uint32_t attempt;     /**< of the caller, that ran there: see crash_attempt_key() */
    uint64_t began_at;    /**< of the request's first run there that broke off; 0: not known */
    uint64_t detected_at; /**< when somebody first knew that it had ended; 0: not known */
};

/** What is known of one request. */
struct crash_entry {
    struct request_identity identity;
    struct crash_event crashes[CRASH_MAX_EVENTS]; /**< the earliest end first */
    uint32_t crash_count;
    uint64_t cleared_at;      /**< time of its last good end; 0: none is known */
    struct crash_lease lease; /**< of the back end at which it runs apart from others */
    bool shared;              /**< it was there at more than one end once: all gateways keep it */
    bool is_dirty;            /**< others were not told of the last change */
};

enum crash_verdict {
    CRASH_VERDICT_NONE,
    CRASH_VERDICT_SUSPECT, /**< may run, apart from others */
    CRASH_VERDICT_BLOCKED, /**< must not run */
};

/** \return the word for logs and reports */
const char *crash_verdict_name(enum crash_verdict verdict);

struct crash_table;

struct crash_table *crash_table_create(void);
void crash_table_destroy(struct crash_table *table);

/** \brief What stands for one start of a back end on all nodes. \param born 0: not said */
uint64_t crash_incarnation_key(const char *backend_id, uint64_t born);

/**
 * \brief At which start a run was. One that is known to have ended cannot end again: a run that
 * began later was at the next one, of which nobody has said yet when it was born.
 * \param start see crash_incarnation_key()
 * \return what stands for it, the same on all nodes that know that end
 */
uint64_t crash_table_incarnation_of_run(const struct crash_table *table, uint64_t incarnation,
                                        uint64_t began_at);
/** \brief What stands for one attempt of a caller on all nodes, from the id that it sends. */
uint32_t crash_attempt_key(const char *request_id);
/** \brief A start ended with this request. \return whether that is new */
bool crash_table_add(struct crash_table *table, const struct request_identity *identity,
                     const struct crash_event *crash);
/** All of a request's work was done in one run. */
#define CRASH_FULL_RUN UINT64_MAX
/**
 * \brief The request ran to a good end.
 * \param ran_us how long, where it went on with a stream; CRASH_FULL_RUN: all of it
 * \return whether that takes ends back that were held against it
 */
bool crash_table_record_success(struct crash_table *table, const struct request_identity *identity,
                                uint64_t at, uint64_t ran_us);
/** \brief Take what another node holds of a request. \return whether any of it is new */
bool crash_table_merge(struct crash_table *table, const struct crash_entry *entry);
enum crash_verdict crash_table_verdict(const struct crash_table *table,
                                       const struct request_identity *identity, uint64_t now);
/** News of an end reach all gateways within this time, as long as their links work: a verdict that
 * rests on a later one may still change. */
#define CRASH_PROPAGATION_US ((uint64_t)200000)
/** \return time from which the ends of a request are known everywhere */
uint64_t crash_entry_settled_at(const struct crash_entry *entry);
/** \return whether the request may run only where no other one of this kind does */
bool crash_table_requires_isolation(const struct crash_table *table,
                                    const struct request_identity *identity, uint64_t now);
/** \return time up to which the request must not run, where it is not blocked; 0: it may */
uint64_t crash_table_held_until(const struct crash_table *table,
                                const struct request_identity *identity, uint64_t now);
/** \return what follows from all entries for a request; nothing where none is held of it */
struct crash_finding crash_table_finding(const struct crash_table *table,
                                         const struct request_identity *identity, uint64_t now);
/**
 * \brief An isolated request asks for a back end.
 * \param start see crash_incarnation_key()
 * \return the lease that it holds now: an older one that is valid stays
 */
struct crash_lease crash_table_acquire_lease(struct crash_table *table,
                                             const struct request_identity *identity,
                                             uint64_t incarnation, uint64_t now);
/**
 * \brief The starts of back ends at which other isolated requests run, or go before this one.
 * \param starts CRASH_MAX_LEASED_INCARNATIONS of them at most, written
 * \return their number
 */
uint32_t crash_table_leased_to_others(const struct crash_table *table,
                                      const struct request_identity *identity, uint64_t now,
                                      uint64_t *incarnations);
/** \brief Forget what is too old. */
void crash_table_trim(struct crash_table *table, uint64_t now);

/** \return 0 as long as nobody is under suspicion */
uint32_t crash_table_count(const struct crash_table *table);
struct crash_entry *crash_table_at(struct crash_table *table, uint32_t index);
/** \return or NULL */
const struct crash_entry *crash_table_find(const struct crash_table *table,
                                           const struct request_identity *identity);
/** \return starts that count, those that ended at the same moment once */
uint32_t crash_entry_distinct_crashes(const struct crash_entry *entry);
/** \return the same without those whose place in `without` is true */
uint32_t crash_entry_distinct_crashes_except(const struct crash_entry *entry,
                                             const bool without[CRASH_MAX_EVENTS]);
/** \return whether one attempt of a caller was at all ends of a request */
bool crash_entry_has_single_attempt(const struct crash_entry *entry);
/** News of an end reach all gateways within this time; only then a digest counts it. */
#define CRASH_DIGEST_DELAY_US ((uint64_t)500000)
/**
 * \return a digest of the entries with more than one start, the same on nodes that hold the same;
 * 0: none. Ends of the last CRASH_DIGEST_DELAY_US are left out: news of them are still on their
 * way.
 */
uint64_t crash_table_digest(const struct crash_table *table, uint64_t now);

#endif
