/**
 * Brings one engine from one version of its weights to the next: which piece to put into the
 * engine's stage, which one to read back, and when to order the engine to take what lies there.
 *
 * A pure state machine. Calls and their results, reports, pieces and time come in; the next action
 * comes out. The caller carries actions out, one call at the stage and one order at a time.
 *
 * The stage holds one copy, which is overwritten piece by piece, and an engine takes whatever lies
 * there. So an order, or a put, that got no answer may still act later, as long as the engine's
 * count of orders has not moved on. Until it is known to be over, or has had the time that a call
 * can live, what lies in the stage stays of the ordered version, is read back again and again, and
 * no other version is begun. The same holds for calls of an earlier process of this loader, of
 * which nothing is known but what lies in the stage, and what other nodes heard from it.
 */
#ifndef SHUNTRUN_WEIGHT_INSTALL_H
#define SHUNTRUN_WEIGHT_INSTALL_H

#include <stdbool.h>
#include <stdint.h>

/** All times are microseconds of one monotonic clock. */
struct weight_install_settings {
    uint64_t
        verification_valid_us; /**< the engine may take a piece that was read back this recently */
    uint64_t
        reread_interval_us; /**< while an order may be taken, pieces are read back this often */
    uint64_t
        call_lifetime_us; /**< a call that got no answer may act for so long after it is given up */
    uint64_t order_effect_timeout_us; /**< an order without effect is given again after this */
    uint64_t
        order_backoff_us; /**< an order that was refused or not sent is not given again before */
};

/** What is known of one piece of the version that is installed. */
struct install_piece {
    bool held;            /**< this process has its bytes */
    bool staged;          /**< it was put, or read back right */
    bool mismatched;      /**< something else lies in its place, or nothing */
    uint64_t verified_at; /**< begin of the last reading that found it right; 0: none */
};

/** The engine's own report. */
struct install_engine {
    uint64_t born;     /**< tells its starts apart; 0: not said */
    uint64_t version;  /**< that it runs; 0: none */
    uint64_t sequence; /**< orders taken since it started */
    uint32_t requests; /**< running and waiting */
    bool loading;      /**< an order is being carried out */
    bool leaving;      /**< it is about to end */
};

enum install_action_kind {
    INSTALL_NO_ACTION, /**< nothing to do before the next event */
    INSTALL_READ,      /**< read `piece` back and compare it */
    INSTALL_PUT,       /**< put `piece` into the stage */
    INSTALL_ORDER,     /**< order the engine to take what lies in the stage */
};

struct install_action {
    enum install_action_kind kind;
    uint32_t piece;
    uint64_t sequence; /**< orders that the engine must have taken before this one */
};

/** How a call at the engine ended. */
enum install_result {
    INSTALL_DONE,      /**< put, read back right, or the order was taken */
    INSTALL_REFUSED,   /**< answered that it was not done; a reading: something else lies there */
    INSTALL_MISSING,   /**< a reading: nothing lies there */
    INSTALL_UNSENT,    /**< the engine cannot have seen it */
    INSTALL_NO_ANSWER, /**< it may have been done, or be done later */
};

enum install_order_state {
    ORDER_NONE,
    ORDER_SENT,     /**< the call is under way */
    ORDER_ANSWERED, /**< the engine said that it takes it; no report shows that yet */
};

struct weight_install {
    struct weight_install_settings settings;
    uint64_t version; /**< whose pieces are staged; 0: none */
    struct install_piece *pieces;
    uint32_t piece_count;
    uint32_t held_count;

    bool reachable;
    bool reported; /**< at least one report came */
    struct install_engine engine;

    bool change_pending; /**< no new call: a change of version waits for the last one */
    enum install_action_kind stage_call; /**< under way at the stage; INSTALL_NO_ACTION: none */
    uint32_t stage_call_piece;
    uint64_t stage_call_started_at;

    enum install_order_state order;
    uint64_t order_sequence;
    uint64_t ordered_at; /**< time of the last order; 0: none since the version was begun */
    uint64_t order_backoff_until;   /**< no order before this time */
    uint64_t order_effect_deadline; /**< until then the last order may show its effect */

    uint64_t in_doubt_order_sequence; /**< of orders that got no answer */
    uint64_t in_doubt_order_until;    /**< until then they may be taken; 0: none */
    uint64_t in_doubt_put_until;      /**< until then puts without an answer may act */

    bool predecessor_may_order;    /**< an earlier process may have left an order */
    uint64_t predecessor_sequence; /**< orders taken as this process first heard of the engine */
    uint64_t predecessor_until;
    bool
        predecessor_may_put; /**< it was filling the stage: its last put may still act until then */

    uint64_t known_predecessor_until; /**< until then a put of a process that others knew may act;
                                         0: none */
    uint64_t known_predecessor_born;  /**< the engine's start that it reported last; 0: none */
};

/** \brief Begin without a version, right after this process started. */
void weight_install_init(struct weight_install *install,
                         const struct weight_install_settings *settings, uint64_t now);

/**
 * \brief Other nodes heard of an earlier process of this loader. A put that it had under way may
 * still act, also in a stage that was found empty, at the start of the engine that it knew.
 * \param heard_at when it was last heard
 * \param born of the engine that it reported last; 0: it reported none
 */
void weight_install_note_predecessor(struct weight_install *install, uint64_t heard_at,
                                     uint64_t born);

/** \return whether calls that are under way or may still act bind the engine to the version that is
 * being installed */
bool weight_install_is_pinned(const struct weight_install *install, uint64_t now);

/**
 * \brief Install this version from now on.
 * \param pieces one for each piece, borrowed until the next change; they are reset
 * \return false, without any change, while the engine is bound
 */
bool weight_install_change(struct weight_install *install, uint64_t version,
                           struct install_piece *pieces, uint32_t piece_count, uint64_t now);

/** \brief This process has the piece's bytes now. */
void weight_install_mark_held(struct weight_install *install, uint32_t piece);

/** \brief A report of the engine came. \return whether the engine was started anew since the last
 */
bool weight_install_report(struct weight_install *install, const struct install_engine *engine,
                           uint64_t now);

/** \brief The engine gave no report. */
void weight_install_report_missed(struct weight_install *install);

/**
 * \param turn time from which the order may be given
 * \return what to do now; the call it names counts as sent
 */
struct install_action weight_install_next(struct weight_install *install, uint64_t now,
                                          uint64_t scheduled_at);

/** \brief The call at the stage ended. */
void weight_install_stage_done(struct weight_install *install, enum install_result result,
                               uint64_t now);

/** \brief The order's call ended. */
void weight_install_order_done(struct weight_install *install, enum install_result result,
                               uint64_t now);

/** \return whether the engine runs the version, or a newer one */
bool weight_install_is_complete(const struct weight_install *install);

/** \return begin of the oldest of the last readings that found a piece right; 0: some were not read
 */
uint64_t weight_install_verified_at(const struct weight_install *install);

/** \return whether all of the version lies in the stage, read back */
bool weight_install_is_staged(const struct weight_install *install);

/** \return whether the engine takes nothing new: it loads, or was just ordered to */
bool weight_install_is_loading(const struct weight_install *install, uint64_t now);

/** \return whether there is a next step to take soon */
bool weight_install_is_busy(const struct weight_install *install, uint64_t now);

#endif
