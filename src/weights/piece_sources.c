#include "weights/piece_sources.h"

#include "base/memory.h"

#include <stdlib.h>

/** Rest of a source after its first failure in a row; twice as long with each further one. */
#define REST_FIRST_US 150000
#define REST_DOUBLINGS_MOST 4
#define REST_MOST_US 1200000
/** Rest of the origin after a spoilt or broken piece: there is no other one. */
#define REST_ORIGIN_US 50000
/** Loaders ask the origin only after so long without a piece. */
#define ORIGIN_AFTER_US 1500000
/** Time between looks at who lives. */
#define PLAN_INTERVAL_US 100000
/** A connection to the origin, which accepts few, is closed after so long without use. */
#define ORIGIN_IDLE_US 250000
/** A node that sent no byte for so long is gone: it answers a call sooner, if only to refuse it. */
#define FIRST_BYTE_US 700000
/** Just after a start a node does not know most others: it waits for that before it chooses
 * sources, for so long at most. Else many more gateways become relays, and the origin gives more
 * copies. */
#define SETTLE_US 300000
/** Loaders take pieces from relays of their region, whose members they know before all others. */
#define LOADER_SETTLED_SHARE 0.5

struct piece_sources {
    struct cluster *cluster;
    const struct piece_set *set;
    enum piece_role role;
    void *owner;
    struct sockaddr_in origin;
    bool has_origin;
    struct relay_plan plan;
    uint64_t next_plan;
    uint64_t created_at;
    bool settled;                  /* the plan is that of others too */
    struct relay_sources manifest; /* for relays */
    struct relay_sources *lists;   /* of each piece; loaders have one for all */
    uint32_t spread;               /* relays that share a loader's pieces */
    uint32_t list_count;
    bool lists_name_origin;
    struct piece_source **items; /* all that were ever named: some of the relays' number */
    uint32_t count;
};

struct piece_sources *piece_sources_create(struct cluster *cluster, const struct piece_set *set,
                                           enum piece_role role, void *owner)
{
    struct piece_sources *sources = memory_calloc(1, sizeof *sources);
    sources->cluster = cluster;
    sources->set = set;
    sources->role = role;
    sources->owner = owner;
    sources->created_at = cluster_now();
    return sources;
}

static void free_source(struct piece_source *source)
{
    for (uint32_t i = 0; i < PIECE_LANES_MOST; i++) {
        if (source->lanes[i])
            http_caller_destroy(source->lanes[i]->caller);
        free(source->lanes[i]);
    }
    free(source);
}

void piece_sources_destroy(struct piece_sources *sources)
{
    for (uint32_t i = 0; i < sources->count; i++)
        free_source(sources->items[i]);
    free(sources->items);
    free(sources->lists);
    free(sources);
}

void piece_sources_set_origin(struct piece_sources *sources, const struct sockaddr_in *origin)
{
    sources->origin = *origin;
    sources->has_origin = true;
}

static struct piece_source *find(struct piece_sources *sources, uint32_t address)
{
    for (uint32_t i = 0; i < sources->count; i++)
        if (sources->items[i]->address == address)
            return sources->items[i];
    struct piece_source *source = memory_calloc(1, sizeof *source);
    source->address = address;
    sources->items =
        memory_realloc(sources->items, (sources->count + 1) * sizeof(struct piece_source *));
    sources->items[sources->count++] = source;
    return source;
}

struct piece_lane *piece_sources_lane(struct piece_sources *sources, struct piece_source *source,
                                      uint32_t index)
{
    struct piece_lane *lane = source->lanes[index];
    if (lane)
        return lane;
    struct sockaddr_in address = source->address == RELAY_ORIGIN
                                     ? sources->origin
                                     : cluster_address(sources->cluster, source->address);
    lane = memory_calloc(1, sizeof *lane);
    lane->owner = sources->owner;
    lane->source = source;
    lane->index = index;
    lane->caller = http_caller_create(sources->cluster->loop, &address);
    source->lanes[index] = lane;
    return lane;
}

void piece_source_rest(struct piece_source *source, uint64_t now)
{
    uint32_t doublings =
        source->failures < REST_DOUBLINGS_MOST ? source->failures : REST_DOUBLINGS_MOST;
    uint64_t length = REST_FIRST_US << doublings;
    source->failures++;
    if (source->address == RELAY_ORIGIN)
        length = REST_ORIGIN_US;
    source->rests_until = now + (length < REST_MOST_US ? length : REST_MOST_US);
}

void piece_source_not_yet(struct piece_source *source, uint64_t now)
{
    source->rests_until = now + REST_FIRST_US;
}

/* --- choice --------------------------------------------------------------------------------------
 */

void piece_sources_set_spread(struct piece_sources *sources, uint32_t relays)
{
    sources->spread = relays;
}

void piece_sources_list(struct piece_sources *sources, uint64_t silent_us)
{
    const struct piece_manifest *manifest = piece_set_manifest(sources->set);
    bool relays = sources->role == PIECE_ROLE_RELAY;
    sources->list_count = relays && manifest ? manifest->count : 1;
    sources->lists_name_origin = silent_us > ORIGIN_AFTER_US;
    sources->lists = memory_realloc(sources->lists, sources->list_count * sizeof *sources->lists);
    for (uint32_t i = 0; relays && i < sources->list_count; i++)
        relay_plan_relay_sources(&sources->plan, i, &sources->lists[i]);
    if (relays)
        relay_plan_manifest_sources(&sources->plan, &sources->manifest);
    if (!relays)
        relay_plan_loader_sources(&sources->plan, sources->lists_name_origin, &sources->lists[0]);
}

/* \return the first source of a list that does not rest, near ones from a place on; NULL: none */
static struct piece_source *choose(struct piece_sources *sources, const struct relay_sources *list,
                                   uint32_t first, uint64_t now)
{
    for (uint32_t i = 0; i < list->count; i++) {
        uint32_t place = i < list->near ? (first + i) % list->near : i;
        uint32_t address = list->addresses[place];
        if (address == RELAY_ORIGIN && !sources->has_origin)
            continue;
        struct piece_source *source = find(sources, address);
        if (now >= source->rests_until)
            return source;
    }
    return NULL;
}

struct piece_source *piece_sources_choose(struct piece_sources *sources, uint32_t piece,
                                          uint64_t now)
{
    if (!sources->list_count)
        return NULL;
    const struct relay_sources *list = &sources->lists[piece < sources->list_count ? piece : 0];
    uint32_t sharing = list->near < sources->spread ? list->near : sources->spread;
    return choose(sources, list, sharing ? piece % sharing : 0, now);
}

/*
 * One relay of each region asks the origin: it accepts some 48 connections, and 80 relays that all
 * asked it got their manifests up to 1.2 s late.
 */
struct piece_source *piece_sources_choose_manifest(struct piece_sources *sources, uint64_t now)
{
    if (!sources->list_count)
        return NULL;
    bool relays = sources->role == PIECE_ROLE_RELAY;
    return choose(sources, relays ? &sources->manifest : &sources->lists[0], 0, now);
}

uint64_t piece_sources_weight(const struct piece_sources *sources, uint32_t piece)
{
    return relay_plan_weight(&sources->plan, piece);
}

uint32_t piece_sources_relays(const struct piece_sources *sources)
{
    return sources->plan.count;
}

/* --- time ----------------------------------------------------------------------------------------
 */

uint32_t piece_sources_receiving(const struct piece_sources *sources)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < sources->count; i++)
        for (uint32_t j = 0; j < PIECE_LANES_MOST; j++) {
            const struct piece_lane *lane = sources->items[i]->lanes[j];
            count += lane && lane->busy && http_caller_is_receiving(lane->caller);
        }
    return count;
}

static void tick_lane(struct piece_lane *lane, uint64_t now)
{
    bool is_silent = lane->busy && now > lane->asked_at + FIRST_BYTE_US &&
                     !http_caller_is_receiving(lane->caller);
    if (lane->source->address == RELAY_ORIGIN)
        http_caller_close_idle(lane->caller, ORIGIN_IDLE_US);
    else if (is_silent)
        http_caller_abort(lane->caller);
}

static void refresh_plan(struct piece_sources *sources, uint64_t silent_us, uint64_t now)
{
    bool origin_is_due = silent_us > ORIGIN_AFTER_US;
    if (now < sources->next_plan && origin_is_due == sources->lists_name_origin)
        return;
    sources->next_plan = now + PLAN_INTERVAL_US;
    relay_plan_refresh(&sources->plan, sources->cluster->membership,
                       piece_set_rollout(sources->set));
    piece_sources_list(sources, silent_us);
}

static bool is_settled(struct piece_sources *sources, uint64_t now)
{
    struct membership *membership = sources->cluster->membership;
    bool knows_enough = sources->role == PIECE_ROLE_RELAY
                            ? membership_is_converged(membership)
                            : membership_known_fraction(membership) >= LOADER_SETTLED_SHARE;
    sources->settled = sources->settled || knows_enough || now >= sources->created_at + SETTLE_US;
    return sources->settled;
}

void piece_sources_tick(struct piece_sources *sources, uint64_t silent_us, uint64_t now)
{
    if (!is_settled(sources, now))
        return;
    if (!piece_set_complete(sources->set))
        refresh_plan(sources, silent_us, now);
    for (uint32_t i = 0; i < sources->count; i++)
        for (uint32_t j = 0; j < PIECE_LANES_MOST; j++)
            if (sources->items[i]->lanes[j])
                tick_lane(sources->items[i]->lanes[j], now);
}
