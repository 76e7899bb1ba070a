/**
 * State machine of a reader of the platform's store: it reads a full snapshot once, then watches
 * for changes. Determines the next call and its time from the outcome of the previous calls.
 *
 * Uses no clock, socket or thread.
 */
#ifndef SHUNTRUN_STORE_WATCH_H
#define SHUNTRUN_STORE_WATCH_H

#include "core/store/state_cache.h"

#include <stdbool.h>
#include <stdint.h>

/** State of a reader. Times are microseconds. */
struct store_watch {
    uint64_t
        revision;   /**< position up to which all changes are known; 0: a snapshot must be read */
    uint64_t epoch; /**< of the store's history that is read */
    bool restored;  /**< it began since the last answer: the store came back from an older copy */
    uint32_t failures;    /**< consecutive calls without an answer */
    bool outage;          /**< since the last answer calls failed, other than by one disconnect */
    bool history_lost;    /**< a snapshot replaces dropped history: its changes may be old */
    bool answered;        /**< the store has answered since store_watch_init() */
    uint64_t answered_at; /**< time of the last answer: all earlier removals are known */
};

/** One call to the store. */
struct store_call {
    bool watches;        /**< waits for changes after the known revision; false: reads a snapshot */
    uint32_t wait_ms;    /**< time for which the store may wait for a change */
    uint32_t timeout_ms; /**< time after which the call counts as failed */
};

/** Why a call had no answer. */
enum store_failure {
    STORE_DISCONNECTED, /**< the connection broke: the store may do that and still work */
    STORE_TIMED_OUT,    /**< no answer in time: the store was unavailable during the call */
    STORE_UNAVAILABLE,  /**< not reachable, or it answered that it cannot serve the call */
};

/** \brief Start reading. \param known revision up to which other nodes sent all changes, 0: none */
void store_watch_init(struct store_watch *watch, uint64_t known, uint64_t now);
/** \brief Other nodes sent all changes up to `known`: the next watch continues from there. */
void store_watch_advance(struct store_watch *watch, uint64_t known);
/** \return the call to make next */
struct store_call store_watch_next_call(const struct store_watch *watch);
/** \brief Record a call without an answer. \return delay before the next call, ms */
uint32_t store_watch_failed(struct store_watch *watch, enum store_failure failure);
/** How the epoch that an answer names relates to the one that is read. */
enum epoch_order {
    EPOCH_CURRENT,
    EPOCH_NEXT,   /**< it is read from now on, from a snapshot: the answer to any other call is void
                   */
    EPOCH_EARLIER /**< the answer is late, and void */
};

/** \brief Compare the epoch that an answer names, before anything else of the answer is used. */
enum epoch_order store_watch_check_epoch(struct store_watch *watch, uint64_t epoch);
/** \brief The store dropped changes after the known revision: a snapshot must be read again. */
void store_watch_history_lost(struct store_watch *watch);
/**
 * \brief Record an answer. Call store_watch_removal() before, for the items that it removes.
 * \param revision up to which all changes are known; 0: more pages of the snapshot follow
 */
void store_watch_answered(struct store_watch *watch, uint64_t revision, uint64_t now);
/**
 * \brief What is known of the time and cause of removals in the current answer.
 * \param own_pause this node received nothing for a while by its own fault
 */
struct state_removal store_watch_removal(const struct store_watch *watch, bool own_pause,
                                         uint64_t now);
/** \return whether the store has answered and no call failed since its last answer */
bool store_watch_is_healthy(const struct store_watch *watch);

#endif
