#include "weights/piece_sources.h"

#include "base/memory.h"

#include <stdlib.h>

/** Backoff after the first failure of a source; doubles with each consecutive one. */
#define BACKOFF_INITIAL_US 150000
#define BACKOFF_DOUBLINGS_MAX 4
#define BACKOFF_MAX_US 1200000
/** Backoff of the origin after a corrupt or incomplete piece: short and constant, as there is no
 * other origin. */
#define ORIGIN_BACKOFF_US 50000
/** Loaders fall back to the origin after this time without a piece. */
#define ORIGIN_FALLBACK_US 1500000
/** Interval at which the plan is recomputed from the membership. */
#define PLAN_INTERVAL_US 100000
/** Idle timeout of connections to the origin, which accepts few. */
#define ORIGIN_IDLE_TIMEOUT_US 250000
/** A node that sends no byte for this long is considered down: one that is up responds sooner, if
 * only that it is not ready. */
#define FIRST_BYTE_TIMEOUT_US 700000
/** The origin is asked for the manifest once more when it takes longer than this to answer. */
#define MANIFEST_HEDGE_US 200000
/** Maximum time that a node waits after its start to learn of the other members before it chooses
 * sources. With partial views many more gateways become relays, and the origin serves more copies.
 */
#define MEMBERSHIP_WAIT_US 300000
/** Maximum time that the relay which reads the manifest from the origin waits for the
 * configuration, which names the origin, before it asks other relays. */
#define ORIGIN_ADDRESS_WAIT_US 1000000
/** Loaders fetch from relays of their region, whose members they learn of first. */
#define LOADER_KNOWN_FRACTION_MIN 0.5

struct piece_sources {
    struct cluster *cluster;
    const struct piece_set *set;
    enum piece_role role;
    void *owner;
    struct sockaddr_in origin;
    bool has_origin;
    struct relay_plan plan;
    uint64_t next_refresh;
    uint64_t created_at;
    bool membership_known;            /* enough of it that the plan agrees with that of others */
    struct relay_sources manifest;    /* used by relays only */
    struct relay_sources *candidates; /* per piece; loaders have one list for all pieces */
    uint32_t parallel_relays;         /* number of relays that share a loader's pieces */
    uint32_t candidates_count;
    bool includes_origin;
    struct piece_source **items; /* all sources used so far: about as many as relays */
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
    for (uint32_t i = 0; i < PIECE_MAX_CONNECTIONS; i++) {
        if (source->connections[i])
            http_caller_destroy(source->connections[i]->caller);
        free(source->connections[i]);
    }
    free(source);
}

void piece_sources_destroy(struct piece_sources *sources)
{
    for (uint32_t i = 0; i < sources->count; i++)
        free_source(sources->items[i]);
    free(sources->items);
    free(sources->candidates);
    free(sources);
}

void piece_sources_set_origin(struct piece_sources *sources, const struct sockaddr_in *origin)
{
    sources->origin = *origin;
    sources->has_origin = true;
}

static struct piece_source *find_or_add_source(struct piece_sources *sources, uint32_t address)
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

struct piece_connection *piece_sources_connect(struct piece_sources *sources,
                                               struct piece_source *source, uint32_t index)
{
    struct piece_connection *connection = source->connections[index];
    if (connection)
        return connection;
    struct sockaddr_in address = source->address == RELAY_ORIGIN
                                     ? sources->origin
                                     : cluster_address(sources->cluster, source->address);
    connection = memory_calloc(1, sizeof *connection);
    connection->owner = sources->owner;
    connection->source = source;
    connection->index = index;
    connection->caller = http_caller_create(sources->cluster->loop, &address);
    source->connections[index] = connection;
    return connection;
}

void piece_source_back_off(struct piece_source *source, uint64_t now)
{
    uint32_t doublings =
        source->failures < BACKOFF_DOUBLINGS_MAX ? source->failures : BACKOFF_DOUBLINGS_MAX;
    uint64_t length = BACKOFF_INITIAL_US << doublings;
    source->failures++;
    if (source->address == RELAY_ORIGIN)
        length = ORIGIN_BACKOFF_US;
    source->backoff_until = now + (length < BACKOFF_MAX_US ? length : BACKOFF_MAX_US);
}

void piece_source_not_ready(struct piece_source *source, uint64_t now)
{
    source->backoff_until = now + BACKOFF_INITIAL_US;
}

/* --- source selection ------------------------------------------------------------------------- */

void piece_sources_set_parallel_relays(struct piece_sources *sources, uint32_t relays)
{
    sources->parallel_relays = relays;
}

void piece_sources_update(struct piece_sources *sources, uint64_t since_progress_us)
{
    const struct piece_manifest *manifest = piece_set_manifest(sources->set);
    bool relays = sources->role == PIECE_ROLE_RELAY;
    sources->candidates_count = relays && manifest ? manifest->count : 1;
    sources->includes_origin = since_progress_us > ORIGIN_FALLBACK_US;
    sources->candidates = memory_realloc(sources->candidates,
                                         sources->candidates_count * sizeof *sources->candidates);
    for (uint32_t i = 0; relays && i < sources->candidates_count; i++)
        relay_plan_relay_sources(&sources->plan, i, &sources->candidates[i]);
    if (relays)
        relay_plan_manifest_sources(&sources->plan, &sources->manifest);
    if (!relays)
        relay_plan_loader_sources(&sources->plan, sources->includes_origin,
                                  &sources->candidates[0]);
}

static bool is_busy(const struct piece_connection *connection)
{
    return connection && connection->busy;
}

/* The origin is asked again before it has answered only if that takes longer than usual. */
static bool may_ask_manifest(const struct piece_source *source, uint64_t now)
{
    uint32_t idle = 0;
    if (now < source->backoff_until)
        return false;
    if (source->address != RELAY_ORIGIN)
        return !is_busy(source->connections[0]);
    for (uint32_t i = 0; i < PIECE_MANIFEST_CONNECTIONS; i++) {
        const struct piece_connection *connection = source->connections[i];
        idle += !is_busy(connection);
        if (is_busy(connection) && connection->asks_manifest &&
            now < connection->requested_at + MANIFEST_HEDGE_US)
            return false;
    }
    return idle > 0;
}

/* \return the first source of a list that is not backed off, NULL: none. `first` rotates the near
 * sources, those of the same region. With `manifest`, sources that are being asked for the manifest
 * are passed over. */
static struct piece_source *choose_from(struct piece_sources *sources,
                                        const struct relay_sources *list, uint32_t first,
                                        bool manifest, uint64_t now)
{
    for (uint32_t i = 0; i < list->count; i++) {
        uint32_t place = i < list->same_region_count ? (first + i) % list->same_region_count : i;
        uint32_t address = list->addresses[place];
        if (address == RELAY_ORIGIN && !sources->has_origin)
            continue;
        struct piece_source *source = find_or_add_source(sources, address);
        if (now >= source->backoff_until && (!manifest || may_ask_manifest(source, now)))
            return source;
    }
    return NULL;
}

struct piece_source *piece_sources_choose(struct piece_sources *sources, uint32_t piece,
                                          uint64_t now)
{
    if (!sources->candidates_count)
        return NULL;
    const struct relay_sources *list =
        &sources->candidates[piece < sources->candidates_count ? piece : 0];
    uint32_t sharing = list->same_region_count < sources->parallel_relays
                           ? list->same_region_count
                           : sources->parallel_relays;
    return choose_from(sources, list, sharing ? piece % sharing : 0, false, now);
}

/* The other relays of the region ask this one for the manifest, so if it asked one of them, both
 * would wait for each other until a call times out. */
static bool awaits_origin_address(const struct piece_sources *sources, uint64_t now)
{
    return !sources->has_origin && sources->manifest.independent_count &&
           now < sources->created_at + ORIGIN_ADDRESS_WAIT_US;
}

/*
 * One relay of each region requests the manifest from the origin. The origin accepts about 48
 * connections; when 80 relays all requested it there, some manifests were up to 1.2 s late.
 */
struct piece_source *piece_sources_choose_manifest(struct piece_sources *sources, uint64_t now)
{
    if (!sources->candidates_count)
        return NULL;
    if (sources->role != PIECE_ROLE_RELAY)
        return choose_from(sources, &sources->candidates[0], 0, true, now);
    struct relay_sources list = sources->manifest;
    if (awaits_origin_address(sources, now))
        list.count = list.independent_count;
    return choose_from(sources, &list, 0, true, now);
}

struct piece_source *piece_sources_manifest_origin(struct piece_sources *sources, uint64_t now)
{
    if (!sources->has_origin)
        return NULL;
    struct piece_source *origin = find_or_add_source(sources, RELAY_ORIGIN);
    return may_ask_manifest(origin, now) ? origin : NULL;
}

uint64_t piece_sources_weight(const struct piece_sources *sources, uint32_t piece)
{
    return relay_plan_piece_priority(&sources->plan, piece);
}

uint32_t piece_sources_relays(const struct piece_sources *sources)
{
    return sources->plan.count;
}

/* --- timeouts and membership changes ---------------------------------------------------------- */

uint32_t piece_sources_receiving(const struct piece_sources *sources)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < sources->count; i++)
        for (uint32_t j = 0; j < PIECE_MAX_CONNECTIONS; j++) {
            const struct piece_connection *connection = sources->items[i]->connections[j];
            count += connection && connection->busy && http_caller_is_receiving(connection->caller);
        }
    return count;
}

static void tick_connection(struct piece_connection *connection, uint64_t now)
{
    bool is_silent = connection->busy && now > connection->requested_at + FIRST_BYTE_TIMEOUT_US &&
                     !http_caller_is_receiving(connection->caller);
    if (connection->source->address == RELAY_ORIGIN)
        http_caller_close_idle(connection->caller, ORIGIN_IDLE_TIMEOUT_US);
    else if (is_silent)
        http_caller_abort(connection->caller);
}

static void refresh_plan(struct piece_sources *sources, uint64_t since_progress_us, uint64_t now)
{
    bool origin_is_due = since_progress_us > ORIGIN_FALLBACK_US;
    if (now < sources->next_refresh && origin_is_due == sources->includes_origin)
        return;
    sources->next_refresh = now + PLAN_INTERVAL_US;
    relay_plan_refresh(&sources->plan, sources->cluster->membership,
                       piece_set_version_key(sources->set));
    piece_sources_update(sources, since_progress_us);
}

static bool is_membership_known(struct piece_sources *sources, uint64_t now)
{
    struct membership *membership = sources->cluster->membership;
    bool knows_enough = sources->role == PIECE_ROLE_RELAY
                            ? membership_is_converged(membership)
                            : membership_known_fraction(membership) >= LOADER_KNOWN_FRACTION_MIN;
    sources->membership_known = sources->membership_known || knows_enough ||
                                now >= sources->created_at + MEMBERSHIP_WAIT_US;
    return sources->membership_known;
}

void piece_sources_tick(struct piece_sources *sources, uint64_t since_progress_us, uint64_t now)
{
    if (!is_membership_known(sources, now))
        return;
    if (!piece_set_complete(sources->set))
        refresh_plan(sources, since_progress_us, now);
    for (uint32_t i = 0; i < sources->count; i++)
        for (uint32_t j = 0; j < PIECE_MAX_CONNECTIONS; j++)
            if (sources->items[i]->connections[j])
                tick_connection(sources->items[i]->connections[j], now);
}
