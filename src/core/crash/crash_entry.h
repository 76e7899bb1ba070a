/**
 * The crashes at which one request, or one part of prompts, was present. Entries of different nodes
 * can be merged in any order: for a crash the earliest end time is kept, and crashes before the
 * latest successful run are removed.
 *
 * Times are microseconds of a clock that never steps back.
 */
#ifndef SHUNTRUN_CRASH_ENTRY_H
#define SHUNTRUN_CRASH_ENTRY_H

#include "core/crash/crash_lease.h"
#include "core/crash/prompt_part.h"
#include "core/crash/request_identity.h"

#include <stdbool.h>
#include <stdint.h>

/** Crashes within this time count as one: many backends that end at the same moment lost power or
 *  the like, and no request is the cause. Gateways see the end of one backend up to some 10 ms
 *  apart. */
#define CRASH_SIMULTANEOUS_US ((uint64_t)30000)
/** Many requests share a part of prompts, so many gateways see a loss of power under it, and tell
 * its time with the delay of a message: of a part, at most CRASH_PART_SIMULTANEOUS_KEPT crashes
 * within this time are kept, fewer than block it, and it becomes a matter of all gateways with a
 * crash later than that. */
#define CRASH_PART_SIMULTANEOUS_US ((uint64_t)100000)
#define CRASH_PART_SIMULTANEOUS_KEPT 3
/** At most this many simultaneous crashes count: a power loss crashes many backends at once,
 * attempts of one request that reach several gateways at once crash a few. */
#define CRASH_MAX_SIMULTANEOUS_COUNTED 2
/** An entry with a single crash expires after this time: callers retry within it. Crashes of other
 *  requests within this time before a verdict settles count as noise (core/crash/crash_verdict). */
#define CRASH_SINGLE_TTL_US ((uint64_t)60000000)
/** Lifetime of an entry that all gateways hold. */
#define CRASH_SHARED_TTL_US ((uint64_t)86400000000)
/** Crashes kept per request, the latest ones. */
#define CRASH_MAX_EVENTS 8
/** A crash is known to all gateways within this time, as long as their links work: a verdict that
 *  depends on a later crash may still change. */
#define CRASH_PROPAGATION_US ((uint64_t)200000)

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

/**
 * \brief Key of one backend incarnation, the same on all nodes.
 * \param born start time of the incarnation; 0: not reported
 */
uint64_t crash_incarnation_key(const char *backend_id, uint64_t born);

/** \brief Key of one attempt of a caller, from its request id; the same on all nodes. */
uint32_t crash_attempt_key(const char *request_id);
/** \brief Key of a request, whatever its attempt; the same on all nodes. */
uint32_t crash_request_key(const struct request_identity *identity);
/** \brief Add a crash, or merge what another node observed of a known one. \return whether it was
 * unknown; an earlier time of a known crash is not worth sending */
bool crash_entry_add(struct crash_entry *entry, const struct crash_event *crash);
/** \brief Remove the crashes up to a successful run. \return whether this removes any, or is the
 * first run that is known; a later time alone is no change */
bool crash_entry_clear_until(struct crash_entry *entry, uint64_t at);
/** \return index of the crash of an incarnation, or the number of crashes */
uint32_t crash_entry_find(const struct crash_entry *entry, uint64_t incarnation);
/** \return end time of the latest crash; 0: there is none */
uint64_t crash_entry_latest_at(const struct crash_entry *entry);
/** \return time from which all crashes of a request are known to all gateways */
uint64_t crash_entry_settled_at(const struct crash_entry *entry);
/** \return number of crashes, with simultaneous ones counted as one */
uint32_t crash_entry_distinct_crashes(const struct crash_entry *entry);
/** \return the same, leaving out the crashes at indexes where `without` is true */
uint32_t crash_entry_distinct_crashes_except(const struct crash_entry *entry,
                                             const bool without[CRASH_MAX_EVENTS]);
/** \return whether the same attempt of a caller was present at all crashes of a request */
bool crash_entry_has_single_attempt(const struct crash_entry *entry);
/** \return the earlier of two times, where 0 stands for an unknown one */
uint64_t crash_earlier_known(uint64_t left, uint64_t right);

#endif
