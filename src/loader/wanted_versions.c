#include "loader/wanted_versions.h"

#include "core/fetch_order.h"

#include <string.h>

/** A version named less than this ago cannot lie at the engine yet. */
#define RECENT_US 4000000
/** A version of which no piece came for so long does not progress: some ten times the time that a
 *  piece takes on a machine's link. */
#define FETCH_PATIENCE_US 800000
/** Time in which the engine gives its first report, or is dead. */
#define FIRST_REPORT_US 1500000

/* --- which versions are kept ---------------------------------------------------------------------
 */

uint64_t wanted_versions_newest(const struct wanted_versions *versions)
{
    return versions->count ? versions->list[versions->count - 1].version : 0;
}

/* What calls for a version may still do at the engine can only be set right with its pieces. */
static bool may_drop(const struct wanted_versions *versions, uint32_t index, uint64_t now)
{
    return versions->list[index].version != versions->installing ||
           !installer_is_bound(versions->installer, now);
}

static void drop(struct wanted_versions *versions, uint32_t index, uint64_t now)
{
    struct wanted_version *wanted = &versions->list[index];
    if (versions->installing == wanted->version) {
        installer_set_store(versions->installer, NULL, now);
        versions->installing = 0;
    }
    installer_forget_store(versions->installer, wanted->store);
    piece_store_destroy(wanted->store);
    versions->count--;
    memmove(wanted, wanted + 1, (versions->count - index) * sizeof *wanted);
}

/* Make place for one more version. At most one of them may not be dropped. */
static void drop_oldest(struct wanted_versions *versions, uint64_t now)
{
    drop(versions, may_drop(versions, 0, now) ? 0 : 1, now);
}

/* Nobody asks for versions older than the one that the engine runs. */
static void drop_outdated(struct wanted_versions *versions, uint64_t engine_version, uint64_t now)
{
    while (versions->count > 1 && versions->list[0].version < engine_version &&
           may_drop(versions, 0, now))
        drop(versions, 0, now);
}

/* An older version goes on while a newer one may not be had yet. */
void wanted_versions_add(struct wanted_versions *versions, struct piece_store *store,
                         uint64_t named_at, uint64_t now)
{
    uint64_t version = piece_store_version(store);
    if (versions->count == VERSIONS_KEPT)
        drop_oldest(versions, now);
    versions->list[versions->count++] = (struct wanted_version){
        .version = version,
        .named_at = named_at,
        .wanted_at = now,
        .store = store,
        .recovered = version > INITIAL_VERSION && now - named_at < RECENT_US,
    };
}

void wanted_versions_take_piece(struct wanted_versions *versions, const struct piece_store *store,
                                uint32_t piece)
{
    if (piece_store_version(store) == versions->installing)
        installer_on_piece(versions->installer, piece);
}

bool wanted_versions_serve(struct wanted_versions *versions, struct service_call *call,
                           const struct piece_call *wanted)
{
    for (uint32_t i = 0; i < versions->count; i++)
        if (piece_store_serve(versions->list[i].store, call, wanted))
            return true;
    return false;
}

bool wanted_versions_link_is_slow(const struct wanted_versions *versions)
{
    for (uint32_t i = 0; i < versions->count; i++)
        if (piece_store_link_is_slow(versions->list[i].store))
            return true;
    return false;
}

/* A version that was named before the one to install, and is missing too, sets the time. */
uint64_t wanted_versions_named_at(const struct wanted_versions *versions, uint64_t engine_version)
{
    for (uint32_t i = 0; i < versions->count; i++)
        if (versions->list[i].version > engine_version)
            return versions->list[i].named_at;
    return 0;
}

/* --- which version is fetched --------------------------------------------------------------------
 */

static uint32_t first_to_fetch(const struct wanted_versions *versions, uint64_t now)
{
    struct fetch_state states[VERSIONS_KEPT];
    for (uint32_t i = 0; i < versions->count; i++) {
        const struct wanted_version *wanted = &versions->list[i];
        states[i] = (struct fetch_state){
            .complete = piece_store_complete(wanted->store),
            .half_held = piece_store_half_held(wanted->store),
            .wanted_at = wanted->wanted_at,
            .progress_at = piece_store_progress_at(wanted->store),
        };
    }
    return fetch_order_first(states, versions->count, FETCH_PATIENCE_US, now);
}

/*
 * The engine that runs a version has its pieces in its stage: they are taken from there before
 * anything is fetched over the network. \return whether the store has to wait for that
 */
static bool recover_from_stage(const struct wanted_versions *versions,
                               struct wanted_version *wanted, const struct engine_state *engine,
                               uint64_t now)
{
    if (wanted->recovered)
        return installer_is_recovering(versions->installer) && wanted->version == engine->version;
    if (!engine->reachable && now < wanted->wanted_at + FIRST_REPORT_US)
        return true;
    if (!engine->reachable || engine->version != wanted->version) {
        wanted->recovered = true;
        return false;
    }
    if (piece_store_manifest(wanted->store) &&
        installer_recover(versions->installer, wanted->store))
        wanted->recovered = true;
    return true;
}

bool wanted_versions_fetch(struct wanted_versions *versions, const struct engine_state *engine,
                           uint64_t now)
{
    bool fetching = false;
    uint32_t first = first_to_fetch(versions, now);
    for (uint32_t i = versions->count; i-- > 0;) {
        struct piece_store *store = versions->list[i].store;
        enum link_use use = engine->version ? LINK_WITH_ENGINE : LINK_ALONE;
        bool complete = piece_store_complete(store);
        if (!complete && first != FETCH_ORDER_NONE && i < first)
            continue; /* a newer one comes instead */
        if (i > first)
            use = LINK_BEHIND;
        piece_store_share_link(store, use);
        piece_store_hold_back(store, recover_from_stage(versions, &versions->list[i], engine, now));
        piece_store_tick(store, now);
        fetching |= !complete;
    }
    return fetching;
}

/* --- which version is installed ------------------------------------------------------------------
 */

/* The newest version that is whole here is installed; before one is, the oldest that is missing. */
static struct wanted_version *choose(struct wanted_versions *versions, uint64_t engine_version)
{
    for (uint32_t i = versions->count; i-- > 0;)
        if (piece_store_complete(versions->list[i].store))
            return &versions->list[i];
    for (uint32_t i = 0; i < versions->count; i++)
        if (versions->list[i].version > engine_version)
            return &versions->list[i];
    return NULL;
}

void wanted_versions_install(struct wanted_versions *versions, uint64_t engine_version,
                             uint64_t now)
{
    drop_outdated(versions, engine_version, now);
    struct wanted_version *wanted = choose(versions, engine_version);
    if (wanted && wanted->version > versions->installing &&
        installer_set_store(versions->installer, wanted->store, now))
        versions->installing = wanted->version;
}
