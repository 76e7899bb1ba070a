/* Evacuated zones: their backends get no request, however it is chosen, until the zone is restored.
 */
#include "testing.h"

#include "core/backend/backend_pool.h"

#include <stdio.h>
#include <string.h>

#define SECOND_US 1000000ULL
#define NOW (10 * SECOND_US)

static const struct backend_pool_settings settings = {.max_load_age_us = SECOND_US};

static struct backend *list(struct backend_pool *pool, int number, const char *zone)
{
    struct backend_listing listing = {.slots = 4, .has_weights = true, .version = 1};
    snprintf(listing.id, sizeof listing.id, "i-%d", number);
    snprintf(listing.address, sizeof listing.address, "10.0.0.%d:80", number);
    strcpy(listing.service, "llm");
    strcpy(listing.zone, zone);
    return backend_pool_list(pool, &listing, 0);
}

/* \return whether no way of choosing, and no check before a send, lets a request go to `backend`,
 * the only one */
static bool is_avoided(struct backend_pool *pool, struct backend *backend)
{
    struct backend_criteria criteria = {.service = "llm", .engine = true};
    struct backend *chosen;
    for (int way = 0; way < 8; way++) {
        criteria.any_load = way & 1;
        criteria.rank_key = way & 2 ? 77 : 0;
        criteria.engine = way & 4;
        if (backend_pool_choose(pool, &criteria, NOW, &chosen) != BACKEND_NONE ||
            backend_pool_has_room(pool, &criteria, NOW) ||
            backend_pool_may_serve(pool, &criteria, NOW) ||
            backend_may_start_request(pool, backend, &criteria, NOW))
            return false;
    }
    return true;
}

static void an_evacuated_zone_gets_nothing_until_it_is_restored(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend *backend = list(pool, 1, "zone-a");
    assert_false(is_avoided(pool, backend));
    assert_int_equal(backend_pool_set_evacuated(pool, "zone-b", true), 0);
    assert_false(is_avoided(pool, backend));
    assert_int_equal(backend_pool_set_evacuated(pool, "zone-a", true), 1);
    assert_true(is_avoided(pool, backend));
    assert_int_equal(backend_pool_evacuated_zones(pool), 2);
    assert_int_equal(backend_pool_set_evacuated(pool, "zone-a", false), 1);
    assert_false(is_avoided(pool, backend));
    backend_pool_destroy(pool);
}

static void a_backend_that_is_listed_later_is_evacuated_as_well(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    backend_pool_set_evacuated(pool, "zone-a", true);
    struct backend *backend = list(pool, 1, "zone-a");
    assert_true(is_avoided(pool, backend));
    backend = list(pool, 1, "zone-a"); /* its next entry */
    assert_true(is_avoided(pool, backend));
    backend_pool_destroy(pool);
}

/* A report shows a later incarnation before the list does. */
static void a_restarted_backend_stays_evacuated(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_listing listing = {.id = "i-1", .service = "llm", .zone = "zone-a", .born = 5};
    strcpy(listing.address, "10.0.0.1:80");
    backend_pool_list(pool, &listing, 0);
    backend_pool_set_evacuated(pool, "zone-a", true);
    struct backend_load load = {.born = 9, .version = 1};
    struct backend *restarted = backend_pool_report(pool, "10.0.0.1:80", &load, NOW);
    assert_int_equal(restarted->listing.born, 9);
    assert_true(is_avoided(pool, restarted));
    backend_pool_destroy(pool);
}

static void other_zones_take_the_requests(void **state)
{
    struct backend_pool *pool = backend_pool_create(&settings, 1);
    struct backend_criteria criteria = {.service = "llm"};
    struct backend *chosen;
    list(pool, 1, "zone-a");
    struct backend *other = list(pool, 2, "zone-b");
    backend_pool_set_evacuated(pool, "zone-a", true);
    for (int i = 0; i < 50; i++) {
        assert_int_equal(backend_pool_choose(pool, &criteria, NOW, &chosen), BACKEND_FOUND);
        assert_ptr_equal(chosen, other);
    }
    backend_pool_destroy(pool);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(an_evacuated_zone_gets_nothing_until_it_is_restored),
        cmocka_unit_test(a_backend_that_is_listed_later_is_evacuated_as_well),
        cmocka_unit_test(a_restarted_backend_stays_evacuated),
        cmocka_unit_test(other_zones_take_the_requests),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
