/* Who is told of a change by the operator: everybody soon, and nobody by all. */
#include "testing.h"

#include "core/fleet_members.h"
#include "core/news_targets.h"

#define REVISION 50

static void each_loader_is_told_by_two_gateways_of_its_region(void **state)
{
    uint32_t told[FLEET_MEMBERS] = {0};
    for (uint32_t gateway = 0; gateway < FLEET_GATEWAYS; gateway++) {
        uint32_t addresses[NEWS_TARGETS_MOST];
        struct random_stream random = {.seed = gateway};
        struct membership *membership = fleet_seen_by(gateway, NULL);
        uint32_t count = news_targets(membership, REVISION, &random, addresses);
        for (uint32_t i = 0; i < count; i++) {
            told[addresses[i] - 1]++;
            if (addresses[i] > FLEET_GATEWAYS)
                assert_int_equal((addresses[i] - 1) % FLEET_REGIONS, gateway % FLEET_REGIONS);
        }
        membership_destroy(membership);
    }
    for (uint32_t i = FLEET_GATEWAYS; i < FLEET_MEMBERS; i++)
        assert_int_equal(told[i], 2);
    for (uint32_t i = 0; i < FLEET_GATEWAYS; i++)
        assert_true(told[i] < 15);
}

static void a_loader_tells_nobody(void **state)
{
    uint32_t addresses[NEWS_TARGETS_MOST];
    struct random_stream random = {.seed = 1};
    struct membership *membership = fleet_seen_by(FLEET_GATEWAYS, NULL);
    assert_int_equal(news_targets(membership, REVISION, &random, addresses), 0);
    membership_destroy(membership);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_loader_is_told_by_two_gateways_of_its_region),
        cmocka_unit_test(a_loader_tells_nobody),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
