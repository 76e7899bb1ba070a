#include "core/weights/weight_install.h"

#include <string.h>

void weight_install_init(struct weight_install *install,
                         const struct weight_install_settings *settings, uint64_t now)
{
    *install = (struct weight_install){.settings = *settings,
                                       .predecessor_may_order = true,
                                       .predecessor_until = now + settings->call_lifetime_us};
}

/* --- calls that may still take effect --------------------------------------------------------- */

static bool order_is_in_doubt(const struct weight_install *install, uint64_t now)
{
    return now < install->in_doubt_order_until &&
           install->engine.sequence <= install->in_doubt_order_sequence;
}

/* A previous process can have ordered only versions newer than the engine's and not newer than this
 * one. If this version directly follows the engine's, there is no other such version, and pieces of
 * this version do no harm. */
static bool predecessor_is_in_doubt(const struct weight_install *install, uint64_t now)
{
    return (install->predecessor_may_order || install->predecessor_may_put) &&
           now < install->predecessor_until && install->version > install->engine.version + 1;
}

/* Only at the engine start that the previous process reported: its connections to other starts have
 * ended. It can have put only versions newer than the engine's and not newer than this one. */
static bool known_predecessor_may_put(const struct weight_install *install)
{
    bool same_start = !install->known_predecessor_born || !install->engine.born ||
                      install->known_predecessor_born == install->engine.born;
    return install->known_predecessor_until && same_start &&
           install->version > install->engine.version + 1;
}

void weight_install_note_predecessor(struct weight_install *install, uint64_t heard_at,
                                     uint64_t born)
{
    uint64_t until = heard_at + install->settings.call_lifetime_us;
    if (until <= install->known_predecessor_until)
        return;
    install->known_predecessor_until = until;
    install->known_predecessor_born = born;
}

static bool has_unresolved_calls(const struct weight_install *install, uint64_t now)
{
    return install->order != ORDER_NONE || install->engine.loading ||
           order_is_in_doubt(install, now) || now < install->in_doubt_put_until;
}

bool weight_install_is_pinned(const struct weight_install *install, uint64_t now)
{
    return install->stage_call != INSTALL_NO_ACTION || has_unresolved_calls(install, now);
}

bool weight_install_change(struct weight_install *install, uint64_t version,
                           struct install_piece *pieces, uint32_t piece_count, uint64_t now)
{
    install->change_pending =
        !has_unresolved_calls(install, now) && install->stage_call != INSTALL_NO_ACTION;
    if (weight_install_is_pinned(install, now))
        return false;
    install->version = version;
    install->pieces = pieces;
    install->piece_count = piece_count;
    install->held_count = 0;
    install->ordered_at = 0;
    install->order_backoff_until = 0;
    install->order_effect_deadline = 0;
    if (piece_count)
        memset(pieces, 0, piece_count * sizeof *pieces);
    return true;
}

void weight_install_mark_held(struct weight_install *install, uint32_t piece)
{
    if (piece >= install->piece_count || install->pieces[piece].held)
        return;
    install->pieces[piece].held = true;
    install->held_count++;
}

/* --- engine reports --------------------------------------------------------------------------- */

static void clear_verification(struct weight_install *install)
{
    for (uint32_t i = 0; i < install->piece_count; i++)
        install->pieces[i].verified_at = 0;
}

static void update_order_state(struct weight_install *install, uint64_t now)
{
    bool accepted = install->engine.sequence != install->order_sequence;
    if (install->order == ORDER_ANSWERED && (accepted || now >= install->order_effect_deadline))
        install->order = ORDER_NONE;
}

static void update_predecessor(struct weight_install *install, uint64_t now)
{
    if (now >= install->predecessor_until ||
        install->engine.sequence > install->predecessor_sequence)
        install->predecessor_may_order = false;
}

bool weight_install_report(struct weight_install *install, const struct install_engine *engine,
                           uint64_t now)
{
    bool emptied = install->engine.version && !engine->version && !engine->loading;
    /* A restarted engine may report the same as before: no weights and no order accepted. Its
     * staging area is empty all the same, which only `born` shows. */
    bool other = engine->born != install->engine.born;
    bool restarted =
        install->reported && (engine->sequence < install->engine.sequence || emptied || other);
    if (!install->reported)
        install->predecessor_sequence = engine->sequence;
    /* Another engine, with an empty staging area, may have replaced it since the last report. */
    if (restarted || !install->reachable)
        clear_verification(install);
    install->reported = true;
    install->reachable = true;
    install->engine = *engine;
    update_order_state(install, now);
    update_predecessor(install, now);
    return restarted;
}

void weight_install_report_missed(struct weight_install *install)
{
    install->reachable = false;
}

/* --- staging area ----------------------------------------------------------------------------- */

void weight_install_stage_done(struct weight_install *install, enum install_result result,
                               uint64_t now)
{
    struct install_piece *piece = &install->pieces[install->stage_call_piece];
    bool put = install->stage_call == INSTALL_PUT;
    install->stage_call = INSTALL_NO_ACTION;
    if (put && result == INSTALL_NO_ANSWER)
        install->in_doubt_put_until = now + install->settings.call_lifetime_us;
    if (!put && result == INSTALL_MISSING)
        install->predecessor_may_order = false; /* it orders only complete versions */
    if (!put && result == INSTALL_REFUSED && !piece->staged)
        install->predecessor_may_put = true; /* a staged piece may be corrupted instead */
    if (result == INSTALL_DONE) {
        piece->staged = true;
        piece->mismatched = false;
        piece->verified_at = put ? 0 : install->stage_call_started_at;
    } else if (put || result == INSTALL_REFUSED || result == INSTALL_MISSING) {
        piece->staged = false;
        piece->mismatched = true;
        piece->verified_at = 0;
    }
}

/* While an order of a previous process may be in doubt, a piece is read before it is overwritten:
 * it may belong to the ordered version. */
static bool find_unstaged(const struct weight_install *install, uint64_t now,
                          struct install_action *action)
{
    bool may_put = !predecessor_is_in_doubt(install, now);
    for (uint32_t i = 0; i < install->piece_count; i++) {
        const struct install_piece *piece = &install->pieces[i];
        if (!piece->held || piece->staged)
            continue;
        bool contents_known = piece->mismatched || !install->predecessor_may_order;
        if (contents_known && !may_put)
            continue;
        *action = (struct install_action){.kind = contents_known ? INSTALL_PUT : INSTALL_READ,
                                          .piece = i};
        return true;
    }
    return false;
}

/* \return the piece whose read-back is the oldest, or that was not read back */
static uint32_t least_recently_verified(const struct weight_install *install)
{
    uint32_t oldest = 0;
    for (uint32_t i = 1; i < install->piece_count; i++)
        if (install->pieces[i].verified_at < install->pieces[oldest].verified_at)
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

uint64_t weight_install_verified_at(const struct weight_install *install)
{
    return all_staged(install) ? install->pieces[least_recently_verified(install)].verified_at : 0;
}

bool weight_install_is_staged(const struct weight_install *install)
{
    return weight_install_verified_at(install) > 0;
}

/* An order is due within one re-read interval, under way or in doubt. */
static bool order_is_imminent(const struct weight_install *install, uint64_t now,
                              uint64_t scheduled_at)
{
    return install->order != ORDER_NONE || order_is_in_doubt(install, now) ||
           now + install->settings.reread_interval_us >= scheduled_at;
}

/* A put of a previous process may arrive between the read-back and the order. */
static bool may_be_overwritten(const struct weight_install *install, uint64_t verified_at)
{
    return known_predecessor_may_put(install) && verified_at < install->known_predecessor_until;
}

static bool find_stale_piece(const struct weight_install *install, uint64_t now,
                             uint64_t scheduled_at, struct install_action *action)
{
    if (install->engine.loading || !all_staged(install))
        return false; /* the engine has already read the staging area */
    uint32_t piece = least_recently_verified(install);
    uint64_t verified_at = install->pieces[piece].verified_at;
    bool stale =
        now >= verified_at + install->settings.reread_interval_us ||
        (may_be_overwritten(install, verified_at) && now >= install->known_predecessor_until);
    if (verified_at && !(stale && order_is_imminent(install, now, scheduled_at)))
        return false;
    *action = (struct install_action){.kind = INSTALL_READ, .piece = piece};
    return true;
}

/* --- load order ------------------------------------------------------------------------------- */

bool weight_install_is_complete(const struct weight_install *install)
{
    return install->version && install->engine.version >= install->version;
}

static bool may_order(const struct weight_install *install, uint64_t now, uint64_t scheduled_at)
{
    bool ordered_before = install->ordered_at != 0; /* the schedule may have moved since */
    if (!install->reachable || install->order != ORDER_NONE || install->engine.loading ||
        install->engine.leaving || (!ordered_before && now < scheduled_at) ||
        now < install->order_backoff_until)
        return false;
    uint64_t verified_at = weight_install_verified_at(install);
    return verified_at && now < verified_at + install->settings.verification_valid_us &&
           !may_be_overwritten(install, verified_at);
}

static bool find_order(struct weight_install *install, uint64_t now, uint64_t scheduled_at,
                       struct install_action *action)
{
    if (!may_order(install, now, scheduled_at))
        return false;
    *action = (struct install_action){.kind = INSTALL_ORDER, .sequence = install->engine.sequence};
    return true;
}

void weight_install_order_done(struct weight_install *install, enum install_result result,
                               uint64_t now)
{
    install->order = result == INSTALL_DONE ? ORDER_ANSWERED : ORDER_NONE;
    if (result == INSTALL_REFUSED || result == INSTALL_UNSENT) {
        install->order_backoff_until = now + install->settings.order_backoff_us;
        install->order_effect_deadline = 0;
    }
    if (result == INSTALL_NO_ANSWER) {
        install->in_doubt_order_sequence = install->order_sequence;
        install->in_doubt_order_until = now + install->settings.call_lifetime_us;
    }
    update_order_state(install, now);
}

/* An engine that is shutting down gets no new weights: they would be lost with it. But while it may
 * still accept an order, its staging area is kept verified, even if it gives no reports. */
static bool is_suspended(const struct weight_install *install, uint64_t now)
{
    bool order_may_act = install->order != ORDER_NONE || order_is_in_doubt(install, now);
    return !order_may_act && (!install->reachable || install->engine.leaving);
}

struct install_action weight_install_next(struct weight_install *install, uint64_t now,
                                          uint64_t scheduled_at)
{
    struct install_action action = {.kind = INSTALL_NO_ACTION};
    if (!install->version || weight_install_is_complete(install) || is_suspended(install, now))
        return action;
    update_order_state(install, now);
    if (install->change_pending) {
        install->change_pending = install->stage_call != INSTALL_NO_ACTION;
        return action;
    }
    if (find_order(install, now, scheduled_at, &action)) {
        install->order = ORDER_SENT;
        install->order_sequence = action.sequence;
        install->ordered_at = now;
        install->order_effect_deadline = now + install->settings.order_effect_timeout_us;
        return action;
    }
    if (install->stage_call != INSTALL_NO_ACTION)
        return action;
    if (find_unstaged(install, now, &action) ||
        find_stale_piece(install, now, scheduled_at, &action)) {
        install->stage_call = action.kind;
        install->stage_call_piece = action.piece;
        install->stage_call_started_at = now;
    }
    return action;
}

bool weight_install_is_loading(const struct weight_install *install, uint64_t now)
{
    if (install->engine.loading)
        return true;
    if (!install->version || weight_install_is_complete(install))
        return false;
    return now < install->order_effect_deadline;
}

bool weight_install_is_busy(const struct weight_install *install, uint64_t now)
{
    if (!install->version || !install->reachable || weight_install_is_complete(install))
        return false;
    if (is_suspended(install, now))
        return false;
    return install->stage_call != INSTALL_NO_ACTION || install->order != ORDER_NONE ||
           order_is_in_doubt(install, now) || !weight_install_is_staged(install);
}
