#include "core/weight_install.h"

#include <string.h>

void weight_install_init(struct weight_install *install,
                         const struct weight_install_settings *settings, uint64_t now)
{
    *install = (struct weight_install){.settings = *settings,
                                       .predecessor = true,
                                       .predecessor_until = now + settings->call_life_us};
}

/* --- what may still act at the engine ------------------------------------------------------------
 */

static bool order_in_doubt(const struct weight_install *install, uint64_t now)
{
    return now < install->order_doubt_until &&
           install->engine.sequence <= install->order_doubt_sequence;
}

/* An earlier process can have ordered only versions above the engine's, and none above this one. If
 * this one follows the engine's directly, there is no other, and its own pieces spoil nothing. */
static bool predecessor_in_doubt(const struct weight_install *install, uint64_t now)
{
    return (install->predecessor || install->predecessor_put) && now < install->predecessor_until &&
           install->version > install->engine.version + 1;
}

/* Only at the engine's start that the earlier process knew: its connections to others have ended.
 * It can have put only versions above the engine's, and none above this one. */
static bool knows_of_earlier_put(const struct weight_install *install)
{
    bool same_start = !install->earlier_born || !install->engine.born ||
                      install->earlier_born == install->engine.born;
    return install->earlier_until && same_start && install->version > install->engine.version + 1;
}

void weight_install_heard_of_predecessor(struct weight_install *install, uint64_t heard_at,
                                         uint64_t born)
{
    uint64_t until = heard_at + install->settings.call_life_us;
    if (until <= install->earlier_until)
        return;
    install->earlier_until = until;
    install->earlier_born = born;
}

static bool is_bound_by_order(const struct weight_install *install, uint64_t now)
{
    return install->order != ORDER_NONE || install->engine.loading ||
           order_in_doubt(install, now) || now < install->put_doubt_until;
}

bool weight_install_is_bound(const struct weight_install *install, uint64_t now)
{
    return install->call != INSTALL_WAIT || is_bound_by_order(install, now);
}

bool weight_install_change(struct weight_install *install, uint64_t version,
                           struct install_piece *pieces, uint32_t piece_count, uint64_t now)
{
    install->yielding = !is_bound_by_order(install, now) && install->call != INSTALL_WAIT;
    if (weight_install_is_bound(install, now))
        return false;
    install->version = version;
    install->pieces = pieces;
    install->piece_count = piece_count;
    install->held_count = 0;
    install->order_at = 0;
    install->order_pause = 0;
    install->effect_until = 0;
    if (piece_count)
        memset(pieces, 0, piece_count * sizeof *pieces);
    return true;
}

void weight_install_hold(struct weight_install *install, uint32_t piece)
{
    if (piece >= install->piece_count || install->pieces[piece].held)
        return;
    install->pieces[piece].held = true;
    install->held_count++;
}

/* --- the engine's reports ------------------------------------------------------------------------
 */

static void forget_readings(struct weight_install *install)
{
    for (uint32_t i = 0; i < install->piece_count; i++)
        install->pieces[i].read_at = 0;
}

static void settle_order(struct weight_install *install, uint64_t now)
{
    bool taken = install->engine.sequence != install->order_sequence;
    if (install->order == ORDER_ANSWERED && (taken || now >= install->effect_until))
        install->order = ORDER_NONE;
}

static void settle_predecessor(struct weight_install *install, uint64_t now)
{
    if (now >= install->predecessor_until ||
        install->engine.sequence > install->predecessor_sequence)
        install->predecessor = false;
}

bool weight_install_report(struct weight_install *install, const struct install_engine *engine,
                           uint64_t now)
{
    bool emptied = install->engine.version && !engine->version && !engine->loading;
    /* One that starts again may look like before: no weights, no order taken, but an empty stage.
     */
    bool other = engine->born != install->engine.born;
    bool restarted =
        install->reported && (engine->sequence < install->engine.sequence || emptied || other);
    if (!install->reported)
        install->predecessor_sequence = engine->sequence;
    /* Another engine may stand at the address since the last report, with an empty stage. */
    if (restarted || !install->reachable)
        forget_readings(install);
    install->reported = true;
    install->reachable = true;
    install->engine = *engine;
    settle_order(install, now);
    settle_predecessor(install, now);
    return restarted;
}

void weight_install_lost(struct weight_install *install)
{
    install->reachable = false;
}

/* --- the stage -----------------------------------------------------------------------------------
 */

void weight_install_stage_done(struct weight_install *install, enum install_result result,
                               uint64_t now)
{
    struct install_piece *piece = &install->pieces[install->call_piece];
    bool put = install->call == INSTALL_PUT;
    install->call = INSTALL_WAIT;
    if (put && result == INSTALL_NO_ANSWER)
        install->put_doubt_until = now + install->settings.call_life_us;
    if (!put && result == INSTALL_MISSING)
        install->predecessor = false; /* it orders only what lies there whole */
    if (!put && result == INSTALL_REFUSED && !piece->staged)
        install->predecessor_put = true; /* what this process staged may have turned bad */
    if (result == INSTALL_DONE) {
        piece->staged = true;
        piece->foreign = false;
        piece->read_at = put ? 0 : install->call_began;
    } else if (put || result == INSTALL_REFUSED || result == INSTALL_MISSING) {
        piece->staged = false;
        piece->foreign = true;
        piece->read_at = 0;
    }
}

/* While nothing is known of an earlier process's calls, what lies there is read before it is
 * written. */
static bool find_unstaged(const struct weight_install *install, uint64_t now,
                          struct install_action *action)
{
    bool may_put = !predecessor_in_doubt(install, now);
    for (uint32_t i = 0; i < install->piece_count; i++) {
        const struct install_piece *piece = &install->pieces[i];
        if (!piece->held || piece->staged)
            continue;
        bool known = piece->foreign || !install->predecessor;
        if (known && !may_put)
            continue;
        *action = (struct install_action){.kind = known ? INSTALL_PUT : INSTALL_READ, .piece = i};
        return true;
    }
    return false;
}

/* \return the piece whose last reading is the oldest */
static uint32_t oldest_reading(const struct weight_install *install)
{
    uint32_t oldest = 0;
    for (uint32_t i = 1; i < install->piece_count; i++)
        if (install->pieces[i].read_at < install->pieces[oldest].read_at)
            oldest = i;
    return oldest;
}

static bool all_staged(const struct weight_install *install)
{
    if (!install->piece_count || install->held_count < install->piece_count)
        return false;
    for (uint32_t i = 0; i < install->piece_count; i++)
        if (!install->pieces[i].staged)
            return false;
    return true;
}

uint64_t weight_install_read_at(const struct weight_install *install)
{
    return all_staged(install) ? install->pieces[oldest_reading(install)].read_at : 0;
}

bool weight_install_is_staged(const struct weight_install *install)
{
    return weight_install_read_at(install) > 0;
}

/* An order is near, under way, or may still be taken. */
static bool order_is_near(const struct weight_install *install, uint64_t now, uint64_t turn)
{
    return install->order != ORDER_NONE || order_in_doubt(install, now) ||
           now + install->settings.reread_us >= turn;
}

/* A put of an earlier process may come between a reading and the order. */
static bool may_be_overwritten(const struct weight_install *install, uint64_t read_at)
{
    return knows_of_earlier_put(install) && read_at < install->earlier_until;
}

static bool find_stale(const struct weight_install *install, uint64_t now, uint64_t turn,
                       struct install_action *action)
{
    if (install->engine.loading || !all_staged(install))
        return false; /* what is being loaded was taken already */
    uint32_t piece = oldest_reading(install);
    uint64_t read_at = install->pieces[piece].read_at;
    bool stale = now >= read_at + install->settings.reread_us ||
                 (may_be_overwritten(install, read_at) && now >= install->earlier_until);
    if (read_at && !(stale && order_is_near(install, now, turn)))
        return false;
    *action = (struct install_action){.kind = INSTALL_READ, .piece = piece};
    return true;
}

/* --- the order -----------------------------------------------------------------------------------
 */

bool weight_install_is_done(const struct weight_install *install)
{
    return install->version && install->engine.version >= install->version;
}

static bool may_order(const struct weight_install *install, uint64_t now, uint64_t turn)
{
    bool begun = install->order_at != 0; /* its turn may have moved since */
    if (!install->reachable || install->order != ORDER_NONE || install->engine.loading ||
        install->engine.leaving || (!begun && now < turn) || now < install->order_pause)
        return false;
    uint64_t read_at = weight_install_read_at(install);
    return read_at && now < read_at + install->settings.fresh_us &&
           !may_be_overwritten(install, read_at);
}

static bool find_order(struct weight_install *install, uint64_t now, uint64_t turn,
                       struct install_action *action)
{
    if (!may_order(install, now, turn))
        return false;
    *action = (struct install_action){.kind = INSTALL_ORDER, .sequence = install->engine.sequence};
    return true;
}

void weight_install_order_done(struct weight_install *install, enum install_result result,
                               uint64_t now)
{
    install->order = result == INSTALL_DONE ? ORDER_ANSWERED : ORDER_NONE;
    if (result == INSTALL_REFUSED || result == INSTALL_UNSENT) {
        install->order_pause = now + install->settings.refused_us;
        install->effect_until = 0;
    }
    if (result == INSTALL_NO_ANSWER) {
        install->order_doubt_sequence = install->order_sequence;
        install->order_doubt_until = now + install->settings.call_life_us;
    }
    settle_order(install, now);
}

/* What is put into an engine that is about to end is lost with it, and it runs nothing new. But as
 * long as it may take an order that was given, its stage is kept right, report or not. */
static bool needs_nothing(const struct weight_install *install, uint64_t now)
{
    bool may_be_taken = install->order != ORDER_NONE || order_in_doubt(install, now);
    return !may_be_taken && (!install->reachable || install->engine.leaving);
}

struct install_action weight_install_next(struct weight_install *install, uint64_t now,
                                          uint64_t turn)
{
    struct install_action action = {.kind = INSTALL_WAIT};
    if (!install->version || weight_install_is_done(install) || needs_nothing(install, now))
        return action;
    settle_order(install, now);
    if (install->yielding) {
        install->yielding = install->call != INSTALL_WAIT;
        return action;
    }
    if (find_order(install, now, turn, &action)) {
        install->order = ORDER_SENT;
        install->order_sequence = action.sequence;
        install->order_at = now;
        install->effect_until = now + install->settings.order_effect_us;
        return action;
    }
    if (install->call != INSTALL_WAIT)
        return action;
    if (find_unstaged(install, now, &action) || find_stale(install, now, turn, &action)) {
        install->call = action.kind;
        install->call_piece = action.piece;
        install->call_began = now;
    }
    return action;
}

bool weight_install_is_loading(const struct weight_install *install, uint64_t now)
{
    if (install->engine.loading)
        return true;
    if (!install->version || weight_install_is_done(install))
        return false;
    return now < install->effect_until;
}

bool weight_install_is_busy(const struct weight_install *install, uint64_t now)
{
    if (!install->version || !install->reachable || weight_install_is_done(install))
        return false;
    if (needs_nothing(install, now))
        return false;
    return install->call != INSTALL_WAIT || install->order != ORDER_NONE ||
           order_in_doubt(install, now) || !weight_install_is_staged(install);
}
