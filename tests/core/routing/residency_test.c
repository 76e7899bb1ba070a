/* Requests with home regions: no choice, retry or resumption ends outside of them. */
#include "testing.h"

#include "core/backend/backend_pool.h"
#include "core/random.h"
#include "core/routing/residency.h"

#include <stdio.h>
#include <string.h>

#define BACKENDS 24
#define ROUNDS 4000
#define SECOND_US 1000000ULL

static const char zone_list[] = "a1=a,a2=a,b1=b,c1=c";
/* "d1" is not in the list: its region is not known. */
static const char *const zones[] = {"a1", "a2", "b1", "c1", "d1"};
static char *const regions[] = {"a", "b", "c", "nowhere"};
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* The regions by name, independent of bits. */
static const char *region_of_zone(const char *zone)
{
    return zone[0] == 'd' ? "" : zone[0] == 'a' ? "a" : zone[0] == 'b' ? "b" : "c";
}

static bool is_in(const struct home_regions *homes, const char *region)
{
    for (uint32_t i = 0; i < homes->count; i++)
        if (strcmp(homes->names[i], region) == 0)
            return true;
    return homes->count == 0;
}

static struct home_regions draw_homes(struct random_stream *random)
{
    struct home_regions homes = {0};
    uint64_t drawn = random_below(random, 3) ? random_below(random, 1 << COUNT(regions)) : 0;
    for (uint32_t i = 0; i < COUNT(regions); i++)
        if (drawn & (1U << i))
            home_regions_add(&homes, regions[i]);
    return homes;
}

static void list_backends(struct backend_pool *pool, struct random_stream *random)
{
    for (int i = 0; i < BACKENDS; i++) {
        struct backend_listing listing = {.slots = 4, .has_weights = true, .version = 1};
        snprintf(listing.id, sizeof listing.id, "i-%d", i);
        snprintf(listing.address, sizeof listing.address, "10.0.0.%d:80", i + 1);
        strcpy(listing.service, "llm");
        strcpy(listing.zone, zones[random_below(random, COUNT(zones))]);
        backend_pool_list(pool, &listing, (uint16_t)random_below(random, 3));
    }
}

/* One request with all its attempts, each of which fails in some way. */
static void play_request(struct backend_pool *pool, struct zone_map *map,
                         struct random_stream *random, uint64_t now)
{
    struct home_regions route = draw_homes(random), tenant = draw_homes(random);
    struct backend_criteria criteria = {.service = "llm", .engine = random_below(random, 2) == 0};
    residency_restrict(&criteria.residency, map, &route);
    residency_restrict(&criteria.residency, map, &tenant);
    criteria.rank_key = random_below(random, 4) ? 0 : random_next(random);
    while (criteria.excluded_count < BACKEND_MAX_EXCLUDED) {
        struct backend *chosen;
        criteria.any_load = criteria.excluded_count > 1;
        if (backend_pool_choose(pool, &criteria, now, &chosen) != BACKEND_FOUND)
            break;
        const char *region = region_of_zone(chosen->listing.zone);
        assert_true(is_in(&route, region) && is_in(&tenant, region));
        assert_true(backend_may_start_request(pool, chosen, &criteria, now));
        backend_request_started(chosen, 1, now);
        backend_request_answered(chosen, 1, 0, now);
        backend_request_ended(pool, chosen, (enum backend_result)random_below(random, 6), 0, now);
        criteria.excluded[criteria.excluded_count++] = chosen;
    }
    home_regions_clear(&route);
    home_regions_clear(&tenant);
}

static void no_attempt_leaves_the_homes_of_route_and_tenant(void **state)
{
    struct zone_map *map = zone_map_create(zone_list);
    for (uint64_t seed = 1; seed <= 10; seed++) {
        struct random_stream random = {seed, 0};
        struct backend_pool_settings settings = {.max_load_age_us = SECOND_US, .zones = map};
        struct backend_pool *pool = backend_pool_create(&settings, seed);
        list_backends(pool, &random);
        for (int round = 0; round < ROUNDS; round++)
            play_request(pool, map, &random, 10 * SECOND_US + (uint64_t)round * 10000);
        backend_pool_destroy(pool);
    }
    zone_map_destroy(map);
}

static void lists_without_a_region_in_common_allow_nothing(void **state)
{
    struct zone_map *map = zone_map_create(zone_list);
    struct home_regions a = {0}, b = {0}, unknown = {0}, none = {0};
    home_regions_add(&a, "a");
    home_regions_add(&b, "b");
    home_regions_add(&unknown, "nowhere");
    struct residency residency = {0};
    residency_restrict(&residency, map, &none);
    assert_true(residency_allows(&residency, 0));
    residency_restrict(&residency, map, &a);
    assert_true(residency_allows(&residency, zone_map_zone_bit(map, "a2")));
    assert_false(residency_allows(&residency, zone_map_zone_bit(map, "b1")));
    assert_false(residency_allows(&residency, zone_map_zone_bit(map, "d1")));
    residency_restrict(&residency, map, &b);
    assert_true(residency_is_empty(&residency));
    struct residency nowhere = {0};
    residency_restrict(&nowhere, map, &unknown);
    assert_true(residency_is_empty(&nowhere));
    home_regions_clear(&a);
    home_regions_clear(&b);
    home_regions_clear(&unknown);
    zone_map_destroy(map);
}

static void a_service_has_a_home_if_one_of_its_backends_is_there(void **state)
{
    struct zone_map *map = zone_map_create(zone_list);
    struct backend_pool_settings settings = {.zones = map};
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_listing listing = {.id = "i-1", .service = "llm", .zone = "b1"};
    struct residency in_a = {true, zone_map_region_bit(map, "a")};
    struct residency in_b = {true, zone_map_region_bit(map, "b")};
    strcpy(listing.address, "10.0.0.1:80");
    backend_pool_list(pool, &listing, 0);
    assert_false(backend_pool_has_home(pool, "llm", &in_a));
    assert_true(backend_pool_has_home(pool, "llm", &in_b));
    assert_false(backend_pool_has_home(pool, "other", &in_b));
    backend_pool_destroy(pool);
    zone_map_destroy(map);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(no_attempt_leaves_the_homes_of_route_and_tenant),
        cmocka_unit_test(lists_without_a_region_in_common_allow_nothing),
        cmocka_unit_test(a_service_has_a_home_if_one_of_its_backends_is_there),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
