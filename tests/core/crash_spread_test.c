/* Who is told of requests that were there when back ends ended, and what that costs a fleet. */
#include "testing.h"

#include "core/crash_spread.h"
#include "core/fleet_members.h"
#include "core/hash.h"

#include <string.h>

#define NOW ((uint64_t)1000000000)
#define SECOND ((uint64_t)1000000)
#define TRANSIT_US 2500
#define ROUNDS_MOST 40
/* Each node tells its receivers once. */
#define MESSAGES_MOST                                                                              \
    ((FLEET_GATEWAYS + CRASH_LOADER_HOMES) *                                                       \
     (CRASH_TOLD_MOST + CRASH_GATEWAY_HOMES + CRASH_LOADER_HOMES))

/* A fleet whose nodes are told of things, one after the other. */
struct fleet {
    struct membership *seen[FLEET_MEMBERS];
    struct crash_table *tables[FLEET_MEMBERS];
    struct random_stream random;
    uint32_t messages;
};

static void open_fleet(struct fleet *fleet, uint64_t seed)
{
    *fleet = (struct fleet){.random = {.seed = seed}};
    for (uint32_t i = 0; i < FLEET_MEMBERS; i++) {
        fleet->seen[i] = fleet_view_of(i, NULL);
        fleet->tables[i] = crash_table_create();
    }
}

static void close_fleet(struct fleet *fleet)
{
    for (uint32_t i = 0; i < FLEET_MEMBERS; i++) {
        membership_destroy(fleet->seen[i]);
        crash_table_destroy(fleet->tables[i]);
    }
}

static struct request_identity identity_of(uint32_t number)
{
    struct request_identity identity = {{0}};
    memcpy(identity.bytes, &number, sizeof number);
    return identity;
}

/* Ages leave out the time that a message takes: what arrives seems later. */
static struct crash_entry as_it_arrives(const struct crash_entry *entry)
{
    struct crash_entry arrived = *entry;
    arrived.cleared_at += arrived.cleared_at ? TRANSIT_US : 0;
    for (uint32_t i = 0; i < arrived.start_count; i++)
        arrived.starts[i].ended_at += TRANSIT_US;
    return arrived;
}

/* A node tells what it did not tell yet. \return whether there was something */
static bool tell(struct fleet *fleet, uint32_t node)
{
    bool told = false;
    for (uint32_t i = 0; i < crash_table_count(fleet->tables[node]); i++) {
        struct crash_receivers receivers;
        struct crash_entry *entry = crash_table_at(fleet->tables[node], i);
        if (!entry->untold)
            continue;
        entry->untold = false;
        told = true;
        crash_spread_receivers(fleet->seen[node], entry, &fleet->random, &receivers);
        struct crash_entry arrived = as_it_arrives(entry);
        for (uint32_t k = 0; k < receivers.count; k++)
            crash_table_merge(fleet->tables[receivers.addresses[k] - 1], &arrived);
        fleet->messages += receivers.count;
    }
    return told;
}

/* \return rounds until nobody has anything to tell */
static uint32_t tell_all(struct fleet *fleet)
{
    uint32_t rounds = 0;
    for (bool told = true; told && rounds < ROUNDS_MOST; rounds++) {
        told = false;
        for (uint32_t node = 0; node < FLEET_MEMBERS; node++)
            told |= tell(fleet, node);
    }
    return rounds;
}

static void see_end(struct fleet *fleet, uint32_t gateway, uint32_t request, uint64_t start)
{
    struct request_identity identity = identity_of(request);
    struct crash_start end = {start, NOW + start * SECOND, (uint32_t)start, 0, 0};
    crash_table_add(fleet->tables[gateway], &identity, &end);
}

static uint32_t count_knowing(const struct fleet *fleet, uint32_t request, uint32_t starts)
{
    uint32_t count = 0;
    struct request_identity identity = identity_of(request);
    for (uint32_t i = 0; i < FLEET_GATEWAYS; i++) {
        const struct crash_entry *entry = crash_table_find(fleet->tables[i], &identity);
        count += entry && entry->start_count >= starts;
    }
    return count;
}

static void ends_seen_by_different_gateways_meet_and_reach_all(void **state)
{
    uint32_t known = 0;
    for (uint64_t seed = 1; seed <= 50; seed++) {
        struct fleet fleet;
        open_fleet(&fleet, seed);
        for (uint32_t start = 1; start <= 3; start++) {
            see_end(&fleet, (uint32_t)(seed * 7 + start * 11) % FLEET_GATEWAYS, 1, start);
            assert_in_range(tell_all(&fleet), 1, 9);
        }
        known += count_knowing(&fleet, 1, 3);
        close_fleet(&fleet);
    }
    assert_in_range(known, 50 * FLEET_GATEWAYS * 985 / 1000, 50 * FLEET_GATEWAYS);
}

static void one_end_goes_to_a_few_gateways_only(void **state)
{
    struct fleet fleet;
    open_fleet(&fleet, 1);
    for (uint32_t request = 0; request < 160; request++)
        see_end(&fleet, request % FLEET_GATEWAYS, request, 1);
    tell_all(&fleet);
    assert_int_equal(fleet.messages, 160 * CRASH_GATEWAY_HOMES);
    close_fleet(&fleet);
}

static void what_all_keep_costs_each_gateway_a_few_messages(void **state)
{
    struct fleet fleet;
    open_fleet(&fleet, 1);
    see_end(&fleet, 3, 1, 1);
    see_end(&fleet, 3, 1, 2);
    tell_all(&fleet);
    assert_in_range(fleet.messages, FLEET_GATEWAYS, MESSAGES_MOST);
    close_fleet(&fleet);
}

/* Every hop made a good end seem later, which was news each time: it went round for ever. */
static void a_good_end_is_news_once(void **state)
{
    struct fleet fleet;
    struct request_identity identity = identity_of(1);
    open_fleet(&fleet, 1);
    see_end(&fleet, 3, 1, 1);
    see_end(&fleet, 3, 1, 2);
    tell_all(&fleet);
    fleet.messages = 0;
    crash_table_clear(fleet.tables[20], &identity, NOW + 5 * SECOND, CRASH_RAN_WHOLE);
    assert_in_range(tell_all(&fleet), 1, 9);
    assert_in_range(fleet.messages, FLEET_GATEWAYS, MESSAGES_MOST);
    assert_int_equal(count_knowing(&fleet, 1, 1), 0);
    close_fleet(&fleet);
}

static void two_loaders_keep_what_all_gateways_keep(void **state)
{
    struct fleet fleet;
    uint32_t loaders = 0;
    open_fleet(&fleet, 1);
    see_end(&fleet, 3, 1, 1);
    see_end(&fleet, 3, 1, 2);
    tell_all(&fleet);
    for (uint32_t i = FLEET_GATEWAYS; i < FLEET_MEMBERS; i++)
        loaders += crash_table_count(fleet.tables[i]) > 0;
    assert_in_range(loaders, CRASH_LOADER_HOMES, CRASH_LOADER_HOMES + 1);
    close_fleet(&fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(ends_seen_by_different_gateways_meet_and_reach_all),
        cmocka_unit_test(one_end_goes_to_a_few_gateways_only),
        cmocka_unit_test(what_all_keep_costs_each_gateway_a_few_messages),
        cmocka_unit_test(a_good_end_is_news_once),
        cmocka_unit_test(two_loaders_keep_what_all_gateways_keep),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
