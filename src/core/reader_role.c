#include "core/reader_role.h"

#include "core/hash.h"

#include <string.h>

/** Gateways of each region that read: one leads, one stands by. */
#define READERS_PER_REGION 2
/** While no reader gets answers, so many more read after each such time. */
#define EXTRA_READERS_PER_STEP 3
#define EXTRA_READERS_STEP_US 700000
/** Who need not read goes on for so long, as views of who lives differ for a moment. */
#define READER_STOP_DELAY_US 2000000
/** After its start a node looks for other gateways for so long: some round trips to a seed. */
#define DISCOVERY_MIN_US 100000
/** Whoever found the first gateway takes so long to hear of most others: two comparisons of tables.
 */
#define DISCOVERY_AFTER_CONTACT_US 75000
/** Seeds may begin 0.3 s later than others, and take some time to answer hundreds; until then
 * nobody finds anybody. */
#define SEED_START_WAIT_US 500000
/** One in so many gateways does not wait for late seeds: somebody should know the state by then.
 * Each of them takes the whole through a link between regions. */
#define EARLY_READER_ONE_IN 16
/** A node that does not know most others yet ranks itself in any case after this time: what others
 *  know may be long dead. */
#define CONVERGENCE_WAIT_US 800000
/** While nothing is known, one more gateway of a region begins to read in each such time: about as
 *  long as the whole takes to come through a link between regions. */
#define COLD_START_STEP_US 400000
#define READER_HASH_KEY 0x72656164657273ULL
/** The leading reader gathers for a tenth of the bound in which leaving must be known. */
#define LEADER_BATCH_DIVISOR 10
#define LEADER_BATCH_MIN_MS 200
#define LEADER_BATCH_MAX_MS 400
/** While the one that stands by gathers, a leader may die unnoticed. What the list drops stays
 * usable for up to 1.4 s, and the news take 0.2 s to reach all: that is left out of the bound. */
#define STANDBY_BATCH_MARGIN_MS 1600
#define STANDBY_BATCH_MIN_MS 200
#define STANDBY_BATCH_MAX_MS 1000

static bool is_candidate(const struct member_state *member, const char *region)
{
    return member->role == MEMBER_GATEWAY && member_is_healthy(member) && !member->draining &&
           strcmp(member->region, region) == 0;
}

/* The gateways of the own region that go before this node by weight. */
struct rank {
    uint32_t ahead;
    uint32_t healthy_ahead; /* those of them that get answers of the store */
};

static struct rank rank_self(struct membership *membership)
{
    const struct member_state *self = membership_self(membership);
    uint64_t own = hash_pair(READER_HASH_KEY, self->address);
    struct rank rank = {0};
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        if (!is_candidate(member, self->region) ||
            hash_pair(READER_HASH_KEY, member->address) <= own)
            continue;
        rank.ahead++;
        rank.healthy_ahead += member->store_sound;
    }
    return rank;
}

static bool region_has_healthy_reader(struct membership *membership)
{
    const struct member_state *self = membership_self(membership);
    if (self->store_sound)
        return true;
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        if (is_candidate(member, self->region) && member->store_sound)
            return true;
    }
    return false;
}

bool reader_role_any_reader_is_healthy(struct membership *membership)
{
    if (region_has_healthy_reader(membership))
        return true;
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        if (member->role == MEMBER_GATEWAY && member_is_healthy(member) && member->store_sound)
            return true;
    }
    return false;
}

static enum reader_duty needed_duty(struct reader_role *role, struct membership *membership,
                                    uint64_t now)
{
    if (region_has_healthy_reader(membership))
        role->unhealthy_since = 0;
    else if (!role->unhealthy_since)
        role->unhealthy_since = now;
    uint64_t readers = READERS_PER_REGION;
    if (role->unhealthy_since)
        readers += EXTRA_READERS_PER_STEP * ((now - role->unhealthy_since) / EXTRA_READERS_STEP_US);
    struct rank rank = rank_self(membership);
    if (rank.ahead >= readers)
        return READER_INACTIVE;
    return rank.healthy_ahead ? READER_STANDBY : READER_LEADER;
}

static bool knows_a_gateway(const struct membership *membership)
{
    for (uint32_t i = 0; i < membership_count(membership); i++)
        if (membership_at(membership, i)->role == MEMBER_GATEWAY)
            return true;
    return false;
}

static bool is_early_reader(struct membership *membership)
{
    return hash_pair(READER_HASH_KEY, membership_self(membership)->address) % EARLY_READER_ONE_IN ==
           0;
}

/*
 * After a loss of power all gateways know nothing. If many of them read the whole at once, they
 * choke the links between regions: so one of a region does, and the others get it from there,
 * compressed. Later ranks step in as that one may fail. A node that knows few others yet ranks
 * itself too high: of 149 gateways 83 read the whole that way, and the last had the state 0.95 s
 * after the start.
 */
static bool may_read_snapshot(struct reader_role *role, struct membership *membership, uint64_t now)
{
    uint64_t elapsed = now - role->first_update_at;
    if (!knows_a_gateway(membership))
        return elapsed >= (is_early_reader(membership) ? DISCOVERY_MIN_US : SEED_START_WAIT_US);
    if (!role->first_contact_at)
        role->first_contact_at = now;
    if (!membership_is_converged(membership) && elapsed < CONVERGENCE_WAIT_US)
        return false;
    uint64_t wait_us =
        DISCOVERY_AFTER_CONTACT_US + rank_self(membership).ahead * COLD_START_STEP_US;
    return elapsed >= DISCOVERY_MIN_US && now >= role->first_contact_at + wait_us;
}

bool reader_role_must_announce(struct reader_role *role, bool healthy)
{
    bool changed = healthy != role->announced_healthy;
    role->announced_healthy = healthy;
    return changed;
}

enum reader_duty reader_role_update(struct reader_role *role, struct membership *membership,
                                    uint64_t now)
{
    if (!role->first_update_at)
        role->first_update_at = now;
    bool knows_nothing = membership_self(membership)->state_revision == 0;
    bool reads = role->duty != READER_INACTIVE;
    if (knows_nothing && !reads && !may_read_snapshot(role, membership, now))
        return READER_INACTIVE;
    enum reader_duty needed = needed_duty(role, membership, now);
    if (needed != READER_INACTIVE) {
        role->unneeded_since = 0;
        role->duty = needed;
    } else if (!role->unneeded_since) {
        role->unneeded_since = now;
    } else if (now >= role->unneeded_since + READER_STOP_DELAY_US) {
        role->duty = READER_INACTIVE;
    }
    return role->duty;
}

static uint32_t limit(uint64_t value, uint32_t least, uint32_t most)
{
    if (value < least)
        return least;
    return value < most ? (uint32_t)value : most;
}

uint32_t reader_role_batch_delay_ms(enum reader_duty duty, uint64_t bound_ms)
{
    if (duty == READER_LEADER)
        return limit(bound_ms / LEADER_BATCH_DIVISOR, LEADER_BATCH_MIN_MS, LEADER_BATCH_MAX_MS);
    uint64_t left = bound_ms > STANDBY_BATCH_MARGIN_MS ? bound_ms - STANDBY_BATCH_MARGIN_MS : 0;
    return limit(left, STANDBY_BATCH_MIN_MS, STANDBY_BATCH_MAX_MS);
}
