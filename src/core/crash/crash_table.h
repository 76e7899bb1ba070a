/**
 * Records which requests were running when backends crashed, and which parts their prompts share
 * with others, to tell a request or a part that crashes backends from one that was merely there.
 *
 * A crash is the unplanned end of one backend incarnation, that is, of one lifetime of its process.
 * Each crash counts once per request, however many gateways report it. Entries of different nodes
 * can be merged in any order: for a crash the earliest end time is kept, for a request the time of
 * its latest successful run.
 *
 * Being present at a crash is not proof: core/crash/crash_verdict derives the verdict on each
 * request from all entries. A request that runs to completion is cleared of all earlier crashes. A
 * request that must run in isolation holds a lease on one backend incarnation, see
 * core/crash/crash_lease.
 *
 * Uses no clock, socket or thread. Times are microseconds of a clock that never steps back.
 */
#ifndef SHUNTRUN_CRASH_TABLE_H
#define SHUNTRUN_CRASH_TABLE_H

#include "core/crash/crash_entry.h"
#include "core/crash/crash_verdict.h"
#include "core/crash/prompt_part.h"
#include "core/crash/request_identity.h"

#include <stdbool.h>
#include <stdint.h>

/** A blocked request may be tried again after this time, as the backends may have become able to
 *  run it. One more crash blocks it again, so a request that cannot be run costs about one backend
 *  an hour. */
#define CRASH_BLOCK_DURATION_US ((uint64_t)3600000000)
/** Requests per table; those with the least evidence are evicted first. */
#define CRASH_MAX_ENTRIES 1024
enum crash_verdict {
    CRASH_VERDICT_NONE,
    CRASH_VERDICT_SUSPECT, /**< may run, in isolation where crash_table_requires_isolation() */
    CRASH_VERDICT_BLOCKED, /**< must not run */
};

/** \return the name used in logs and reports */
const char *crash_verdict_name(enum crash_verdict verdict);

struct crash_table;

struct crash_table *crash_table_create(void);
void crash_table_destroy(struct crash_table *table);

/**
 * \brief The incarnation on which a run took place. One that is known to have crashed cannot crash
 * again: a run that began later was on the next one, whose start time is not reported yet.
 * \param incarnation see crash_incarnation_key()
 * \param began_at begin of the run
 * \return its key, the same on all nodes that know of the crash
 */
uint64_t crash_table_incarnation_of_run(const struct crash_table *table, uint64_t incarnation,
                                        uint64_t began_at);
/** \brief Record a crash at which the request was running. \return whether the crash is new */
bool crash_table_add(struct crash_table *table, const struct request_identity *identity,
                     const struct crash_event *crash);
/** A part that this node knows to be answered within this time before a crash is not the cause: its
 * requests are running all the time. */
#define CRASH_PART_SOUND_FOR_US ((uint64_t)1000000)
/** \brief Record a crash at which a request with the part was running, unless the part was answered
 * shortly before. \return whether the crash is new */
bool crash_table_add_part(struct crash_table *table, const struct prompt_part *part,
                          const struct crash_event *crash);
/**
 * \brief Record that a backend was answering a request with the part and did not crash.
 * \return whether this clears crashes recorded against the part
 */
bool crash_table_record_sound_part(struct crash_table *table, const struct request_identity *part,
                                   uint64_t at);
/** Value of `ran_us` for a request that did all of its work in one run. */
#define CRASH_FULL_RUN UINT64_MAX
/**
 * \brief Record that the request ran to completion.
 * \param ran_us duration of the last run of a resumed stream; CRASH_FULL_RUN: it was not resumed
 * \return whether this clears crashes recorded against it
 */
bool crash_table_record_success(struct crash_table *table, const struct request_identity *identity,
                                uint64_t at, uint64_t ran_us);
/** \brief Merge another node's entry for a request. \return whether any of it is new */
bool crash_table_merge(struct crash_table *table, const struct crash_entry *entry);
enum crash_verdict crash_table_verdict(const struct crash_table *table,
                                       const struct request_identity *identity, uint64_t now);
/** \return whether the request may run only where no other isolated request does */
bool crash_table_requires_isolation(const struct crash_table *table,
                                    const struct request_identity *identity, uint64_t now);
/** \return time until which a request that is not blocked must not run; 0: it may */
uint64_t crash_table_held_until(const struct crash_table *table,
                                const struct request_identity *identity, uint64_t now);
/** \return the finding for a request, derived from all entries; zeroed if it has no entry */
struct crash_finding crash_table_finding(const struct crash_table *table,
                                         const struct request_identity *identity, uint64_t now);
/**
 * \brief Request a lease on a backend incarnation for an isolated request.
 * \param incarnation see crash_incarnation_key()
 * \return the lease that it holds now: a valid one on the same incarnation is kept
 */
struct crash_lease crash_table_acquire_lease(struct crash_table *table,
                                             const struct request_identity *identity,
                                             uint64_t incarnation, uint64_t now);
/**
 * \brief The backend incarnations that other isolated requests hold a lease on, with precedence
 * over this request.
 * \param incarnations written, at most CRASH_MAX_LEASED_INCARNATIONS
 * \return their number
 */
uint32_t crash_table_leased_to_others(const struct crash_table *table,
                                      const struct request_identity *identity, uint64_t now,
                                      uint64_t *incarnations);
/** \brief Remove expired entries. */
void crash_table_trim(struct crash_table *table, uint64_t now);

/** \return number of entries; 0 as long as no request is suspected */
uint32_t crash_table_count(const struct crash_table *table);
struct crash_entry *crash_table_at(struct crash_table *table, uint32_t index);
/** \return the entry, or NULL */
const struct crash_entry *crash_table_find(const struct crash_table *table,
                                           const struct request_identity *identity);
/** A digest leaves out crashes younger than this, which are still being propagated. */
#define CRASH_DIGEST_DELAY_US ((uint64_t)500000)
/**
 * \return a digest of the entries with more than one crash, equal on nodes that hold the same
 * entries; 0: there are none. Crashes of the last CRASH_DIGEST_DELAY_US are left out.
 */
uint64_t crash_table_digest(const struct crash_table *table, uint64_t now);

#endif
