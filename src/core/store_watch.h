/**
 * How a reader follows the platform's store: it reads the whole once, then watches for changes.
 * Says which call comes next and when, from how the calls before ended.
 *
 * No clock, socket or thread.
 */
#ifndef SHUNTRUN_STORE_WATCH_H
#define SHUNTRUN_STORE_WATCH_H

#include "core/state_cache.h"

#include <stdbool.h>
#include <stdint.h>

struct store_watch {
    uint64_t revision;    /**< all changes up to here are known; 0: the whole must be read */
    uint32_t failures;    /**< calls in a row that had no answer */
    bool outage;          /**< the store was away since the last answer, as far as its calls tell */
    bool history_lost;    /**< the whole is read as the store forgot changes: they may be old */
    bool answered;        /**< the store gave an answer since this reader began */
    uint64_t answered_at; /**< time of the last answer: all that went before is known */
};

/** One call to the store. */
struct store_call {
    bool watches;        /**< for changes after the known revision; false: the whole is read */
    uint32_t wait_ms;    /**< for which the store may wait for a change */
    uint32_t timeout_ms; /**< after which there will be no answer */
};

/** How a call ended that had no answer. */
enum store_failure {
    STORE_DISCONNECTED, /**< the connection broke: the store may do that and work on */
    STORE_TIMED_OUT,   /**< no answer came in time: the store was away when the call began, or later
                        */
    STORE_UNAVAILABLE, /**< it was not reached, or answered that it cannot serve */
};

/** \brief Begin to read. \param known revision up to which all is known from others, 0: none */
void store_watch_init(struct store_watch *watch, uint64_t known, uint64_t now);
/** \brief Others told of all changes up to here: the next watch goes on from there. */
void store_watch_advance(struct store_watch *watch, uint64_t known);
struct store_call store_watch_next_call(const struct store_watch *watch);
/** \brief A call had no answer. \return time until the next one, ms */
uint32_t store_watch_failed(struct store_watch *watch, enum store_failure failure);
/** \brief The store no longer has the changes after the known revision: the whole is read again. */
void store_watch_history_lost(struct store_watch *watch);
/**
 * \brief An answer came; all changes up to `revision` are known, 0: not all of the whole is in.
 * Ask store_watch_removal() before, for what the answer says is gone.
 */
void store_watch_answered(struct store_watch *watch, uint64_t revision, uint64_t now);
/**
 * \brief What is known of when the items went that the present answer lacks.
 * \param own_pause this node heard nothing for a while by its own fault
 */
struct state_removal store_watch_removal(const struct store_watch *watch, bool own_pause,
                                         uint64_t now);
/** \return whether the last call had its answer, or waits for it without a failure before */
bool store_watch_is_healthy(const struct store_watch *watch);

#endif
