#include "testing.h"

#include "core/hash.h"
#include "core/placement.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct fleet make_fleet(uint32_t count)
{
    struct fleet fleet = {calloc(count, sizeof *fleet.machines), count};
    for (uint32_t i = 0; i < count; i++) {
        struct machine *machine = &fleet.machines[i];
        snprintf(machine->name, sizeof machine->name, "machine-%u", i);
        snprintf(machine->zone, sizeof machine->zone, "zone-%u", i % 4);
        snprintf(machine->region, sizeof machine->region, "region-%u", i % 2);
        machine->accelerators = 8;
        machine->id = hash_name(machine->name);
    }
    fleet_sort(&fleet);
    return fleet;
}

static struct model_config model = {.name = "m", .version = "v", .replicas = 20, .accelerators = 8};
static const struct fleet_config config = {.models = &model, .model_count = 1};

static uint32_t count_common(const struct fleet *left, const struct model_placement *a,
                             const struct fleet *right, const struct model_placement *b)
{
    uint32_t common = 0;
    for (uint32_t i = 0; i < a->target_count; i++) {
        int64_t index = fleet_find(right, left->machines[a->targets[i]].id);
        common += index >= 0 && placement_has(b, (uint32_t)index);
    }
    return common;
}

static void only_replicas_of_removed_machines_move(void **state)
{
    struct findings findings = {0};
    struct fleet all = make_fleet(100);
    struct fleet fewer = make_fleet(95);
    struct placement before = placement_compute(&config, &all, NULL, &findings);
    struct placement after = placement_compute(&config, &fewer, NULL, &findings);
    assert_int_equal(before.models[0].target_count, 20);
    assert_int_equal(after.models[0].target_count, 20);
    uint32_t gone = 0;
    for (uint32_t i = 0; i < 20; i++)
        gone += fleet_find(&fewer, all.machines[before.models[0].targets[i]].id) < 0;
    /* Only replicas of removed machines are placed again. */
    assert_int_equal(count_common(&all, &before.models[0], &fewer, &after.models[0]), 20 - gone);
    placement_clear(&before);
    placement_clear(&after);
    fleet_clear(&all);
    fleet_clear(&fewer);
}

static void spread_limits_replicas_per_zone(void **state)
{
    struct findings findings = {0};
    struct fleet fleet = make_fleet(40);
    struct policy *policy = policy_create("p",
                                          "function spread() return 0.25 end function place(m, h) "
                                          "return h.zone == 'zone-0' and 100 or 1 end",
                                          &findings);
    struct placement placement = placement_compute(&config, &fleet, policy, &findings);
    uint32_t zones[4] = {0};
    for (uint32_t i = 0; i < placement.models[0].target_count; i++)
        zones[fleet.machines[placement.models[0].targets[i]].zone[5] - '0']++;
    for (int zone = 0; zone < 4; zone++)
        assert_int_equal(zones[zone], 5);
    assert_int_equal(findings.count, 0);
    placement_clear(&placement);
    policy_destroy(policy);
    fleet_clear(&fleet);
}

static void each_machine_has_a_reason(void **state)
{
    struct findings findings = {0};
    struct fleet fleet = make_fleet(8);
    fleet.machines[0].leaving = true;
    fleet.machines[1].accelerators = 4;
    fleet.machines[2].role = MACHINE_GATEWAY;
    struct placement placement = placement_compute(&config, &fleet, NULL, &findings);
    const enum placement_reason *reasons = placement.models[0].reasons;
    assert_int_equal(reasons[0], PLACEMENT_LEAVING);
    assert_int_equal(reasons[1], PLACEMENT_NO_FREE_ACCELERATORS);
    assert_int_equal(reasons[2], PLACEMENT_NO_ENGINE);
    assert_int_equal(reasons[3], PLACEMENT_CHOSEN);
    placement_clear(&placement);
    fleet_clear(&fleet);
}

static void tenant_precedence_follows_the_policy(void **state)
{
    struct findings findings = {0};
    struct tenant_config tenants[] = {{"billing", 1, 0}, {"gas", 1, 0}, {"water", 1, 0}};
    struct fleet_config ordered = {.tenants = tenants, .tenant_count = 3};
    struct policy *policy = policy_create(
        "p", "function tenant_order(t) return t.name == 'gas' and 1 or 2 end", &findings);
    placement_order_tenants(policy, &ordered, &findings);
    assert_int_equal(tenants[0].precedence, 0);
    assert_int_equal(tenants[1].precedence, 2);
    assert_int_equal(tenants[2].precedence, 0);
    policy_destroy(policy);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(only_replicas_of_removed_machines_move),
        cmocka_unit_test(spread_limits_replicas_per_zone),
        cmocka_unit_test(each_machine_has_a_reason),
        cmocka_unit_test(tenant_precedence_follows_the_policy),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
