/*
 * An engine that leaves after an outage of the platform's store gets no new work past the drain
 * bound.
 *
 * Guards against a request that reached an engine 2,062 ms after the store had acknowledged that it
 * leaves; the bound is 2,000 ms. An outage swallowed the watches of all gateways, which noticed it
 * only when these timed out, up to 3 s later. Until their next answer the gateways took the store
 * for failing, although it worked again. An engine that left in that time was taken for an entry
 * that the outage had lost, and stayed usable for 2.5 s: the outage ended at 15.32 s, the engine
 * was removed at 18.95 s (event=gone, usable_ms=2500, doubtful=1, store_sound=0) and got a request
 * at 21.08 s (event=sent-unlisted, unlisted_ms=2128). The decision went by the store health that a
 * gateway saw when it learned of the removal, not by whether the removal can have happened in the
 * outage.
 *
 * Simulates a store, its gateways and one engine on a clock of milliseconds.
 */
#include "testing.h"

#include "core/backend/backend_pool.h"
#include "core/store/store_watch.h"

#include <stdio.h>
#include <string.h>

#define MS_US 1000ULL
#define GATEWAYS 7
#define TICK_MS 100
#define BATCH_DELAY_MS 200
/** One-way delay between a gateway and the store. */
#define DELAY_MS 2
/** Drain bound: afterwards an engine that leaves gets no new work. */
#define DRAIN_MS 2000
/** Time after an outage in which nodes reconnect to the store. */
#define CONTACT_MS 3000
/** Time in which engines that the store lost in an outage list themselves again. */
#define RELIST_MS 2000

static const struct backend_pool_settings pool_settings = {
    .queue_per_engine = 3, .tokens_per_engine = 4500, .unlisted_grace_us = 1400 * MS_US};

/** Events of one session, in ms. */
struct script {
    uint64_t change_at;    /**< answers all watches, so that all start again at the same time */
    uint64_t silent_from;  /**< calls that start, or would be answered, from here */
    uint64_t silent_until; /**< to here get no answer */
    uint64_t drop_at;      /**< the engine's entry is removed */
};

struct gateway {
    struct store_watch watch;
    struct backend_pool *pool;
    struct backend *engine;
    struct store_call call;
    bool calling;
    bool lost;           /**< the current call will get no answer */
    uint64_t begun;      /**< start of the current call */
    uint64_t next_call;  /**< start of the next one, while there is no current call */
    uint64_t revision;   /**< of the store in the last answer */
    uint64_t learned_at; /**< time at which the removal was learned, 0: not yet */
};

struct session {
    struct script script;
    struct gateway gateways[GATEWAYS];
    uint64_t now;
};

static uint64_t revision_at(const struct script *script, uint64_t time)
{
    return 1 + (time >= script->change_at) + (time >= script->drop_at);
}

static bool is_silent(const struct script *script, uint64_t time)
{
    return time >= script->silent_from && time < script->silent_until;
}

static void open_session(struct session *session, const struct script *script)
{
    *session = (struct session){.script = *script, .now = 1};
    struct backend_listing listing = {
        .id = "i-1", .address = "10.0.0.1:80", .service = "llm", .slots = 16};
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        struct gateway *gateway = &session->gateways[i];
        gateway->pool = backend_pool_create(&pool_settings, i);
        gateway->engine = backend_retain(backend_pool_list(gateway->pool, &listing, 0));
        gateway->revision = 1;
        store_watch_init(&gateway->watch, 1, MS_US);
        store_watch_answered(&gateway->watch, 1, MS_US);
    }
}

static void close_session(struct session *session)
{
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        backend_release(session->gateways[i].engine);
        backend_pool_destroy(session->gateways[i].pool);
    }
}

static void take_answer(struct session *session, struct gateway *gateway)
{
    uint64_t revision = revision_at(&session->script, session->now);
    bool news = revision > gateway->revision;
    bool dropped = session->now >= session->script.drop_at && !gateway->learned_at;
    gateway->calling = false;
    gateway->revision = revision;
    if (dropped) {
        gateway->learned_at = session->now;
        struct state_removal loss =
            store_watch_removal(&gateway->watch, false, session->now * MS_US);
        struct backend_unlisting drop = {loss.learned, loss.from_outage, loss.undated};
        backend_pool_unlist(gateway->pool, "i-1", &drop, session->now * MS_US);
    }
    store_watch_answered(&gateway->watch, revision, session->now * MS_US);
    gateway->next_call = session->now + (news ? BATCH_DELAY_MS : 0);
}

static void step_call(struct session *session, struct gateway *gateway)
{
    uint64_t now = session->now;
    if (!gateway->calling) {
        if (now < gateway->next_call)
            return;
        gateway->calling = true;
        gateway->begun = now;
        gateway->lost = false;
        gateway->call = store_watch_next_call(&gateway->watch);
        return;
    }
    uint64_t waited = now - gateway->begun;
    bool ready = revision_at(&session->script, now - DELAY_MS) > gateway->revision ||
                 waited >= gateway->call.wait_ms;
    gateway->lost |= is_silent(&session->script, ready ? now : gateway->begun);
    if (ready && waited >= 2 * DELAY_MS && !gateway->lost) {
        take_answer(session, gateway);
    } else if (waited >= gateway->call.timeout_ms) {
        gateway->calling = false;
        gateway->next_call = now + store_watch_failed(&gateway->watch, STORE_TIMED_OUT);
    }
}

static bool any_gateway_is_healthy(const struct session *session)
{
    for (uint32_t i = 0; i < GATEWAYS; i++)
        if (store_watch_is_healthy(&session->gateways[i].watch))
            return true;
    return false;
}

static void step(struct session *session)
{
    session->now++;
    for (uint32_t i = 0; i < GATEWAYS; i++)
        step_call(session, &session->gateways[i]);
    bool healthy = any_gateway_is_healthy(session);
    for (uint32_t i = 0; i < GATEWAYS; i++)
        if (session->now % TICK_MS == i)
            backend_pool_expire(session->gateways[i].pool, healthy, session->now * MS_US);
}

static void run_until(struct session *session, uint64_t end)
{
    while (session->now < end)
        step(session);
}

static uint32_t count_gateways_that_may_send(const struct session *session)
{
    static const struct backend_criteria wish = {.service = "llm"};
    uint32_t count = 0;
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        const struct gateway *gateway = &session->gateways[i];
        count +=
            backend_may_start_request(gateway->pool, gateway->engine, &wish, session->now * MS_US);
    }
    return count;
}

/* Outages of many lengths that begin before and after all gateways start a watch at 1.2 s, each of
 * which swallows a call. */
#define FOR_EACH_OUTAGE(script)                                                                    \
    for (uint64_t before = 0; before <= 400; before += 50)                                         \
        for (uint64_t length = before < 200 ? 250 : 2300; length <= 4600; length += 150)           \
            for (struct script script = {.change_at = 1000,                                        \
                                        .silent_from = 1000 + before,                              \
                                        .silent_until = 1000 + before + length};                   \
                 script.change_at; script.change_at = 0)

static void engine_leaving_after_outage_gets_no_work_past_bound(void **state)
{
    FOR_EACH_OUTAGE(script)
    {
        for (uint64_t after = 0; after <= 1500; after += 100) {
            struct session session;
            script.drop_at = script.silent_until + CONTACT_MS + after;
            open_session(&session, &script);
            run_until(&session, script.drop_at + DRAIN_MS);
            assert_int_equal(count_gateways_that_may_send(&session), 0);
            close_session(&session);
        }
    }
}

/* An engine that an outage of the store loses still runs, and lists itself again. */
static void engine_dropped_by_outage_stays_usable_until_relisted(void **state)
{
    FOR_EACH_OUTAGE(script)
    {
        struct session session;
        script.drop_at = script.silent_until - 50;
        open_session(&session, &script);
        run_until(&session, script.silent_until + RELIST_MS);
        assert_int_equal(count_gateways_that_may_send(&session), GATEWAYS);
        run_until(&session, script.silent_until + 4 * RELIST_MS);
        assert_int_equal(count_gateways_that_may_send(&session), 0);
        close_session(&session);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(engine_leaving_after_outage_gets_no_work_past_bound),
        cmocka_unit_test(engine_dropped_by_outage_stays_usable_until_relisted),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
