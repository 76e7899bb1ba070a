/* Which nodes receive crash entries, and how many messages that costs a fleet. */
#include "testing.h"

#include "core/crash/crash_spread.h"
#include "core/fleet_members.h"
#include "core/hash.h"

#include <string.h>

#define NOW ((uint64_t)1000000000)
#define SECOND_US ((uint64_t)1000000)
#define TRANSIT_US 2500
#define MAX_ROUNDS 40
/* Each node sends an entry to its receivers once. */
#define MAX_MESSAGES                                                                               \
    ((FLEET_GATEWAYS + CRASH_LOADER_REPLICAS) *                                                    \
     (CRASH_GOSSIP_FANOUT + CRASH_GATEWAY_REPLICAS + CRASH_LOADER_REPLICAS))

/* A fleet whose nodes exchange their entries, one node after the other. */
struct fleet {
    struct membership *memberships[FLEET_MEMBERS];
    struct crash_table *tables[FLEET_MEMBERS];
    struct random_stream random;
    uint32_t messages;
};

static void create_fleet(struct fleet *fleet, uint64_t seed)
{
    *fleet = (struct fleet){.random = {.seed = seed}};
    for (uint32_t i = 0; i < FLEET_MEMBERS; i++) {
        fleet->memberships[i] = fleet_view_of(i, NULL);
        fleet->tables[i] = crash_table_create();
    }
}

static void destroy_fleet(struct fleet *fleet)
{
    for (uint32_t i = 0; i < FLEET_MEMBERS; i++) {
        membership_destroy(fleet->memberships[i]);
        crash_table_destroy(fleet->tables[i]);
    }
}

static struct request_identity identity_of(uint32_t number)
{
    struct request_identity identity = {{0}};
    memcpy(identity.bytes, &number, sizeof number);
    return identity;
}

/* Times are sent as ages, without the time that a message takes: they seem later on arrival. */
static struct crash_entry with_transit_delay(const struct crash_entry *entry)
{
    struct crash_entry arrived = *entry;
    arrived.cleared_at += arrived.cleared_at ? TRANSIT_US : 0;
    for (uint32_t i = 0; i < arrived.crash_count; i++)
        arrived.crashes[i].ended_at += TRANSIT_US;
    return arrived;
}

/* Sends the entries of a node that changed. \return whether there were any */
static bool gossip_from(struct fleet *fleet, uint32_t node)
{
    bool sent = false;
    for (uint32_t i = 0; i < crash_table_count(fleet->tables[node]); i++) {
        struct crash_receivers receivers;
        struct crash_entry *entry = crash_table_at(fleet->tables[node], i);
        if (!entry->is_dirty)
            continue;
        entry->is_dirty = false;
        sent = true;
        crash_spread_receivers(fleet->memberships[node], entry, &fleet->random, &receivers);
        struct crash_entry arrived = with_transit_delay(entry);
        for (uint32_t k = 0; k < receivers.count; k++)
            crash_table_merge(fleet->tables[receivers.addresses[k] - 1], &arrived);
        fleet->messages += receivers.count;
    }
    return sent;
}

/* \return rounds until no node has anything to send */
static uint32_t gossip_until_quiet(struct fleet *fleet)
{
    uint32_t rounds = 0;
    for (bool sent = true; sent && rounds < MAX_ROUNDS; rounds++) {
        sent = false;
        for (uint32_t node = 0; node < FLEET_MEMBERS; node++)
            sent |= gossip_from(fleet, node);
    }
    return rounds;
}

static void record_crash(struct fleet *fleet, uint32_t gateway, uint32_t request,
                         uint64_t incarnation)
{
    struct request_identity identity = identity_of(request);
    struct crash_event crash = {incarnation, NOW + incarnation * SECOND_US, (uint32_t)incarnation,
                                0, 0};
    crash_table_add(fleet->tables[gateway], &identity, &crash);
}

static uint32_t count_gateways_with(const struct fleet *fleet, uint32_t request, uint32_t crashes)
{
    uint32_t count = 0;
    struct request_identity identity = identity_of(request);
    for (uint32_t i = 0; i < FLEET_GATEWAYS; i++) {
        const struct crash_entry *entry = crash_table_find(fleet->tables[i], &identity);
        count += entry && entry->crash_count >= crashes;
    }
    return count;
}

static void crashes_seen_by_different_gateways_reach_all_gateways(void **state)
{
    uint32_t known = 0;
    for (uint64_t seed = 1; seed <= 50; seed++) {
        struct fleet fleet;
        create_fleet(&fleet, seed);
        for (uint32_t incarnation = 1; incarnation <= 3; incarnation++) {
            record_crash(&fleet, (uint32_t)(seed * 7 + incarnation * 11) % FLEET_GATEWAYS, 1,
                         incarnation);
            assert_in_range(gossip_until_quiet(&fleet), 1, 9);
        }
        known += count_gateways_with(&fleet, 1, 3);
        destroy_fleet(&fleet);
    }
    assert_in_range(known, 50 * FLEET_GATEWAYS * 985 / 1000, 50 * FLEET_GATEWAYS);
}

static void single_crash_is_sent_to_replicas_only(void **state)
{
    struct fleet fleet;
    create_fleet(&fleet, 1);
    for (uint32_t request = 0; request < 160; request++)
        record_crash(&fleet, request % FLEET_GATEWAYS, request, 1);
    gossip_until_quiet(&fleet);
    assert_int_equal(fleet.messages, 160 * (CRASH_GATEWAY_REPLICAS + CRASH_LOADER_REPLICAS));
    destroy_fleet(&fleet);
}

/* Guards against a flood: whoever heard that a single crash was cleared told all gateways, though
 * only the replicas had heard of the crash. */
static void clearing_a_single_crash_is_sent_to_replicas_only(void **state)
{
    struct fleet fleet;
    struct request_identity identity = identity_of(1);
    create_fleet(&fleet, 1);
    record_crash(&fleet, 3, 1, 1);
    gossip_until_quiet(&fleet);
    fleet.messages = 0;
    crash_table_record_success(fleet.tables[3], &identity, NOW + 5 * SECOND_US, CRASH_FULL_RUN);
    gossip_until_quiet(&fleet);
    assert_int_equal(fleet.messages, CRASH_GATEWAY_REPLICAS + CRASH_LOADER_REPLICAS);
    for (uint32_t i = 0; i < FLEET_MEMBERS; i++) {
        const struct crash_entry *entry = crash_table_find(fleet.tables[i], &identity);
        assert_true(!entry || !entry->crash_count);
    }
    destroy_fleet(&fleet);
}

static void shared_entry_costs_each_gateway_a_few_messages(void **state)
{
    struct fleet fleet;
    create_fleet(&fleet, 1);
    record_crash(&fleet, 3, 1, 1);
    record_crash(&fleet, 3, 1, 2);
    gossip_until_quiet(&fleet);
    assert_in_range(fleet.messages, FLEET_GATEWAYS, MAX_MESSAGES);
    destroy_fleet(&fleet);
}

/* Guards against endless gossip: every hop made the time of a successful run seem later, and each
 * node took that for a change and sent it again. */
static void successful_run_is_gossiped_once(void **state)
{
    struct fleet fleet;
    struct request_identity identity = identity_of(1);
    create_fleet(&fleet, 1);
    record_crash(&fleet, 3, 1, 1);
    record_crash(&fleet, 3, 1, 2);
    gossip_until_quiet(&fleet);
    fleet.messages = 0;
    crash_table_record_success(fleet.tables[20], &identity, NOW + 5 * SECOND_US, CRASH_FULL_RUN);
    assert_in_range(gossip_until_quiet(&fleet), 1, 9);
    assert_in_range(fleet.messages, FLEET_GATEWAYS, MAX_MESSAGES);
    assert_int_equal(count_gateways_with(&fleet, 1, 1), 0);
    destroy_fleet(&fleet);
}

/* Guards against endless gossip: many backends end at once under requests that share a part, each
 * gateway sees some of them, and an entry does not hold all. */
static void a_power_loss_under_a_shared_part_is_told_in_few_messages(void **state)
{
    struct fleet fleet;
    struct prompt_part part = prompt_part_of("llm", 7, 0);
    create_fleet(&fleet, 1);
    for (uint32_t gateway = 0; gateway < FLEET_GATEWAYS; gateway++)
        for (uint32_t i = 0; i < 3; i++) {
            uint32_t incarnation = 1 + gateway * 3 + i;
            struct crash_event crash = {incarnation, NOW + (gateway * 2 + i) * 1000, incarnation, 0,
                                        NOW};
            crash_table_add_part(fleet.tables[gateway], &part, &crash);
        }
    assert_in_range(gossip_until_quiet(&fleet), 1, 9);
    assert_true(fleet.messages <=
                FLEET_GATEWAYS * (CRASH_GATEWAY_REPLICAS + CRASH_LOADER_REPLICAS));
    for (uint32_t i = 0; i < FLEET_GATEWAYS; i++) {
        const struct crash_entry *entry = crash_table_find(fleet.tables[i], &part.identity);
        assert_in_range(entry->crash_count, 1, CRASH_PART_SIMULTANEOUS_KEPT);
    }
    destroy_fleet(&fleet);
}

static void shared_entries_are_replicated_to_loaders(void **state)
{
    struct fleet fleet;
    uint32_t loaders = 0;
    create_fleet(&fleet, 1);
    record_crash(&fleet, 3, 1, 1);
    record_crash(&fleet, 3, 1, 2);
    gossip_until_quiet(&fleet);
    for (uint32_t i = FLEET_GATEWAYS; i < FLEET_MEMBERS; i++)
        loaders += crash_table_count(fleet.tables[i]) > 0;
    assert_in_range(loaders, CRASH_LOADER_REPLICAS, CRASH_LOADER_REPLICAS + 1);
    destroy_fleet(&fleet);
}

/* Guards against the loss of all gateways between two crashes of a request: the second one counted
 * as its first. */
static void a_single_crash_is_replicated_to_loaders(void **state)
{
    struct fleet fleet;
    uint32_t loaders = 0;
    create_fleet(&fleet, 1);
    record_crash(&fleet, 3, 1, 1);
    gossip_until_quiet(&fleet);
    for (uint32_t i = FLEET_GATEWAYS; i < FLEET_MEMBERS; i++)
        loaders += crash_table_count(fleet.tables[i]) > 0;
    assert_int_equal(loaders, CRASH_LOADER_REPLICAS);
    destroy_fleet(&fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(crashes_seen_by_different_gateways_reach_all_gateways),
        cmocka_unit_test(single_crash_is_sent_to_replicas_only),
        cmocka_unit_test(a_single_crash_is_replicated_to_loaders),
        cmocka_unit_test(clearing_a_single_crash_is_sent_to_replicas_only),
        cmocka_unit_test(shared_entry_costs_each_gateway_a_few_messages),
        cmocka_unit_test(successful_run_is_gossiped_once),
        cmocka_unit_test(a_power_loss_under_a_shared_part_is_told_in_few_messages),
        cmocka_unit_test(shared_entries_are_replicated_to_loaders),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
