/* Recipients of load reports: all gateways of a small fleet, a bounded number in a large one. */
#include "testing.h"

#include "core/membership/load_targets.h"

#include <stdio.h>
#include <stdlib.h>

/** A fleet of gateways followed by loaders, distributed over the regions in turn; the address of a
 *  member is its index + 1. */
struct fleet {
    uint32_t gateways;
    uint32_t loaders;
    uint32_t regions;
};

static void ignore_send(void *context, uint32_t address, const Shuntrun__MemberMessage *message)
{
}

static void learn_member(struct membership *membership, const struct fleet *fleet, uint32_t index,
                         enum member_health health)
{
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__MemberNews news = SHUNTRUN__MEMBER_NEWS__INIT, *pointer = &news;
    char region[MEMBER_NAME_SIZE];
    snprintf(region, sizeof region, "region-%u", index % fleet->regions);
    news.address = index + 1;
    news.incarnation = 7;
    news.health = health;
    news.role = index < fleet->gateways ? MEMBER_GATEWAY : MEMBER_LOADER;
    news.region = region;
    message.members = &pointer;
    message.n_members = 1;
    membership_receive(membership, 999999, &message, 1000);
}

static struct membership *membership_of(const struct fleet *fleet, uint32_t self_index)
{
    static const struct membership_settings settings = {.probe_period_us = 1000000};
    struct membership_driver driver = {NULL, ignore_send};
    struct member_state self = {.address = self_index + 1, .incarnation = 7, .role = MEMBER_LOADER};
    snprintf(self.region, sizeof self.region, "region-%u", self_index % fleet->regions);
    struct membership *membership = membership_create(&settings, &self, self_index, &driver);
    for (uint32_t i = 0; i < fleet->gateways + fleet->loaders; i++)
        if (i != self_index)
            learn_member(membership, fleet, i, MEMBER_ALIVE);
    return membership;
}

/* Number of loaders whose reports a gateway receives. */
struct received {
    uint32_t near;
    uint32_t far;
};

/* \param max_receivers greatest number of gateways that one loader reports to */
static struct received *collect_received(const struct fleet *fleet, uint32_t *max_receivers)
{
    struct received *received = calloc(fleet->gateways, sizeof *received);
    *max_receivers = 0;
    for (uint32_t i = 0; i < fleet->loaders; i++) {
        struct membership *membership = membership_of(fleet, fleet->gateways + i);
        struct load_targets targets = {0};
        load_targets_refresh(&targets, membership);
        for (uint32_t k = 0; k < targets.near_count; k++)
            received[targets.addresses[k] - 1].near++;
        for (uint32_t k = 0; k < targets.far_count; k++)
            received[targets.addresses[targets.near_count + k] - 1].far++;
        if (targets.near_count + targets.far_count > *max_receivers)
            *max_receivers = targets.near_count + targets.far_count;
        load_targets_clear(&targets);
        membership_destroy(membership);
    }
    return received;
}

static void in_a_small_fleet_gateways_receive_all_loads(void **state)
{
    const struct fleet fleet = {6, 12, 3};
    uint32_t max_receivers;
    struct received *received = collect_received(&fleet, &max_receivers);
    for (uint32_t i = 0; i < fleet.gateways; i++) {
        assert_int_equal(received[i].near, 4);
        assert_int_equal(received[i].far, 8);
    }
    assert_int_equal(max_receivers, 6);
    free(received);
}

static void assert_bounded(const struct fleet *fleet, uint32_t receivers_bound)
{
    uint32_t max_receivers, near_sum = 0, far_sum = 0;
    struct received *received = collect_received(fleet, &max_receivers);
    for (uint32_t i = 0; i < fleet->gateways; i++) {
        assert_in_range(received[i].near, 12, 56); /* 32 on average, selected by hash */
        assert_in_range(received[i].far, 1, 28);   /* 10 on average */
        near_sum += received[i].near;
        far_sum += received[i].far;
    }
    assert_in_range(near_sum / fleet->gateways, 24, 35);
    assert_in_range(far_sum / fleet->gateways, 8, 12);
    assert_true(max_receivers <= receivers_bound);
    free(received);
}

static void the_loads_per_gateway_do_not_grow_with_the_fleet(void **state)
{
    assert_bounded(&(struct fleet){149, 204, 5}, 70);
    assert_bounded(&(struct fleet){100, 500, 5}, 60);
}

/* 450 gateways and 3,800 loaders in six regions. A sample of the loaders is checked, as each needs
 * a membership view of its own. */
static void a_loader_of_a_large_fleet_reports_to_few_gateways(void **state)
{
    const struct fleet fleet = {450, 3800, 6};
    uint32_t receivers = 0, loaders = 0;
    for (uint32_t i = 0; i < fleet.loaders; i += 199, loaders++) {
        struct membership *membership = membership_of(&fleet, fleet.gateways + i);
        struct load_targets targets = {0};
        load_targets_refresh(&targets, membership);
        assert_true(targets.near_count + targets.far_count < 20);
        receivers += targets.near_count + targets.far_count;
        load_targets_clear(&targets);
        membership_destroy(membership);
    }
    assert_in_range(receivers / loaders, 3, 8); /* 75 x 32 / 633 near, 375 x 10 / 3,167 far */
}

static void dead_gateways_receive_no_load(void **state)
{
    const struct fleet fleet = {6, 12, 3};
    struct membership *membership = membership_of(&fleet, 6);
    struct load_targets targets = {0};
    load_targets_refresh(&targets, membership);
    assert_int_equal(targets.near_count, 2);
    learn_member(membership, &fleet, 0, MEMBER_DEAD); /* in region 0 like the loader */
    load_targets_refresh(&targets, membership);
    assert_int_equal(targets.near_count, 1);
    assert_int_equal(targets.addresses[0], 4);
    assert_int_equal(targets.far_count, 4);
    load_targets_clear(&targets);
    membership_destroy(membership);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(in_a_small_fleet_gateways_receive_all_loads),
        cmocka_unit_test(the_loads_per_gateway_do_not_grow_with_the_fleet),
        cmocka_unit_test(a_loader_of_a_large_fleet_reports_to_few_gateways),
        cmocka_unit_test(dead_gateways_receive_no_load),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
