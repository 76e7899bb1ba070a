/* Relay selection, and the sources of pieces and of the manifest for relays and loaders. */
#include "testing.h"

#include "core/fleet_members.h"
#include "core/weights/relay_plan.h"

#include <string.h>

#define ROLLOUT 42
#define PIECES 64

static uint32_t two_fast_gateways_per_region(uint32_t index)
{
    if (fleet_role(index) == MEMBER_LOADER)
        return 7;
    return index < 2 * FLEET_REGIONS ? 200 : 40;
}

static uint32_t only_slow_gateways(uint32_t index)
{
    return fleet_role(index) == MEMBER_LOADER ? 8 : 40;
}

static void refresh_plan_of(uint32_t index, fleet_link_rate *link, struct relay_plan *plan)
{
    struct membership *membership = fleet_view_of(index, link);
    relay_plan_refresh(plan, membership, ROLLOUT);
    membership_destroy(membership);
}

static bool has_relay(const struct relay_plan *plan, uint32_t address)
{
    for (uint32_t i = 0; i < plan->count; i++)
        if (plan->relays[i].address == address)
            return true;
    return false;
}

static void all_nodes_compute_the_same_relays(void **state)
{
    struct relay_plan first, other;
    refresh_plan_of(0, two_fast_gateways_per_region, &first);
    for (uint32_t index = 1; index < FLEET_MEMBERS; index += 7) {
        refresh_plan_of(index, two_fast_gateways_per_region, &other);
        assert_int_equal(other.count, first.count);
        for (uint32_t i = 0; i < first.count; i++)
            assert_true(has_relay(&other, first.relays[i].address));
    }
}

static void gateways_with_the_fastest_links_become_relays(void **state)
{
    struct relay_plan plan;
    refresh_plan_of(FLEET_GATEWAYS, two_fast_gateways_per_region, &plan);
    /* 26 loaders of a region have 182 Mbit/s in all; 150% of that is less than two links of 200. */
    for (uint32_t address = 1; address <= 2 * FLEET_REGIONS; address++)
        assert_true(has_relay(&plan, address));
}

static void slow_gateway_links_need_more_relays(void **state)
{
    struct relay_plan plan;
    refresh_plan_of(FLEET_GATEWAYS, only_slow_gateways, &plan);
    /* 25 or 26 loaders of a region have 200 Mbit/s in all; 150% of that is eight links of 40. */
    assert_in_range(plan.count, 8 * FLEET_REGIONS, 9 * FLEET_REGIONS);
}

static void each_region_has_two_relays_when_link_rates_are_unknown(void **state)
{
    struct relay_plan plan;
    refresh_plan_of(FLEET_GATEWAYS, NULL, &plan);
    assert_int_equal(plan.count, 2 * FLEET_REGIONS);
}

/* Counts over all relays how many have the origin, or a relay of another region, as the first
 * source of a piece. */
static void count_sources(const struct relay_plan *all, uint32_t piece, uint32_t *from_origin,
                          uint32_t *crossings)
{
    for (uint32_t i = 0; i < all->count; i++) {
        uint32_t self = all->relays[i].address;
        struct relay_plan plan;
        struct relay_sources sources;
        refresh_plan_of(self - 1, two_fast_gateways_per_region, &plan);
        relay_plan_relay_sources(&plan, piece, &sources);
        uint32_t best = sources.addresses[0];
        *from_origin += best == RELAY_ORIGIN;
        *crossings += best != RELAY_ORIGIN && best % FLEET_REGIONS != self % FLEET_REGIONS;
        assert_int_not_equal(best, self);
    }
}

static void each_piece_is_read_once_and_sent_once_to_each_other_region(void **state)
{
    struct relay_plan plan;
    refresh_plan_of(0, two_fast_gateways_per_region, &plan);
    for (uint32_t piece = 0; piece < PIECES; piece += 9) {
        uint32_t from_origin = 0, crossings = 0;
        count_sources(&plan, piece, &from_origin, &crossings);
        assert_int_equal(from_origin, 1);
        assert_int_equal(crossings, FLEET_REGIONS - 1);
    }
}

/* The origin's link is slow: its responses to many relays would queue behind each other. */
static void one_relay_of_each_region_reads_from_the_origin(void **state)
{
    struct relay_plan plan;
    bool reads[FLEET_MEMBERS] = {false};
    refresh_plan_of(0, two_fast_gateways_per_region, &plan);
    for (uint32_t i = 0; i < plan.count; i++) {
        struct relay_plan own;
        refresh_plan_of(plan.relays[i].address - 1, two_fast_gateways_per_region, &own);
        for (uint32_t piece = 0; piece < PIECES; piece++) {
            struct relay_sources sources;
            relay_plan_relay_sources(&own, piece, &sources);
            reads[plan.relays[i].address - 1] |= sources.addresses[0] == RELAY_ORIGIN;
        }
    }
    uint32_t by_region[FLEET_REGIONS] = {0};
    for (uint32_t i = 0; i < FLEET_MEMBERS; i++)
        by_region[i % FLEET_REGIONS] += reads[i];
    for (uint32_t region = 0; region < FLEET_REGIONS; region++)
        assert_int_equal(by_region[region], 1);
}

static bool reads_origin(const struct relay_plan *plan, uint32_t address)
{
    for (uint32_t i = 0; i < plan->count; i++)
        if (plan->relays[i].address == address)
            return plan->relays[i].reads_origin;
    return false;
}

/* From other regions the manifest is requested only by a reader, and only from their readers: it
 * must not wait for the origin's link if another region has the manifest already. */
static void one_relay_of_each_region_requests_the_manifest_from_the_origin(void **state)
{
    struct relay_plan all;
    uint32_t from_origin = 0;
    refresh_plan_of(0, two_fast_gateways_per_region, &all);
    for (uint32_t i = 0; i < all.count; i++) {
        struct relay_plan plan;
        struct relay_sources sources;
        refresh_plan_of(all.relays[i].address - 1, two_fast_gateways_per_region, &plan);
        relay_plan_manifest_sources(&plan, &sources);
        from_origin += sources.addresses[0] == RELAY_ORIGIN;
        bool names_origin = false;
        bool is_reader = sources.addresses[0] == RELAY_ORIGIN;
        uint32_t other_regions = 0;
        for (uint32_t k = 0; k < sources.count; k++) {
            bool same_region =
                sources.addresses[k] % FLEET_REGIONS == all.relays[i].address % FLEET_REGIONS;
            names_origin |= sources.addresses[k] == RELAY_ORIGIN;
            if (sources.addresses[k] == RELAY_ORIGIN || same_region)
                continue;
            other_regions++;
            assert_true(is_reader && reads_origin(&plan, sources.addresses[k]));
        }
        assert_int_equal(other_regions, is_reader ? FLEET_REGIONS - 1 : 0);
        assert_true(names_origin);
    }
    assert_int_equal(from_origin, FLEET_REGIONS);
}

static void a_relay_falls_back_to_the_origin_then_to_loaders(void **state)
{
    struct relay_plan plan;
    struct relay_sources sources;
    refresh_plan_of(0, two_fast_gateways_per_region, &plan);
    relay_plan_relay_sources(&plan, 5, &sources);
    assert_true(sources.count >= 4);
    uint32_t origin = 0;
    while (sources.addresses[origin] != RELAY_ORIGIN)
        origin++;
    for (uint32_t i = origin + 1; i < sources.count; i++)
        assert_true(sources.addresses[i] > FLEET_GATEWAYS ||
                    has_relay(&plan, sources.addresses[i]));
    assert_true(sources.addresses[sources.count - 1] > FLEET_GATEWAYS);
}

static void a_loader_prefers_relays_of_its_own_region(void **state)
{
    struct relay_plan plan;
    struct relay_sources sources;
    refresh_plan_of(FLEET_GATEWAYS, two_fast_gateways_per_region, &plan);
    relay_plan_loader_sources(&plan, false, &sources);
    assert_int_equal(sources.count, 2 * FLEET_REGIONS);
    for (uint32_t i = 0; i < 2; i++)
        assert_int_equal((sources.addresses[i] - 1) % FLEET_REGIONS,
                         FLEET_GATEWAYS % FLEET_REGIONS);
    for (uint32_t i = 0; i < sources.count; i++)
        assert_int_not_equal(sources.addresses[i], RELAY_ORIGIN);
    relay_plan_loader_sources(&plan, true, &sources);
    assert_int_equal(sources.addresses[sources.count - 1], RELAY_ORIGIN);
}

static uint32_t one_fast_gateway_per_region(uint32_t index)
{
    if (fleet_role(index) == MEMBER_LOADER)
        return 12;
    return index < FLEET_REGIONS ? 400 : 40;
}

/* About 26 loaders of a region have 312 Mbit/s in all; 150% of that is one link of 400 and two of
 * 40. */
static void loaders_are_spread_over_relays_in_proportion_to_link_rates(void **state)
{
    uint32_t at_fast = 0, loaders = 0;
    for (uint32_t index = FLEET_GATEWAYS; index < FLEET_MEMBERS; index++) {
        struct relay_plan plan;
        struct relay_sources sources;
        refresh_plan_of(index, one_fast_gateway_per_region, &plan);
        relay_plan_loader_sources(&plan, false, &sources);
        at_fast += sources.addresses[0] <= FLEET_REGIONS;
        loaders++;
    }
    /* The expected share is 400 of 480; it would be one of three if link rates were ignored. */
    assert_in_range(at_fast, loaders * 2 / 3, loaders * 9 / 10);
}

static void a_dead_gateway_is_not_a_relay(void **state)
{
    struct relay_plan plan;
    struct membership *membership = fleet_view_of(FLEET_GATEWAYS, two_fast_gateways_per_region);
    fleet_update_member(membership, 0, two_fast_gateways_per_region, MEMBER_DEAD);
    relay_plan_refresh(&plan, membership, ROLLOUT);
    assert_false(has_relay(&plan, 1));
    assert_true(has_relay(&plan, 2));
    membership_destroy(membership);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_nodes_compute_the_same_relays),
        cmocka_unit_test(gateways_with_the_fastest_links_become_relays),
        cmocka_unit_test(slow_gateway_links_need_more_relays),
        cmocka_unit_test(each_region_has_two_relays_when_link_rates_are_unknown),
        cmocka_unit_test(each_piece_is_read_once_and_sent_once_to_each_other_region),
        cmocka_unit_test(one_relay_of_each_region_reads_from_the_origin),
        cmocka_unit_test(one_relay_of_each_region_requests_the_manifest_from_the_origin),
        cmocka_unit_test(a_relay_falls_back_to_the_origin_then_to_loaders),
        cmocka_unit_test(a_loader_prefers_relays_of_its_own_region),
        cmocka_unit_test(loaders_are_spread_over_relays_in_proportion_to_link_rates),
        cmocka_unit_test(a_dead_gateway_is_not_a_relay),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
