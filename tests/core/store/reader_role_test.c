/* Which gateways read the platform's store, and at which rate. */
#include "testing.h"

#include "core/store/reader_role.h"

#include <stdio.h>
#include <stdlib.h>

#define GATEWAYS 33
#define REGIONS 3
#define STEP_US 100000ULL

struct fixture {
    struct membership *nodes[GATEWAYS];
    struct reader_role roles[GATEWAYS];
    uint32_t count;
    uint64_t now;
};

static void on_send(void *context, uint32_t address, const Shuntrun__MemberMessage *message)
{
}

static void deliver_state(struct membership *listener, const struct member_state *state,
                          bool healthy, uint64_t now)
{
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__MemberNews news = SHUNTRUN__MEMBER_NEWS__INIT;
    news.address = state->address;
    news.incarnation = state->incarnation;
    news.health = MEMBER_ALIVE;
    news.role = state->role;
    news.region = (char *)state->region;
    news.store_sound = healthy;
    message.sender = &news;
    membership_receive(listener, state->address, &message, now);
}

#define NOBODY UINT32_MAX

/* All readers announce the store health; `failing`, if any, announces that it is bad. */
static void announce_store_health_except(struct fixture *fixture, bool healthy, uint32_t failing)
{
    for (uint32_t i = 0; i < fixture->count; i++) {
        struct member_state *self = membership_self(fixture->nodes[i]);
        self->store_sound = healthy && i != failing && fixture->roles[i].duty != READER_INACTIVE;
        for (uint32_t k = 0; k < fixture->count; k++)
            if (k != i)
                deliver_state(fixture->nodes[k], self, self->store_sound, fixture->now);
    }
}

static void announce_store_health(struct fixture *fixture, bool healthy)
{
    announce_store_health_except(fixture, healthy, NOBODY);
}

static uint32_t count_duty(const struct fixture *fixture, enum reader_duty duty)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < fixture->count; i++)
        count += fixture->roles[i].duty == duty;
    return count;
}

static uint32_t run_for(struct fixture *fixture, uint64_t time_us)
{
    uint32_t readers = 0;
    for (uint64_t end = fixture->now + time_us; fixture->now < end; fixture->now += STEP_US) {
        readers = 0;
        for (uint32_t i = 0; i < fixture->count; i++)
            readers += reader_role_update(&fixture->roles[i], fixture->nodes[i], fixture->now) !=
                       READER_INACTIVE;
    }
    return readers;
}

static void open_fixture(struct fixture *fixture, uint32_t count)
{
    static const struct membership_settings settings = {.probe_period_us = 1000000};
    struct membership_driver driver = {NULL, on_send};
    *fixture = (struct fixture){.count = count, .now = 1000000};
    for (uint32_t i = 0; i < count; i++) {
        struct member_state self = {
            .address = i + 1, .incarnation = 7, .role = MEMBER_GATEWAY, .health = MEMBER_ALIVE};
        snprintf(self.region, sizeof self.region, "region-%u", i % REGIONS);
        fixture->nodes[i] = membership_create(&settings, &self, i, &driver);
    }
    announce_store_health(fixture, false);
}

static void close_fixture(struct fixture *fixture)
{
    for (uint32_t i = 0; i < fixture->count; i++)
        membership_destroy(fixture->nodes[i]);
}

/* The state has reached all gateways. */
static void set_state_known(struct fixture *fixture)
{
    for (uint32_t i = 0; i < fixture->count; i++)
        membership_self(fixture->nodes[i])->state_revision = 5;
}

static void one_gateway_per_region_reads_snapshot_first(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture, GATEWAYS);
    assert_int_equal(run_for(&fixture, 100000), 0);
    assert_int_equal(run_for(&fixture, 300000), REGIONS);
    assert_int_equal(run_for(&fixture, 200000), 2 * REGIONS); /* no reader got an answer yet */
    close_fixture(&fixture);
}

static void two_gateways_per_region_read_once_state_is_known(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture, GATEWAYS);
    run_for(&fixture, 300000);
    set_state_known(&fixture);
    assert_int_equal(run_for(&fixture, 100000), 2 * REGIONS);
    announce_store_health(&fixture, true);
    assert_int_equal(run_for(&fixture, 5000000), 2 * REGIONS);
    assert_int_equal(count_duty(&fixture, READER_LEADER), REGIONS);
    assert_int_equal(count_duty(&fixture, READER_STANDBY), REGIONS);
    close_fixture(&fixture);
}

/* The standby must not go on with its longer delay once the leader gets no answers. */
static void standby_takes_over_when_leader_gets_no_answers(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture, GATEWAYS);
    run_for(&fixture, 300000);
    set_state_known(&fixture);
    run_for(&fixture, 300000);
    announce_store_health(&fixture, true);
    run_for(&fixture, 3000000);
    uint32_t leader = 0;
    while (fixture.roles[leader].duty != READER_LEADER || leader % REGIONS != 0)
        leader++;
    announce_store_health_except(&fixture, true, leader);
    run_for(&fixture, 100000);
    uint32_t leaders = 0;
    for (uint32_t i = 0; i < fixture.count; i += REGIONS)
        leaders += i != leader && fixture.roles[i].duty == READER_LEADER;
    assert_int_equal(leaders, 1);
    close_fixture(&fixture);
}

static void batch_delay_follows_drain_bound(void **state)
{
    assert_int_equal(reader_role_batch_delay_ms(READER_LEADER, 2000), 200);
    assert_int_equal(reader_role_batch_delay_ms(READER_LEADER, 4000), 400);
    assert_int_equal(reader_role_batch_delay_ms(READER_STANDBY, 2000), 400);
    assert_int_equal(reader_role_batch_delay_ms(READER_STANDBY, 4000), 1000);
    assert_int_equal(reader_role_batch_delay_ms(READER_STANDBY, 700), 200);
}

/* \return time until a gateway without known peers reads, us */
static uint64_t time_until_reading_without_peers(uint32_t address)
{
    static const struct membership_settings settings = {.probe_period_us = 1000000};
    struct membership_driver driver = {NULL, on_send};
    struct member_state self = {
        .address = address, .incarnation = 7, .role = MEMBER_GATEWAY, .health = MEMBER_ALIVE};
    struct membership *membership = membership_create(&settings, &self, 1, &driver);
    struct reader_role role = {0};
    uint64_t time = 0;
    while (reader_role_update(&role, membership, 1000000 + time) == READER_INACTIVE)
        time += STEP_US / 10;
    membership_destroy(membership);
    return time;
}

static uint32_t count_early_readers(void)
{
    uint32_t count = 0;
    for (uint32_t address = 1; address <= GATEWAYS; address++)
        count += time_until_reading_without_peers(address) == 100000;
    return count;
}

/* Others report hundreds of members and it knows a few: its own rank would be wrong. */
static void unconverged_gateway_waits_before_ranking_itself(void **state)
{
    struct fixture fixture;
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    open_fixture(&fixture, GATEWAYS);
    message.known = 353;
    for (uint32_t i = 0; i < fixture.count; i++)
        membership_receive(fixture.nodes[i], (i + 1) % fixture.count + 1, &message, fixture.now);
    uint32_t early = count_early_readers();
    assert_in_range(early, 1, GATEWAYS / 8);
    assert_int_equal(run_for(&fixture, 100000), 0);
    assert_int_equal(run_for(&fixture, 600000), early);
    assert_true(run_for(&fixture, 300000) > early); /* the reported members may be dead */
    close_fixture(&fixture);
}

static void gateway_without_peers_waits_for_seeds_unless_early_reader(void **state)
{
    uint32_t early = 0;
    for (uint32_t address = 1; address <= 400; address++) {
        uint64_t time = time_until_reading_without_peers(address);
        assert_true(time == 100000 || time == 500000);
        early += time == 100000;
    }
    assert_in_range(early, 12, 40); /* one in sixteen */
}

/* A gateway that starts among others gets the state from them, even before it knows most members.
 */
static void early_reader_does_not_read_what_others_have(void **state)
{
    struct fixture fixture;
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__MemberNews news = SHUNTRUN__MEMBER_NEWS__INIT;
    open_fixture(&fixture, GATEWAYS);
    news.address = 77;
    news.incarnation = 7;
    news.health = MEMBER_ALIVE;
    news.role = MEMBER_GATEWAY;
    news.region = (char *)"region-0";
    news.state_revision = 5;
    message.sender = &news;
    message.known = 353;
    for (uint32_t i = 0; i < fixture.count; i++)
        membership_receive(fixture.nodes[i], news.address, &message, fixture.now);
    assert_int_equal(run_for(&fixture, 700000), 0);
    close_fixture(&fixture);
}

/* State that a node receives from others is as current as theirs. */
static void store_counts_as_healthy_while_any_gateway_gets_answers(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture, GATEWAYS);
    set_state_known(&fixture);
    run_for(&fixture, 300000);
    announce_store_health(&fixture, true);
    membership_self(fixture.nodes[0])->store_sound = false; /* the store rejects its calls */
    assert_true(reader_role_any_reader_is_healthy(fixture.nodes[0]));
    announce_store_health(&fixture, false);
    assert_false(reader_role_any_reader_is_healthy(fixture.nodes[0]));
    close_fixture(&fixture);
}

static void all_gateways_of_small_fleet_read(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture, 6);
    assert_int_equal(run_for(&fixture, 5000000), 6);
    close_fixture(&fixture);
}

static void extra_gateways_read_while_no_reader_gets_answers(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture, GATEWAYS);
    set_state_known(&fixture);
    run_for(&fixture, 300000);
    announce_store_health(&fixture, true);
    run_for(&fixture, 4000000);
    announce_store_health(&fixture, false);
    assert_int_equal(run_for(&fixture, 500000), 2 * REGIONS);
    assert_int_equal(run_for(&fixture, 500000), 5 * REGIONS);
    announce_store_health(&fixture, true);
    assert_int_equal(run_for(&fixture, 3000000), 2 * REGIONS);
    close_fixture(&fixture);
}

/* The own state is written several times between two updates; the change must not get lost. */
static void change_of_store_health_is_announced_once(void **state)
{
    struct reader_role role = {0};
    assert_false(reader_role_must_announce(&role, false));
    assert_true(reader_role_must_announce(&role, true));
    assert_false(reader_role_must_announce(&role, true));
    assert_true(reader_role_must_announce(&role, false));
    assert_false(reader_role_must_announce(&role, false));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(one_gateway_per_region_reads_snapshot_first),
        cmocka_unit_test(two_gateways_per_region_read_once_state_is_known),
        cmocka_unit_test(standby_takes_over_when_leader_gets_no_answers),
        cmocka_unit_test(batch_delay_follows_drain_bound),
        cmocka_unit_test(unconverged_gateway_waits_before_ranking_itself),
        cmocka_unit_test(gateway_without_peers_waits_for_seeds_unless_early_reader),
        cmocka_unit_test(early_reader_does_not_read_what_others_have),
        cmocka_unit_test(store_counts_as_healthy_while_any_gateway_gets_answers),
        cmocka_unit_test(all_gateways_of_small_fleet_read),
        cmocka_unit_test(extra_gateways_read_while_no_reader_gets_answers),
        cmocka_unit_test(change_of_store_health_is_announced_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
