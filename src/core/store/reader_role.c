#include "core/store/reader_role.h"

#include "core/hash.h"

#include <string.h>

/** Gateways of each region that read the store: a leader and a standby. */
#define READERS_PER_REGION 2
/** While no reader of a region gets answers, this many more gateways read after each step. */
#define EXTRA_READERS_PER_STEP 3
#define EXTRA_READERS_STEP_US 700000
/** A reader no longer needed stops after this time: member tables differ for a moment. */
#define READER_STOP_DELAY_US 2000000
/** A starting node looks for gateways at least this long: some round trips to a seed. */
#define DISCOVERY_MIN_US 100000
/** Time from the first known gateway to most of them: two syncs of the member table. */
#define DISCOVERY_AFTER_CONTACT_US 75000
/** Seeds may start 0.3 s later than other nodes and take some time to answer hundreds of them;
 * until then no node finds another one. */
#define SEED_START_WAIT_US 500000
/** One in this many gateways waits neither for late seeds nor for a complete member table, so that
 * some node knows the state when the others find each other. Each of them loads the full snapshot
 * over a link between regions. */
#define EARLY_READER_ONE_IN 16
/** A node whose member table has not converged ranks itself anyway after this time: the members
 * that others reported may be dead. */
#define CONVERGENCE_WAIT_US 800000
/** While no state is known, one more gateway of a region starts to read in each step: about the
 * time in which the full snapshot passes a link between regions. */
#define COLD_START_STEP_US 400000
#define READER_HASH_KEY 0x72656164657273ULL
/** The leader's batch delay is a tenth of the drain bound. */
#define LEADER_BATCH_DIVISOR 10
#define LEADER_BATCH_MIN_MS 200
#define LEADER_BATCH_MAX_MS 400
/** If the leader fails unnoticed, a removal is known only after the standby's batch delay. Back
 * ends that are no longer listed stay usable for up to 1.4 s, and the change takes 0.2 s to reach
 * all nodes: both are subtracted from the drain bound. */
#define STANDBY_BATCH_MARGIN_MS 1600
#define STANDBY_BATCH_MIN_MS 200
#define STANDBY_BATCH_MAX_MS 1000

static bool is_candidate(const struct member_state *member, const char *region)
{
    return member->role == MEMBER_GATEWAY && member_is_healthy(member) && !member->draining &&
           strcmp(member->region, region) == 0;
}

/* The gateways of the own region that precede this node by rendezvous weight. */
struct rank {
    uint32_t ahead;
    uint32_t healthy_ahead; /* those of them that get answers from the store */
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

/* Whether another node can send the state. */
static bool knows_state_holder(const struct membership *membership)
{
    for (uint32_t i = 0; i < membership_count(membership); i++)
        if (membership_at(membership, i)->state_revision)
            return true;
    return false;
}

static bool is_early_reader(struct membership *membership)
{
    return hash_pair(READER_HASH_KEY, membership_self(membership)->address) % EARLY_READER_ONE_IN ==
           0;
}

/*
 * After a power failure no gateway has any state. If many of them read the full snapshot at once,
 * they saturate the links between regions. So one gateway of a region reads it, and the others get
 * it from there, compressed; gateways of lower rank follow in case that one fails. A node whose
 * member table has not converged would rank itself too high, and waits.
 */
static bool may_read_snapshot(struct reader_role *role, struct membership *membership, uint64_t now)
{
    uint64_t elapsed = now - role->first_update_at;
    if (!knows_a_gateway(membership))
        return elapsed >= SEED_START_WAIT_US;
    if (!role->first_contact_at)
        role->first_contact_at = now;
    if (!membership_is_converged(membership) && elapsed < CONVERGENCE_WAIT_US)
        return false;
    uint64_t wait_us =
        DISCOVERY_AFTER_CONTACT_US + rank_self(membership).ahead * COLD_START_STEP_US;
    return elapsed >= DISCOVERY_MIN_US && now >= role->first_contact_at + wait_us;
}

/* An early reader reads without a rank, which it cannot know yet. */
static bool reads_early(const struct reader_role *role, struct membership *membership, uint64_t now)
{
    return is_early_reader(membership) && now >= role->first_update_at + DISCOVERY_MIN_US &&
           !(knows_a_gateway(membership) && membership_is_converged(membership)) &&
           !knows_state_holder(membership);
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
    if (knows_nothing && !reads && reads_early(role, membership, now)) {
        role->duty = READER_LEADER;
        return role->duty;
    }
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

static uint32_t clamp(uint64_t value, uint32_t min, uint32_t max)
{
    if (value < min)
        return min;
    return value < max ? (uint32_t)value : max;
}

uint32_t reader_role_batch_delay_ms(enum reader_duty duty, uint64_t bound_ms)
{
    if (duty == READER_LEADER)
        return clamp(bound_ms / LEADER_BATCH_DIVISOR, LEADER_BATCH_MIN_MS, LEADER_BATCH_MAX_MS);
    uint64_t left = bound_ms > STANDBY_BATCH_MARGIN_MS ? bound_ms - STANDBY_BATCH_MARGIN_MS : 0;
    return clamp(left, STANDBY_BATCH_MIN_MS, STANDBY_BATCH_MAX_MS);
}
