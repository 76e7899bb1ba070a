/**
 * State machine that updates one engine from one version of its weights to the next: which piece to
 * upload to the engine's staging area, which one to read back, and when to order the engine to load
 * the staged weights.
 *
 * The machine does no I/O. Its inputs are the results of calls, engine reports, fetched pieces and
 * the time; its output is the next action. The caller carries out the actions, with at most one
 * stage call (read or put) and one load order under way at a time.
 *
 * The staging area holds a single copy, which is overwritten piece by piece, and an engine loads
 * whatever is in it. A load order or a put that got no answer is in doubt: it may still take effect
 * later; for an order, until the engine's order count moves on. Until a call in doubt is known to
 * be resolved, or the maximum lifetime of a call has passed, the staging area keeps the pieces of
 * the ordered version, which are read back periodically, and no other version is started. The same
 * holds for calls of a previous process of this loader; all that is known of them is what the
 * staging area holds and what other nodes received from that process.
 */
#ifndef SHUNTRUN_WEIGHT_INSTALL_H
#define SHUNTRUN_WEIGHT_INSTALL_H

#include <stdbool.h>
#include <stdint.h>

/** All times are microseconds of one monotonic clock. */
struct weight_install_settings {
    /** An order is sent only if each piece was read back this recently. */
    uint64_t verification_valid_us;
    /** Interval at which pieces are read back while an order is due, under way or in doubt. */
    uint64_t reread_interval_us;
    /** A call without an answer may take effect for this long after it was given up. */
    uint64_t call_lifetime_us;
    /** An accepted order that shows no effect in a report is sent again this long after it was
     * sent. */
    uint64_t order_effect_timeout_us;
    /** Delay before an order that was refused, or could not be sent, is retried. */
    uint64_t order_backoff_us;
};

/** State of one piece of the version that is being installed. */
struct install_piece {
    bool held;            /**< this process has its data */
    bool staged;          /**< it was put, or its read-back matched */
    bool mismatched;      /**< the staging area may hold other data in its place, or none */
    uint64_t verified_at; /**< start of the last read-back that matched; 0: none */
};

/** State of the engine, as its last report gives it. */
struct install_engine {
    uint64_t born; /**< start time by the engine's clock, identifies the start; 0: not reported */
    uint64_t version;  /**< version that it runs; 0: none */
    uint64_t sequence; /**< load orders accepted since it started */
    uint32_t requests; /**< requests running or waiting */
    bool loading;      /**< a load order is being carried out */
    bool leaving;      /**< it is shutting down */
};

enum install_action_kind {
    INSTALL_NO_ACTION, /**< nothing to do before the next event */
    INSTALL_READ,      /**< read `piece` back and compare it */
    INSTALL_PUT,       /**< upload `piece` to the staging area */
    INSTALL_ORDER,     /**< order the engine to load the staged weights */
};

struct install_action {
    enum install_action_kind kind;
    uint32_t piece;
    uint64_t sequence; /**< of an order: the engine accepts it only at this order count */
};

/** Outcome of a call to the engine. */
enum install_result {
    INSTALL_DONE,      /**< put stored, read-back matched, or order accepted */
    INSTALL_REFUSED,   /**< rejected by the engine; for a read-back: the data differ */
    INSTALL_MISSING,   /**< for a read-back: the staging area has no such piece */
    INSTALL_UNSENT,    /**< the call cannot have reached the engine */
    INSTALL_NO_ANSWER, /**< the call may have taken effect, or may still do so */
};

enum install_order_state {
    ORDER_NONE,
    ORDER_SENT,     /**< the call is under way */
    ORDER_ANSWERED, /**< the engine accepted it; no report shows that yet */
};

struct weight_install {
    struct weight_install_settings settings;
    uint64_t version; /**< version that is being installed; 0: none */
    struct install_piece *pieces;
    uint32_t piece_count;
    uint32_t held_count;

    bool reachable; /**< the engine gave its last report */
    bool reported;  /**< at least one report was received since this process started */
    struct install_engine engine;

    bool change_pending; /**< no new calls: a version change waits for the stage call */
    enum install_action_kind stage_call; /**< read or put under way; INSTALL_NO_ACTION: none */
    uint32_t stage_call_piece;
    uint64_t stage_call_started_at;

    enum install_order_state order;
    uint64_t order_sequence;
    uint64_t ordered_at;            /**< time of the last order; 0: none for this version */
    uint64_t order_backoff_until;   /**< no order is sent before this time */
    uint64_t order_effect_deadline; /**< until then the next report may show the order's effect */

    uint64_t in_doubt_order_sequence; /**< order count of the orders that got no answer */
    uint64_t in_doubt_order_until;    /**< until then the engine may accept them; 0: none */
    uint64_t in_doubt_put_until;      /**< until then puts without an answer may take effect */

    bool predecessor_may_order;    /**< an order of a previous process may be in doubt */
    uint64_t predecessor_sequence; /**< the engine's order count in its first report */
    uint64_t predecessor_until;    /**< end of the lifetime of such orders and puts */
    /** A previous process was filling the staging area: its last put may be in doubt. */
    bool predecessor_may_put;

    /** Until then a put of a previous process that other nodes heard may take effect; 0: none. */
    uint64_t known_predecessor_until;
    /** Start of the engine (`born`) that the previous process reported last; 0: none. */
    uint64_t known_predecessor_born;
};

/** \brief Initialize without a version; call at the start of the process. */
void weight_install_init(struct weight_install *install,
                         const struct weight_install_settings *settings, uint64_t now);

/**
 * \brief Take note of a previous process of this loader, which other nodes heard. A put that it had
 * under way may still take effect, even if the staging area was found empty, but only at the engine
 * start that the process reported.
 * \param heard_at time at which another node last heard the process
 * \param born start of the engine that it reported last; 0: none, then any start may get the put
 */
void weight_install_note_predecessor(struct weight_install *install, uint64_t heard_at,
                                     uint64_t born);

/** \return whether the version cannot be changed, because calls for it are under way or in doubt */
bool weight_install_is_pinned(const struct weight_install *install, uint64_t now);

/**
 * \brief Install this version from now on.
 * \param pieces one entry for each piece, borrowed until the next change; they are reset
 * \return false, and the version stays, while it is pinned
 */
bool weight_install_change(struct weight_install *install, uint64_t version,
                           struct install_piece *pieces, uint32_t piece_count, uint64_t now);

/** \brief This process has the piece's data now. */
void weight_install_mark_held(struct weight_install *install, uint32_t piece);

/** \brief Process a report of the engine. \return whether the engine restarted since the last one
 */
bool weight_install_report(struct weight_install *install, const struct install_engine *engine,
                           uint64_t now);

/** \brief The engine gave no report: count it as unreachable until the next one. */
void weight_install_report_missed(struct weight_install *install);

/**
 * \param scheduled_at time from which the first order for the version may be sent
 * \return the next action; the call that it names counts as sent
 */
struct install_action weight_install_next(struct weight_install *install, uint64_t now,
                                          uint64_t scheduled_at);

/** \brief The read or put under way ended. */
void weight_install_stage_done(struct weight_install *install, enum install_result result,
                               uint64_t now);

/** \brief The call of the load order ended. */
void weight_install_order_done(struct weight_install *install, enum install_result result,
                               uint64_t now);

/** \return whether the engine runs this version or a newer one */
bool weight_install_is_complete(const struct weight_install *install);

/** \return start of the oldest of the last matching read-backs; 0: not all pieces were verified */
uint64_t weight_install_verified_at(const struct weight_install *install);

/** \return whether all pieces of the version are staged and verified */
bool weight_install_is_staged(const struct weight_install *install);

/** \return whether the engine accepts no requests: it loads, or was just ordered to */
bool weight_install_is_loading(const struct weight_install *install, uint64_t now);

/** \return whether a next action is to be expected soon */
bool weight_install_is_busy(const struct weight_install *install, uint64_t now);

#endif
