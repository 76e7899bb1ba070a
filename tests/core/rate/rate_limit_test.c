/*
 * The bound on the requests that a cold or rate-limited backend gets from all gateways together. A
 * loader ranks the gateways while they join, end and restart; its reports are delayed and lost, and
 * gateways send as much as they may.
 */
#include "testing.h"

#include "core/backend/backend_pool.h"
#include "core/rate/rate_limit.h"
#include "core/rate/rate_ranking.h"
#include "core/membership/membership.h"

#include <stdlib.h>
#include <string.h>

#define SECOND_US 1000000ULL
#define STEP_US 10000ULL
#define STEPS_PER_SECOND 100
#define SECONDS 40
#define STEPS (SECONDS * STEPS_PER_SECOND)
#define SEEDS 30
#define GATEWAYS 48
#define REPORT_STEPS 30
#define MAX_DELAY_STEPS 60
#define MAX_REPORTS 400
/** Steps after which the loader learns that a gateway joined or ended, at most. */
#define MAX_LAG_STEPS 80
#define REPORT_MAX_AGE_US 750000ULL
#define ENGINE "10.0.0.1:80"
#define LOADER_ADDRESS 1
#define FIRST_GATEWAY_ADDRESS 100

static const struct rate_limit limit = {
    .per_s = 17, .over = 1.5, .slack = 5, .window_us = COLD_WINDOW_US};
#define BOUND 30

/* What one play is about. */
struct play {
    struct rate_limit limit;
    bool stated; /* by the backend; else it is cold */
    uint32_t bound;
};

struct gateway {
    struct backend_pool *pool; /* NULL: not running */
    uint32_t starts_at;        /* step */
};

struct report {
    uint32_t gateway;
    uint32_t arrives; /* step */
    struct rate_rank rank;
};

struct world {
    const struct play *play;
    struct random_stream random;
    struct gateway gateways[GATEWAYS];
    bool known[GATEWAYS]; /* to the loader */
    struct membership *membership;
    struct load_targets targets;
    struct rate_ranking ranking;
    struct report reports[MAX_REPORTS];
    uint32_t report_count;
    uint32_t sends[STEPS];
};

static uint32_t window_steps(const struct world *world)
{
    return (uint32_t)(world->play->limit.window_us / STEP_US);
}

static uint64_t time_of(uint32_t step)
{
    return 1000 * SECOND_US + step * STEP_US;
}

/* --- the loader --- */

static void ignore_send(void *context, uint32_t address, const Shuntrun__MemberMessage *message)
{
}

static void start_loader(struct world *world)
{
    static const struct membership_settings settings = {.probe_period_us = 1000 * SECOND_US};
    struct membership_driver driver = {NULL, ignore_send};
    struct member_state self = {
        .address = LOADER_ADDRESS, .incarnation = 1, .role = MEMBER_LOADER, .region = "r"};
    world->membership = membership_create(&settings, &self, 1, &driver);
    load_targets_clear(&world->targets);
    rate_ranking_clear(&world->ranking);
    memset(world->known, 0, sizeof world->known);
}

static void set_known(struct world *world, uint32_t gateway, bool alive, uint32_t step)
{
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__MemberNews news = SHUNTRUN__MEMBER_NEWS__INIT, *pointer = &news;
    news.address = FIRST_GATEWAY_ADDRESS + gateway;
    news.incarnation = 10 + step;
    news.health = alive ? MEMBER_ALIVE : MEMBER_DEAD;
    news.role = MEMBER_GATEWAY;
    news.region = gateway % 3 ? (char *)"r" : (char *)"other";
    message.members = &pointer;
    message.n_members = 1;
    membership_receive(world->membership, 999999, &message, time_of(step));
    world->known[gateway] = alive;
}

static void learn_members(struct world *world, uint32_t step)
{
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        bool alive = world->gateways[i].pool != NULL;
        if (world->known[i] != alive && random_below(&world->random, MAX_LAG_STEPS) == 0)
            set_known(world, i, alive, step);
    }
}

static void send_reports(struct world *world, uint32_t step)
{
    load_targets_refresh(&world->targets, world->membership);
    rate_ranking_refresh(&world->ranking, &world->targets, LOADER_ADDRESS,
                         world->play->limit.window_us, time_of(step));
    for (uint32_t i = 0; i < world->targets.near_count + world->targets.far_count; i++) {
        uint32_t address = world->targets.addresses[i];
        if (random_below(&world->random, 10) == 0 || world->report_count == MAX_REPORTS)
            continue;
        world->reports[world->report_count++] =
            (struct report){address - FIRST_GATEWAY_ADDRESS,
                            step + (uint32_t)random_below(&world->random, MAX_DELAY_STEPS),
                            rate_ranking_find(&world->ranking, address)};
    }
}

/* --- gateways --- */

static void start_gateway(const struct play *play, struct gateway *gateway, uint32_t number)
{
    struct backend_pool_settings settings = {.max_load_age_us = REPORT_MAX_AGE_US,
                                             .max_near_load_age_us = REPORT_MAX_AGE_US};
    struct backend_listing listing = {
        .id = "i", .service = "llm", .slots = 100, .has_weights = true, .version = 1};
    strcpy(listing.address, ENGINE);
    gateway->pool = backend_pool_create(&settings, number);
    struct backend *backend = backend_pool_list(gateway->pool, &listing, 0);
    if (play->stated)
        backend->rate = (struct stated_rate){true, play->limit.per_s, 1};
    else
        backend_record_cold(backend, UINT64_MAX);
}

static void end_gateway(struct gateway *gateway)
{
    backend_pool_destroy(gateway->pool);
    gateway->pool = NULL;
}

static void deliver_reports(struct world *world, uint32_t step)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < world->report_count; i++) {
        struct report *report = &world->reports[i];
        struct backend_pool *pool = world->gateways[report->gateway].pool;
        struct backend_load load = {.version = 1, .rate_rank = report->rank};
        if (report->arrives > step)
            world->reports[kept++] = *report;
        else if (pool)
            backend_pool_report(pool, ENGINE, &load, time_of(step));
    }
    world->report_count = kept;
}

static void send_requests(struct world *world, uint32_t step)
{
    struct backend_criteria criteria = {.service = "llm", .engine = true, .any_load = true};
    if (!world->play->stated)
        criteria.cold.rate = world->play->limit;
    uint64_t now = time_of(step);
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        struct backend_pool *pool = world->gateways[i].pool;
        struct backend *backend;
        while (pool && backend_pool_choose(pool, &criteria, now, &backend) == BACKEND_FOUND) {
            assert_true(backend_may_start_request(pool, backend, &criteria, now));
            backend_record_send(backend, now);
            world->sends[step]++;
        }
    }
}

/* --- the world --- */

/* Gateways start and end in batches of any size. Ended ones may start again. */
static void change_gateways(struct world *world, uint32_t step)
{
    if (random_below(&world->random, 2 * STEPS_PER_SECOND) == 0) {
        uint64_t share = random_below(&world->random, 11);
        bool start = random_below(&world->random, 2);
        for (uint32_t i = 0; i < GATEWAYS; i++) {
            struct gateway *gateway = &world->gateways[i];
            if (random_below(&world->random, 10) >= share)
                continue;
            if (start && !gateway->pool && !gateway->starts_at)
                gateway->starts_at = step + 1;
            if (!start && gateway->pool) {
                end_gateway(gateway);
                gateway->starts_at =
                    random_below(&world->random, 2) ? step + window_steps(world) : 0;
            }
        }
    }
    for (uint32_t i = 0; i < GATEWAYS; i++) {
        if (world->gateways[i].starts_at && world->gateways[i].starts_at <= step) {
            world->gateways[i].starts_at = 0;
            start_gateway(world->play, &world->gateways[i], i);
        }
    }
}

static void check_windows(const struct world *world, uint32_t *most)
{
    for (uint32_t first = 0; first + window_steps(world) <= STEPS; first++) {
        uint32_t count = 0;
        for (uint32_t i = first; i < first + window_steps(world); i++)
            count += world->sends[i];
        assert_true(count <= world->play->bound);
        *most = count > *most ? count : *most;
    }
}

static void run(const struct play *play, uint64_t seed, uint32_t *most)
{
    struct world *world = calloc(1, sizeof *world);
    world->play = play;
    world->random.seed = seed;
    start_loader(world);
    for (uint32_t step = 0; step < STEPS; step++) {
        change_gateways(world, step);
        learn_members(world, step);
        if (step % REPORT_STEPS == 0)
            send_reports(world, step);
        deliver_reports(world, step);
        send_requests(world, step);
    }
    check_windows(world, most);
    for (uint32_t i = 0; i < GATEWAYS; i++)
        if (world->gateways[i].pool)
            end_gateway(&world->gateways[i]);
    membership_destroy(world->membership);
    load_targets_clear(&world->targets);
    rate_ranking_clear(&world->ranking);
    free(world);
}

static void all_gateways_together_keep_the_bound(void **state)
{
    const struct play cold = {.limit = limit, .bound = BOUND};
    uint32_t most = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
        run(&cold, seed, &most);
    assert_true(most >= BOUND / RATE_RANKINGS); /* the allowed rate is used */
}

/* The greatest number of requests that the platform's rules allow in a window. */
static uint32_t stated_bound(double per_s)
{
    return (uint32_t)(STATED_OVER * per_s * STATED_WINDOW_US / 1e6 + STATED_SLACK);
}

static void all_gateways_together_keep_a_stated_limit(void **state)
{
    static const double limits[] = {0, 0.1, 1, 2.2, 5, 25};
    for (size_t i = 0; i < sizeof limits / sizeof limits[0]; i++) {
        const struct play stated = {.limit = rate_limit_stated(limits[i]),
                                    .stated = true,
                                    .bound = stated_bound(limits[i])};
        uint32_t most = 0;
        for (uint64_t seed = 1; seed <= SEEDS / 3; seed++)
            run(&stated, seed, &most);
        assert_true(most >= 1);             /* an answer can show the end of the limit */
        assert_true(most >= 3 * limits[i]); /* three quarters of the accepted rate are used */
    }
}

/* --- single parts --- */

static void quotas_of_one_ranking_add_up_to_a_share_of_the_bound(void **state)
{
    for (uint32_t gateways = 1; gateways < 700; gateways++) {
        uint32_t sum = 0;
        for (uint32_t rank = 1; rank <= gateways; rank++) {
            struct rate_rank place = {rank, gateways};
            sum += rate_quota(&limit, &place);
        }
        assert_int_equal(sum, BOUND / RATE_RANKINGS);
    }
    struct rate_rank none = {0}, beyond = {8, 7};
    assert_int_equal(rate_quota(&limit, &none), 0);
    assert_int_equal(rate_quota(&limit, &beyond), 0);
}

static void two_rankings_keep_a_stated_limit(void **state)
{
    static const double limits[] = {0, 0.1, 0.3, 0.5, 1, 1.25, 2.2, 5, 10, 33.3, 100, 1e6};
    static const uint32_t gateways[] = {1, 2, 7, 39, 327, 700};
    for (size_t i = 0; i < sizeof limits / sizeof limits[0]; i++) {
        struct rate_limit stated = rate_limit_stated(limits[i]);
        for (size_t j = 0; j < sizeof gateways / sizeof gateways[0]; j++) {
            uint32_t sum = 0;
            for (uint32_t rank = 1; rank <= gateways[j]; rank++) {
                struct rate_rank place = {rank, gateways[j]};
                sum += rate_quota(&stated, &place);
            }
            assert_in_range(sum, 1, stated_bound(limits[i]) / RATE_RANKINGS);
        }
    }
}

static void the_window_forgets_nothing_within_a_second(void **state)
{
    struct random_stream random = {3, 0};
    struct send_window window = {0};
    uint32_t sends[2000] = {0};
    for (uint32_t step = 0; step < 2000; step++) {
        uint64_t now = time_of(step);
        uint32_t exact = 0, longer = 0;
        for (uint32_t i = 0; i < 110 && i <= step; i++) {
            exact += i < 100 ? sends[step - i] : 0;
            longer += sends[step - i];
        }
        uint32_t counted = send_window_count(&window, COLD_WINDOW_US, now);
        assert_true(counted >= exact && counted <= longer);
        if (random_below(&random, step / 300 % 2 ? 200 : 3) == 0) {
            send_window_record(&window, now);
            sends[step]++;
        }
    }
}

static struct backend *list_backend(struct backend_pool *pool, uint64_t born)
{
    struct backend_listing listing = {.id = "i", .service = "llm", .slots = 4, .born = born};
    strcpy(listing.address, ENGINE);
    return backend_pool_list(pool, &listing, 0);
}

static void a_start_that_only_a_report_shows_is_cold(void **state)
{
    struct backend_pool_settings settings = {.max_load_age_us = SECOND_US,
                                             .max_near_load_age_us = SECOND_US};
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct cold_limit starting = {{.per_s = 10, .over = 1}, 3 * SECOND_US};
    struct backend_load load = {.born = 5, .version = 1};
    list_backend(pool, 5);
    struct backend *backend = backend_pool_report(pool, ENGINE, &load, 10 * SECOND_US);
    assert_false(backend_is_cold(backend, &starting, 10 * SECOND_US));
    load.born = 9;
    backend = backend_pool_report(pool, ENGINE, &load, 20 * SECOND_US);
    assert_true(backend_is_cold(backend, &starting, 22 * SECOND_US));
    assert_false(backend_is_cold(backend, &starting, 23 * SECOND_US));
    struct cold_limit none = {.start_us = 3 * SECOND_US};
    assert_false(backend_is_cold(backend, &none, 22 * SECOND_US));
    backend_record_cold(backend, 25 * SECOND_US);
    backend_record_cold(backend, 24 * SECOND_US); /* an older statement */
    assert_true(backend_is_cold(backend, &starting, 24 * SECOND_US));
    assert_false(backend_is_cold(backend, &starting, 25 * SECOND_US));
    backend_pool_destroy(pool);
}

static void without_a_recent_rank_a_cold_backend_gets_nothing(void **state)
{
    struct backend_pool_settings settings = {.max_load_age_us = SECOND_US,
                                             .max_near_load_age_us = SECOND_US};
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = {.service = "llm", .cold = {limit, 0}};
    struct backend *backend = list_backend(pool, 0), *chosen;
    backend_record_cold(backend, 100 * SECOND_US);
    assert_int_equal(backend_pool_choose(pool, &criteria, 10 * SECOND_US, &chosen), BACKEND_FULL);
    struct rate_rank first = {1, 40};
    backend_record_rate_rank(backend, &first, 10 * SECOND_US);
    assert_int_equal(backend_pool_choose(pool, &criteria, 10 * SECOND_US, &chosen), BACKEND_FOUND);
    backend_record_send(backend, 10 * SECOND_US);
    assert_int_equal(backend_pool_choose(pool, &criteria, 10 * SECOND_US, &chosen), BACKEND_FULL);
    assert_false(backend_may_start_request(pool, backend, &criteria, 10 * SECOND_US));
    assert_int_equal(backend_pool_choose(pool, &criteria, 12 * SECOND_US, &chosen), BACKEND_FULL);
    backend_record_rate_rank(backend, &first, 12 * SECOND_US);
    assert_int_equal(backend_pool_choose(pool, &criteria, 12 * SECOND_US, &chosen), BACKEND_FOUND);
    assert_int_equal(backend_pool_choose(pool, &criteria, 100 * SECOND_US, &chosen),
                     BACKEND_FOUND); /* warm */
    backend_pool_destroy(pool);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_gateways_together_keep_the_bound),
        cmocka_unit_test(all_gateways_together_keep_a_stated_limit),
        cmocka_unit_test(two_rankings_keep_a_stated_limit),
        cmocka_unit_test(quotas_of_one_ranking_add_up_to_a_share_of_the_bound),
        cmocka_unit_test(the_window_forgets_nothing_within_a_second),
        cmocka_unit_test(a_start_that_only_a_report_shows_is_cold),
        cmocka_unit_test(without_a_recent_rank_a_cold_backend_gets_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
