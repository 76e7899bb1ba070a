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

#include "core/crash/crash_lease.h"
#include "core/crash/crash_verdict.h"
#include "core/crash/prompt_part.h"
#include "core/crash/request_identity.h"

#include <stdbool.h>
#include <stdint.h>

/** Crashes within this time count as one: many backends that end at the same moment lost power or
 *  the like, and no request is the cause. Gateways see the end of one backend up to some 10 ms
 *  apart. */
#define CRASH_SIMULTANEOUS_US ((uint64_t)30000)
/** A blocked request may be tried again after this time, as the backends may have become able to
 *  run it. One more crash blocks it again, so a request that cannot be run costs about one backend
 *  an hour. */
#define CRASH_BLOCK_DURATION_US ((uint64_t)3600000000)
/** An entry with a single crash expires after this time: callers retry within it. Crashes of other
 *  requests within this time before a verdict settles count as noise (core/crash/crash_verdict). */
#define CRASH_SINGLE_TTL_US ((uint64_t)60000000)
/** Lifetime of an entry that all gateways hold. */
#define CRASH_SHARED_TTL_US ((uint64_t)86400000000)
/** Requests per table; those with the least evidence are evicted first. */
#define CRASH_MAX_ENTRIES 1024
/** Crashes kept per request, the latest ones. */
#define CRASH_MAX_EVENTS 8

/** The crash of a backend incarnation on which the request was running. */
struct crash_event {
    uint64_t incarnation; /**< see crash_incarnation_key() */
    uint64_t ended_at;    /**< when runs on it broke off, as first observed by any gateway */
    uint32_t attempt;     /**< the caller's attempt that ran on it, see crash_attempt_key(); for a
                               part the request, see crash_request_key() */
    uint64_t began_at;    /**< begin of the request's first interrupted run on it; 0: unknown */
    uint64_t detected_at; /**< when any node first knew of the crash; 0: unknown */
};

/** What is known about one request, or about one part of prompts. */
struct crash_entry {
    struct request_identity identity;
    bool is_part;      /**< of prompts; else a request */
    uint64_t part_id;  /**< of a part, as clients send it */
    uint32_t position; /**< of a part: its last one in a prompt, from 0 */
    struct crash_event crashes[CRASH_MAX_EVENTS]; /**< by end time, earliest first */
    uint32_t crash_count;
    uint64_t cleared_at;      /**< time of its latest successful run; 0: none is known */
    struct crash_lease lease; /**< on the incarnation on which it runs in isolation */
    bool shared;              /**< held by all gateways, as it once had more than one crash */
    bool is_dirty;            /**< changed since it was last sent to other nodes */
};

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
 * \brief Key of one backend incarnation, the same on all nodes.
 * \param born start time of the incarnation; 0: not reported
 */
uint64_t crash_incarnation_key(const char *backend_id, uint64_t born);

/**
 * \brief The incarnation on which a run took place. One that is known to have crashed cannot crash
 * again: a run that began later was on the next one, whose start time is not reported yet.
 * \param incarnation see crash_incarnation_key()
 * \param began_at begin of the run
 * \return its key, the same on all nodes that know of the crash
 */
uint64_t crash_table_incarnation_of_run(const struct crash_table *table, uint64_t incarnation,
                                        uint64_t began_at);
/** \brief Key of one attempt of a caller, from its request id; the same on all nodes. */
uint32_t crash_attempt_key(const char *request_id);
/** \brief Key of a request, whatever its attempt; the same on all nodes. */
uint32_t crash_request_key(const struct request_identity *identity);
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
/** A crash is known to all gateways within this time, as long as their links work: a verdict that
 *  depends on a later crash may still change. */
#define CRASH_PROPAGATION_US ((uint64_t)200000)
/** \return time from which all crashes of a request are known to all gateways */
uint64_t crash_entry_settled_at(const struct crash_entry *entry);
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
/** \return number of crashes, with simultaneous ones counted as one */
uint32_t crash_entry_distinct_crashes(const struct crash_entry *entry);
/** \return the same, leaving out the crashes at indexes where `without` is true */
uint32_t crash_entry_distinct_crashes_except(const struct crash_entry *entry,
                                             const bool without[CRASH_MAX_EVENTS]);
/** \return whether the same attempt of a caller was present at all crashes of a request */
bool crash_entry_has_single_attempt(const struct crash_entry *entry);
/** A digest leaves out crashes younger than this, which are still being propagated. */
#define CRASH_DIGEST_DELAY_US ((uint64_t)500000)
/**
 * \return a digest of the entries with more than one crash, equal on nodes that hold the same
 * entries; 0: there are none. Crashes of the last CRASH_DIGEST_DELAY_US are left out.
 */
uint64_t crash_table_digest(const struct crash_table *table, uint64_t now);

#endif
