/**
 * Simulation of the environment of core/weights/weight_install: one engine with a staging area of a
 * few pieces, a network that loses calls and answers and delays calls, an operator who announces
 * versions, and failures of the loader, the engine and the staging area. Each possible next event
 * is one step.
 *
 * The engine is the test oracle. A run fails when the engine loads weights of which a piece is
 * missing, is of another version, or was corrupted for longer than detection may take. The oracle
 * uses no state of the loader for this.
 */
#ifndef SHUNTRUN_WEIGHT_INSTALL_SIM_H
#define SHUNTRUN_WEIGHT_INSTALL_SIM_H

#include "core/weights/weight_install.h"

#include <string.h>

#define SIM_PIECES 2
#define SIM_DELAYED_CALLS_MAX 2
#define SIM_START_TIME 100
/** Time for which a corrupted piece may go undetected, in units of half a second. */
#define SIM_CORRUPTION_UNDETECTED 6
/** Timeout of the call of an order, in units of half a second. */
#define SIM_ORDER_TIMEOUT 3

/** In units of half a second. The lifetime of a call is 3 s instead of 12 s, which keeps the number
 * of states small. */
static const struct weight_install_settings sim_settings = {
    .verification_valid_us = 3,
    .reread_interval_us = 1,
    .call_lifetime_us = 6,
    .order_effect_timeout_us = 3,
    .order_backoff_us = 1,
};

/** A rule of the state machine that is disabled, to check that the exploration detects it. */
enum sim_mutation {
    SIM_NO_MUTATION,
    SIM_UNANSWERED_ORDER_IS_OVER,
    SIM_UNANSWERED_PUT_IS_OVER,
    SIM_IGNORE_PREDECESSOR,
    SIM_IGNORE_PEER_REPORTS,
    SIM_VERIFY_ONCE,
    SIM_VERIFICATION_OUTLIVES_ENGINE,
    SIM_IDENTICAL_ENGINE_STARTS,
};

/** How many events of each kind may still happen. */
struct sim_budget {
    uint8_t ticks;         /* of half a second */
    uint8_t announcements; /* of versions */
    uint8_t delayed;       /* calls that may arrive after they were given up */
    uint8_t lost;          /* calls and answers */
    uint8_t loader_restarts;
    uint8_t engine_crashes;
    uint8_t engine_replacements;
    uint8_t unnoticed_restarts;
    uint8_t power_losses;
    uint8_t corrupted_pieces;
    uint8_t engine_shutdowns;
};

struct sim_options {
    struct sim_budget budget;
    enum sim_mutation mutation;
    bool engine_busy;        /**< the engine has a request that does not end */
    bool prompt_stage_calls; /**< stage calls are answered before time passes */
    bool stale_reports;      /**< other steps may happen between sending and delivery of a report */
};

struct sim_call {
    enum install_action_kind kind; /* INSTALL_NO_ACTION: none */
    uint32_t piece;
    uint64_t version;
    uint64_t sequence;
    uint64_t until; /* timeout of an order; end of the lifetime of a delayed call */
};

struct sim {
    uint64_t now;
    struct weight_install install;
    struct install_piece pieces[SIM_PIECES];
    uint64_t announced_version;
    struct sim_call stage_call;
    struct sim_call order_call;
    struct sim_call delayed[SIM_DELAYED_CALLS_MAX];
    bool report_in_flight;
    struct install_engine report; /* sent by the engine, not delivered yet */
    struct install_engine engine;
    uint64_t loading_version;
    uint64_t stage[SIM_PIECES]; /* version of each staged piece; 0: none */
    uint64_t corrupted_since[SIM_PIECES];
    bool predecessor_known; /* other nodes heard a previous process of the loader */
    uint64_t heard_at;      /* time at which they last heard it */
    uint64_t reported_born; /* start of the engine that it reported last; 0: none */
    struct sim_budget budget_left;
    bool violated; /* the engine loaded invalid weights, or got an order though it was known to be
                      shutting down */
};

enum sim_step {
    SIM_TIME_PASSES,
    SIM_STAGE_CALL_ANSWERED,
    SIM_STAGE_ANSWER_LOST,
    SIM_STAGE_CALL_LOST,
    SIM_STAGE_CALL_DELAYED,
    SIM_ORDER_ANSWERED,
    SIM_ORDER_ANSWER_LOST,
    SIM_ORDER_LOST,
    SIM_ORDER_DELAYED,
    SIM_FIRST_DELAYED_CALL_ARRIVES,
    SIM_SECOND_DELAYED_CALL_ARRIVES,
    SIM_REPORT_SENT,
    SIM_REPORT_DELIVERED,
    SIM_REPORT_LOST,
    SIM_WEIGHTS_LOADED,
    SIM_VERSION_ANNOUNCED,
    SIM_LOADER_RESTARTS,
    SIM_LOADER_RESTARTS_CALLS_DELAYED,
    SIM_ENGINE_CRASHES,
    SIM_ENGINE_REPLACED,
    SIM_ENGINE_RESTARTS_UNNOTICED,
    SIM_POWER_LOST,
    SIM_FIRST_PIECE_CORRUPTED,
    SIM_ENGINE_SHUTS_DOWN,
    SIM_STEP_COUNT,
};

static const char *const sim_step_names[] = {
    [SIM_TIME_PASSES] = "time passes",
    [SIM_STAGE_CALL_ANSWERED] = "stage call answered",
    [SIM_STAGE_ANSWER_LOST] = "stage call done, answer lost",
    [SIM_STAGE_CALL_LOST] = "stage call lost",
    [SIM_STAGE_CALL_DELAYED] = "stage call timed out, still in transit",
    [SIM_ORDER_ANSWERED] = "order answered",
    [SIM_ORDER_ANSWER_LOST] = "order handled, answer lost",
    [SIM_ORDER_LOST] = "order lost",
    [SIM_ORDER_DELAYED] = "order timed out, still in transit",
    [SIM_FIRST_DELAYED_CALL_ARRIVES] = "first delayed call arrives",
    [SIM_SECOND_DELAYED_CALL_ARRIVES] = "second delayed call arrives",
    [SIM_REPORT_SENT] = "report sent by the engine",
    [SIM_REPORT_DELIVERED] = "report delivered",
    [SIM_REPORT_LOST] = "report lost",
    [SIM_WEIGHTS_LOADED] = "engine has loaded",
    [SIM_VERSION_ANNOUNCED] = "version announced",
    [SIM_LOADER_RESTARTS] = "loader restarts, its calls are lost",
    [SIM_LOADER_RESTARTS_CALLS_DELAYED] = "loader restarts, its calls are in transit",
    [SIM_ENGINE_CRASHES] = "engine crashes and restarts",
    [SIM_ENGINE_REPLACED] = "engine replaced by an empty one",
    [SIM_ENGINE_RESTARTS_UNNOTICED] = "engine restarts, empty, between two reports",
    [SIM_POWER_LOST] = "power lost",
    [SIM_FIRST_PIECE_CORRUPTED] = "a piece is corrupted",
    [SIM_ENGINE_SHUTS_DOWN] = "engine announces its shutdown",
};

/* --- loader ----------------------------------------------------------------------------------- */

static void sim_start_loader(struct sim *sim, const struct sim_options *options)
{
    struct weight_install_settings settings = sim_settings;
    if (options->mutation == SIM_VERIFY_ONCE)
        settings.reread_interval_us = settings.verification_valid_us = UINT32_MAX;
    weight_install_init(&sim->install, &settings, sim->now);
    if (sim->predecessor_known && options->mutation != SIM_IGNORE_PEER_REPORTS)
        weight_install_note_predecessor(&sim->install, sim->heard_at, sim->reported_born);
    memset(sim->pieces, 0, sizeof sim->pieces);
    sim->stage_call = (struct sim_call){0};
    sim->order_call = (struct sim_call){0};
    sim->report_in_flight = false;
}

/* Makes the loader one that has run for long: no call of a previous process is in doubt. */
static void sim_settle_loader(struct sim *sim)
{
    weight_install_report(&sim->install, &sim->engine, sim->now);
    sim->install.predecessor_may_order = false;
}

static void sim_apply_mutation(struct sim *sim, enum sim_mutation mutation)
{
    if (mutation == SIM_UNANSWERED_ORDER_IS_OVER)
        sim->install.in_doubt_order_until = 0;
    if (mutation == SIM_UNANSWERED_PUT_IS_OVER)
        sim->install.in_doubt_put_until = 0;
    if (mutation == SIM_IGNORE_PREDECESSOR)
        sim->install.predecessor_may_order = false;
}

static void sim_change_version(struct sim *sim)
{
    if (sim->announced_version <= sim->install.version ||
        !weight_install_change(&sim->install, sim->announced_version, sim->pieces, SIM_PIECES,
                               sim->now))
        return;
    for (uint32_t i = 0; i < SIM_PIECES; i++)
        weight_install_mark_held(&sim->install, i);
}

/* Stands in for loader/installer: carries out all actions that the state machine returns now. */
static void sim_run_loader(struct sim *sim, const struct sim_options *options)
{
    sim_apply_mutation(sim, options->mutation);
    sim_change_version(sim);
    for (;;) {
        struct install_action action = weight_install_next(&sim->install, sim->now, 0);
        struct sim_call call = {action.kind, action.piece, sim->install.version, action.sequence,
                                sim->now + SIM_ORDER_TIMEOUT};
        if (action.kind == INSTALL_NO_ACTION)
            return;
        sim->violated |= action.kind == INSTALL_ORDER && sim->install.engine.leaving;
        if (action.kind == INSTALL_ORDER)
            sim->order_call = call;
        else
            sim->stage_call = call;
    }
}

/* --- engine ----------------------------------------------------------------------------------- */

static bool sim_stage_is_valid(const struct sim *sim, uint64_t version)
{
    for (uint32_t i = 0; i < SIM_PIECES; i++)
        if (sim->stage[i] != version ||
            (sim->corrupted_since[i] &&
             sim->now > sim->corrupted_since[i] + SIM_CORRUPTION_UNDETECTED))
            return false;
    return true;
}

static enum install_result sim_engine_handle_order(struct sim *sim, const struct sim_call *call)
{
    if (call->sequence != sim->engine.sequence)
        return INSTALL_REFUSED;
    sim->violated |= !sim_stage_is_valid(sim, call->version);
    sim->engine.sequence++;
    sim->engine.version = 0;
    sim->engine.requests = 0;
    sim->engine.loading = true;
    sim->loading_version = call->version;
    return INSTALL_DONE;
}

static enum install_result sim_engine_handle_stage_call(struct sim *sim,
                                                        const struct sim_call *call)
{
    uint32_t piece = call->piece;
    if (call->kind == INSTALL_PUT) {
        sim->stage[piece] = call->version;
        sim->corrupted_since[piece] = 0;
        return INSTALL_DONE;
    }
    if (!sim->stage[piece])
        return INSTALL_MISSING;
    bool right = sim->stage[piece] == call->version && !sim->corrupted_since[piece];
    return right ? INSTALL_DONE : INSTALL_REFUSED;
}

static enum install_result sim_engine_handle_call(struct sim *sim, const struct sim_call *call)
{
    return call->kind == INSTALL_ORDER ? sim_engine_handle_order(sim, call)
                                       : sim_engine_handle_stage_call(sim, call);
}

/* --- steps ------------------------------------------------------------------------------------ */

static bool sim_consume(uint8_t *budget_left)
{
    if (!*budget_left)
        return false;
    (*budget_left)--;
    return true;
}

static bool sim_store_delayed_call(struct sim *sim, const struct sim_call *call)
{
    for (uint32_t i = 0; i < SIM_DELAYED_CALLS_MAX; i++)
        if (sim->delayed[i].kind == INSTALL_NO_ACTION) {
            sim->delayed[i] = *call;
            sim->delayed[i].until = sim->now + sim_settings.call_lifetime_us;
            return true;
        }
    return false;
}

static bool sim_end_call(struct sim *sim, struct sim_call *slot, bool handled, bool answered)
{
    struct sim_call call = *slot;
    if (call.kind == INSTALL_NO_ACTION)
        return false;
    if (!answered && !sim_consume(&sim->budget_left.lost))
        return false;
    *slot = (struct sim_call){0};
    enum install_result result = handled ? sim_engine_handle_call(sim, &call) : INSTALL_NO_ANSWER;
    if (!answered)
        result = INSTALL_NO_ANSWER;
    if (call.kind == INSTALL_ORDER)
        weight_install_order_done(&sim->install, result, sim->now);
    else
        weight_install_stage_done(&sim->install, result, sim->now);
    return true;
}

static bool sim_delay_call(struct sim *sim, struct sim_call *slot)
{
    struct sim_call call = *slot;
    if (call.kind == INSTALL_NO_ACTION || call.kind == INSTALL_READ || !sim->budget_left.delayed ||
        !sim_store_delayed_call(sim, &call))
        return false;
    sim->budget_left.delayed--;
    sim->budget_left.lost++; /* does not count as lost: sim_end_call() takes one off */
    return sim_end_call(sim, slot, false, false);
}

static bool sim_deliver_delayed_call(struct sim *sim, uint32_t index)
{
    struct sim_call call = sim->delayed[index];
    if (call.kind == INSTALL_NO_ACTION)
        return false;
    sim->delayed[index] = (struct sim_call){0};
    sim_engine_handle_call(sim, &call);
    return true;
}

static bool sim_advance_time(struct sim *sim, const struct sim_options *options)
{
    bool order_times_out =
        sim->order_call.kind != INSTALL_NO_ACTION && sim->now >= sim->order_call.until;
    if ((options->prompt_stage_calls && sim->stage_call.kind != INSTALL_NO_ACTION) ||
        order_times_out || !sim_consume(&sim->budget_left.ticks))
        return false;
    sim->now++;
    for (uint32_t i = 0; i < SIM_DELAYED_CALLS_MAX; i++)
        if (sim->delayed[i].until <= sim->now)
            sim->delayed[i] = (struct sim_call){0};
    return true;
}

static bool sim_report(struct sim *sim, const struct sim_options *options, enum sim_step step)
{
    if (step == SIM_REPORT_DELIVERED && !options->stale_reports)
        sim->report = sim->engine;
    if (step == SIM_REPORT_SENT) {
        if (sim->report_in_flight || !options->stale_reports)
            return false;
        sim->report = sim->engine;
        sim->report_in_flight = true;
        return true;
    }
    if (!sim->report_in_flight && options->stale_reports)
        return false;
    sim->report_in_flight = false;
    if (step == SIM_REPORT_DELIVERED)
        weight_install_report(&sim->install, &sim->report, sim->now);
    else
        weight_install_report_missed(&sim->install);
    return true;
}

/* Records what other nodes know of the process that ends now. They hear it up to its end, and learn
 * the start of the engine that it reports. */
static void sim_record_predecessor(struct sim *sim)
{
    sim->predecessor_known = true;
    sim->heard_at = sim->now;
    sim->reported_born = sim->install.reported ? sim->install.engine.born : sim->reported_born;
}

static bool sim_restart_loader(struct sim *sim, const struct sim_options *options,
                               bool calls_delayed)
{
    if (!sim_consume(&sim->budget_left.loader_restarts))
        return false;
    if (calls_delayed && sim->order_call.kind != INSTALL_NO_ACTION)
        sim_store_delayed_call(sim, &sim->order_call);
    if (calls_delayed && sim->stage_call.kind == INSTALL_PUT)
        sim_store_delayed_call(sim, &sim->stage_call);
    sim_record_predecessor(sim);
    sim_start_loader(sim, options);
    return true;
}

/* The connections of the engine end with its process, and with them all calls, also delayed ones.
 */
static void sim_end_engine(struct sim *sim)
{
    sim->budget_left.lost += 2;
    sim_end_call(sim, &sim->stage_call, false, false);
    sim_end_call(sim, &sim->order_call, false, false);
    memset(sim->delayed, 0, sizeof sim->delayed);
    sim->engine = (struct install_engine){0};
}

static bool sim_crash_engine(struct sim *sim, const struct sim_options *options)
{
    if (!sim_consume(&sim->budget_left.engine_crashes))
        return false;
    uint8_t lost = sim->budget_left.lost;
    sim_end_engine(sim);
    sim->budget_left.lost = lost;
    /* The connection to the loader is lost, too. */
    sim->report_in_flight = false;
    if (options->mutation != SIM_VERIFICATION_OUTLIVES_ENGINE)
        weight_install_report_missed(&sim->install);
    return true;
}

static void sim_clear_stage(struct sim *sim)
{
    memset(sim->stage, 0, sizeof sim->stage);
    memset(sim->corrupted_since, 0, sizeof sim->corrupted_since);
}

static bool sim_replace_engine(struct sim *sim, const struct sim_options *options)
{
    if (!sim->budget_left.engine_replacements)
        return false;
    sim->budget_left.engine_replacements--;
    sim->budget_left.engine_crashes++;
    sim_clear_stage(sim);
    return sim_crash_engine(sim, options);
}

/* No connection is open that would show the restart: only the next report does. */
static bool sim_restart_engine_unnoticed(struct sim *sim, const struct sim_options *options)
{
    if (sim->report_in_flight || !sim_consume(&sim->budget_left.unnoticed_restarts))
        return false;
    uint64_t born = sim->engine.born + 1;
    uint8_t lost = sim->budget_left.lost;
    sim_clear_stage(sim);
    sim_end_engine(sim);
    sim->budget_left.lost = lost;
    sim->engine.born = options->mutation == SIM_IDENTICAL_ENGINE_STARTS ? 0 : born;
    weight_install_report(&sim->install, &sim->engine, sim->now);
    return true;
}

static bool sim_lose_power(struct sim *sim, const struct sim_options *options)
{
    if (!sim_consume(&sim->budget_left.power_losses))
        return false;
    sim_clear_stage(sim);
    memset(sim->delayed, 0, sizeof sim->delayed);
    sim->engine = (struct install_engine){0};
    sim->predecessor_known = false; /* all nodes restart */
    sim_start_loader(sim, options);
    return true;
}

static bool sim_corrupt_piece(struct sim *sim)
{
    if (!sim->stage[0] || sim->corrupted_since[0] ||
        !sim_consume(&sim->budget_left.corrupted_pieces))
        return false;
    sim->corrupted_since[0] = sim->now;
    return true;
}

/* The engine keeps running until its next start. */
static bool sim_shut_down_engine(struct sim *sim)
{
    if (sim->engine.leaving || !sim_consume(&sim->budget_left.engine_shutdowns))
        return false;
    sim->engine.leaving = true;
    return true;
}

static bool sim_apply_step(struct sim *sim, const struct sim_options *options, enum sim_step step)
{
    switch (step) {
    case SIM_TIME_PASSES:
        return sim_advance_time(sim, options);
    case SIM_STAGE_CALL_ANSWERED:
        return sim_end_call(sim, &sim->stage_call, true, true);
    case SIM_STAGE_ANSWER_LOST:
        return sim_end_call(sim, &sim->stage_call, true, false);
    case SIM_STAGE_CALL_LOST:
        return sim_end_call(sim, &sim->stage_call, false, false);
    case SIM_STAGE_CALL_DELAYED:
        return sim_delay_call(sim, &sim->stage_call);
    case SIM_ORDER_ANSWERED:
        return sim_end_call(sim, &sim->order_call, true, true);
    case SIM_ORDER_ANSWER_LOST:
        return sim_end_call(sim, &sim->order_call, true, false);
    case SIM_ORDER_LOST:
        return sim_end_call(sim, &sim->order_call, false, false);
    case SIM_ORDER_DELAYED:
        return sim_delay_call(sim, &sim->order_call);
    case SIM_FIRST_DELAYED_CALL_ARRIVES:
        return sim_deliver_delayed_call(sim, 0);
    case SIM_SECOND_DELAYED_CALL_ARRIVES:
        return sim_deliver_delayed_call(sim, 1);
    case SIM_REPORT_SENT:
    case SIM_REPORT_DELIVERED:
    case SIM_REPORT_LOST:
        return sim_report(sim, options, step);
    case SIM_WEIGHTS_LOADED:
        if (!sim->engine.loading)
            return false;
        sim->engine.loading = false;
        sim->engine.version = sim->loading_version;
        return true;
    case SIM_VERSION_ANNOUNCED:
        if (!sim_consume(&sim->budget_left.announcements))
            return false;
        sim->announced_version++;
        return true;
    case SIM_LOADER_RESTARTS:
    case SIM_LOADER_RESTARTS_CALLS_DELAYED:
        return sim_restart_loader(sim, options, step == SIM_LOADER_RESTARTS_CALLS_DELAYED);
    case SIM_ENGINE_CRASHES:
        return sim_crash_engine(sim, options);
    case SIM_ENGINE_REPLACED:
        return sim_replace_engine(sim, options);
    case SIM_ENGINE_RESTARTS_UNNOTICED:
        return sim_restart_engine_unnoticed(sim, options);
    case SIM_POWER_LOST:
        return sim_lose_power(sim, options);
    case SIM_FIRST_PIECE_CORRUPTED:
        return sim_corrupt_piece(sim);
    case SIM_ENGINE_SHUTS_DOWN:
        return sim_shut_down_engine(sim);
    case SIM_STEP_COUNT:
        break;
    }
    return false;
}

/* Call after copying a simulation: its state machine has to use its own pieces. */
static inline void sim_rebind_pieces(struct sim *sim)
{
    if (sim->install.pieces)
        sim->install.pieces = sim->pieces;
}

/** \brief Apply a step and run the loader. \return false if the step is not
 * possible */
static bool sim_step(struct sim *sim, const struct sim_options *options, enum sim_step step)
{
    if (!sim_apply_step(sim, options, step))
        return false;
    sim_run_loader(sim, options);
    return true;
}

static void sim_init(struct sim *sim, const struct sim_options *options)
{
    memset(sim, 0, sizeof *sim);
    sim->now = SIM_START_TIME;
    sim->announced_version = 1;
    sim->engine.version = 1;
    sim->engine.requests = options->engine_busy;
    for (uint32_t i = 0; i < SIM_PIECES; i++)
        sim->stage[i] = 1;
    sim->budget_left = options->budget;
    sim_start_loader(sim, options);
    sim_settle_loader(sim);
    sim_run_loader(sim, options);
}

#endif
