/* Who is told of a change by the operator: everybody soon, and nobody by all. */
#include "testing.h"

#include "core/news_targets.h"

#include <stdio.h>
#include <stdlib.h>

#define GATEWAYS 34
#define LOADERS 76
#define REGIONS 3
#define REVISION 50

static void on_send(void *context, uint32_t address, const Shuntrun__MemberMessage *message)
{
}

static void fill_news(Shuntrun__MemberNews *news, uint32_t index, char *region, size_t size)
{
    shuntrun__member_news__init(news);
    news->address = index + 1;
    news->incarnation = 7;
    news->health = MEMBER_ALIVE;
    news->role = index < GATEWAYS ? MEMBER_GATEWAY : MEMBER_LOADER;
    snprintf(region, size, "region-%u", index % REGIONS);
    news->region = region;
}

static struct membership *create(uint32_t self_index)
{
    static const struct membership_settings settings = {.period_us = 1000000};
    struct membership_driver driver = {NULL, on_send};
    struct member_state self = {.address = self_index + 1,
                                .incarnation = 7,
                                .role = self_index < GATEWAYS ? MEMBER_GATEWAY : MEMBER_LOADER};
    snprintf(self.region, sizeof self.region, "region-%u", self_index % REGIONS);
    struct membership *membership = membership_create(&settings, &self, self_index, &driver);
    for (uint32_t i = 0; i < GATEWAYS + LOADERS; i++) {
        Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
        Shuntrun__MemberNews news, *pointer = &news;
        char region[32];
        if (i == self_index)
            continue;
        fill_news(&news, i, region, sizeof region);
        message.members = &pointer;
        message.n_members = 1;
        membership_read(membership, 9999, &message, 1000);
    }
    return membership;
}

static void each_loader_is_told_by_two_gateways_of_its_region(void **state)
{
    uint32_t told[GATEWAYS + LOADERS] = {0};
    for (uint32_t gateway = 0; gateway < GATEWAYS; gateway++) {
        uint32_t addresses[NEWS_TARGETS_MOST];
        struct random_stream random = {.seed = gateway};
        struct membership *membership = create(gateway);
        uint32_t count = news_targets(membership, REVISION, &random, addresses);
        for (uint32_t i = 0; i < count; i++) {
            told[addresses[i] - 1]++;
            if (addresses[i] > GATEWAYS)
                assert_int_equal((addresses[i] - 1) % REGIONS, gateway % REGIONS);
        }
        membership_destroy(membership);
    }
    for (uint32_t i = GATEWAYS; i < GATEWAYS + LOADERS; i++)
        assert_int_equal(told[i], 2);
    for (uint32_t i = 0; i < GATEWAYS; i++)
        assert_true(told[i] < 15);
}

static void a_loader_tells_nobody(void **state)
{
    uint32_t addresses[NEWS_TARGETS_MOST];
    struct random_stream random = {.seed = 1};
    struct membership *membership = create(GATEWAYS);
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
