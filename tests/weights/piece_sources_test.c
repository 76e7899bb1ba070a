/* Selection of sources while some fail or do not have the pieces yet. */
#include "testing.h"

#include "core/fleet_members.h"
#include "weights/piece_sources.h"

#include <string.h>

#define NOW 100000000ULL
#define SECOND 1000000ULL

static uint32_t link_mbit_by_role(uint32_t index)
{
    return fleet_role(index) == MEMBER_LOADER ? 9 : 200;
}

struct fixture {
    struct cluster cluster;
    struct piece_set *set;
    struct piece_sources *sources;
};

static void open_fixture_of(struct fixture *fixture, uint32_t node, enum piece_role role)
{
    memset(fixture, 0, sizeof *fixture);
    fixture->cluster.membership = fleet_view_of(node, link_mbit_by_role);
    fixture->set = piece_set_create("m", 2);
    fixture->sources = piece_sources_create(&fixture->cluster, fixture->set, role, NULL);
    piece_sources_tick(fixture->sources, 0, NOW);
}

static void open_fixture(struct fixture *fixture)
{
    open_fixture_of(fixture, FLEET_GATEWAYS, PIECE_ROLE_LOADER);
}

static void close_fixture(struct fixture *fixture)
{
    piece_sources_destroy(fixture->sources);
    piece_set_destroy(fixture->set);
    membership_destroy(fixture->cluster.membership);
}

/* Guards against exponential backoff of sources that are not ready: in an origin outage of 6 s
 * loaders gathered by chance at a few relays, one of which then served 40 loaders. */
static void not_ready_source_is_retried_at_constant_interval(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture);
    struct piece_source *first = piece_sources_choose(fixture.sources, 0, NOW);
    assert_non_null(first);
    for (uint64_t now = NOW; now < NOW + 6 * SECOND; now += SECOND / 5) {
        struct piece_source *source = piece_sources_choose(fixture.sources, 0, now);
        assert_ptr_equal(source, first);
        piece_source_not_ready(source, now);
        assert_ptr_not_equal(piece_sources_choose(fixture.sources, 0, now), first);
    }
    close_fixture(&fixture);
}

/* This fleet has two relays per region: each serves half of the pieces, and one serves all while
 * the other is backed off. */
static void pieces_are_spread_over_parallel_relays(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture);
    piece_sources_set_parallel_relays(fixture.sources, 3);
    struct piece_source *even = piece_sources_choose(fixture.sources, 0, NOW);
    struct piece_source *odd = piece_sources_choose(fixture.sources, 1, NOW);
    assert_ptr_not_equal(even, odd);
    for (uint32_t piece = 0; piece < 48; piece++)
        assert_ptr_equal(piece_sources_choose(fixture.sources, piece, NOW), piece % 2 ? odd : even);
    piece_source_back_off(odd, NOW);
    assert_ptr_equal(piece_sources_choose(fixture.sources, 1, NOW), even);
    assert_ptr_equal(piece_sources_choose(fixture.sources, 0, NOW), even);
    close_fixture(&fixture);
}

static void failing_source_backs_off_exponentially(void **state)
{
    struct fixture fixture;
    open_fixture(&fixture);
    struct piece_source *first = piece_sources_choose(fixture.sources, 0, NOW);
    piece_source_back_off(first, NOW);
    assert_ptr_equal(piece_sources_choose(fixture.sources, 0, NOW + SECOND / 5), first);
    for (uint32_t i = 0; i < 4; i++)
        piece_source_back_off(first, NOW);
    assert_ptr_not_equal(piece_sources_choose(fixture.sources, 0, NOW + SECOND), first);
    close_fixture(&fixture);
}

/* Guards against relays that wait for each other: after a power loss the relay that reads the
 * manifest for its region was asked before it had the configuration, which names the origin. It
 * asked a relay that waited for it, and pieces began 0.3 s late in two of three regions. It asks
 * readers of other regions, which do not wait for it. */
static void manifest_reader_waits_for_the_origin_address(void **state)
{
    struct sockaddr_in origin = {.sin_family = AF_INET};
    uint32_t readers = 0;
    for (uint32_t gateway = 0; gateway < FLEET_GATEWAYS; gateway++) {
        struct fixture fixture;
        open_fixture_of(&fixture, gateway, PIECE_ROLE_RELAY);
        uint64_t created = cluster_now();
        struct piece_source *before = piece_sources_choose_manifest(fixture.sources, created);
        struct piece_source *late =
            piece_sources_choose_manifest(fixture.sources, created + 2 * SECOND);
        piece_sources_set_origin(fixture.sources, &origin);
        struct piece_source *after = piece_sources_choose_manifest(fixture.sources, created);
        assert_non_null(late);
        assert_true(late->address != RELAY_ORIGIN);
        assert_non_null(after);
        if (after->address == RELAY_ORIGIN) {
            assert_non_null(before);
            assert_true((before->address - 1) % FLEET_REGIONS != gateway % FLEET_REGIONS);
            readers++;
        } else {
            assert_ptr_equal(before, after);
        }
        close_fixture(&fixture);
    }
    assert_true(readers > 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(not_ready_source_is_retried_at_constant_interval),
        cmocka_unit_test(pieces_are_spread_over_parallel_relays),
        cmocka_unit_test(failing_source_backs_off_exponentially),
        cmocka_unit_test(manifest_reader_waits_for_the_origin_address),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
