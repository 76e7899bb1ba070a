#include "core/reader_role.h"

#include "core/hash.h"

#include <string.h>

/** Gateways of each region that read. */
#define READERS 3
/** While no reader gets answers, so many more read after each such time. */
#define STEP_IN_US 700000
/** Who need not read goes on for so long, as views of who lives differ for a moment. */
#define STEP_OUT_US 2000000
/** After its start a node looks for other gateways for so long: some round trips to a seed. */
#define FIRST_LOOK_US 100000
/** Seeds may begin so much later than others; until then nobody finds anybody. */
#define SEEDS_LATE_US 300000
/** One in so many gateways does not wait for late seeds: somebody should know the state by then. */
#define EARLY_ONE_IN 4
/** While nothing is known, one more gateway of a region begins to read in each such time: about as
 *  long as the whole takes to come through a link between regions. */
#define COLD_STEP_US 400000
#define READER_KEY 0x72656164657273ULL

static bool is_candidate(const struct member_state *member, const char *region)
{
    return member->role == MEMBER_GATEWAY && member_is_trusted(member) && !member->draining &&
           strcmp(member->region, region) == 0;
}

/* Place of this node among the gateways of its region. */
static uint32_t own_rank(struct membership *membership)
{
    const struct member_state *self = membership_self(membership);
    uint64_t own = hash_pair(READER_KEY, self->address);
    uint32_t before = 0;
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        before +=
            is_candidate(member, self->region) && hash_pair(READER_KEY, member->address) > own;
    }
    return before;
}

static bool region_is_sound(struct membership *membership)
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

bool reader_role_somebody_is_sound(struct membership *membership)
{
    if (region_is_sound(membership))
        return true;
    for (uint32_t i = 0; i < membership_count(membership); i++) {
        const struct member_state *member = membership_at(membership, i);
        if (member->role == MEMBER_GATEWAY && member_is_trusted(member) && member->store_sound)
            return true;
    }
    return false;
}

static bool is_needed(struct reader_role *role, struct membership *membership, uint64_t now)
{
    if (region_is_sound(membership))
        role->unsound_since = 0;
    else if (!role->unsound_since)
        role->unsound_since = now;
    uint64_t readers = READERS;
    if (role->unsound_since)
        readers += READERS * ((now - role->unsound_since) / STEP_IN_US);
    return own_rank(membership) < readers;
}

static bool knows_a_gateway(const struct membership *membership)
{
    for (uint32_t i = 0; i < membership_count(membership); i++)
        if (membership_at(membership, i)->role == MEMBER_GATEWAY)
            return true;
    return false;
}

static bool is_early(struct membership *membership)
{
    return hash_pair(READER_KEY, membership_self(membership)->address) % EARLY_ONE_IN == 0;
}

/*
 * After a loss of power all gateways know nothing. If many of them read the whole at once, they
 * choke the links between regions: so one of a region does, and the others get it from there,
 * compressed. Later ranks step in as that one may fail.
 */
static bool may_read_whole(const struct reader_role *role, struct membership *membership,
                           uint64_t now)
{
    uint64_t elapsed = now - role->first_update;
    if (!knows_a_gateway(membership))
        return elapsed >= (is_early(membership) ? FIRST_LOOK_US : SEEDS_LATE_US);
    return elapsed >= FIRST_LOOK_US + own_rank(membership) * COLD_STEP_US;
}

bool reader_role_must_tell(struct reader_role *role, bool sound)
{
    bool changed = sound != role->told_sound;
    role->told_sound = sound;
    return changed;
}

bool reader_role_update(struct reader_role *role, struct membership *membership, uint64_t now)
{
    if (!role->first_update)
        role->first_update = now;
    bool knows_nothing = membership_self(membership)->state_revision == 0;
    if (knows_nothing && !role->reads && !may_read_whole(role, membership, now))
        return false;
    if (is_needed(role, membership, now)) {
        role->needless_since = 0;
        role->reads = true;
    } else if (!role->needless_since) {
        role->needless_since = now;
    } else if (now >= role->needless_since + STEP_OUT_US) {
        role->reads = false;
    }
    return role->reads;
}
