#include "loader/wanted_versions.h"

#include "core/weights/fetch_order.h"

#include <string.h>

/** A version announced less than this ago cannot be in the engine's staging area yet. */
#define RECOVERY_MIN_AGE_US 4000000
/** An engine that gives no report for this long after a version became known counts as down. */
#define FIRST_REPORT_TIMEOUT_US 1500000

/* --- which versions are kept ------------------------------------------------------------------ */

uint64_t wanted_versions_newest(const struct wanted_versions *versions)
{
    return versions->count ? versions->list[versions->count - 1].version : 0;
}

/* While calls for a version may still take effect at the engine, its pieces are needed to verify
 * and repair the staging area. */
static bool can_remove(const struct wanted_versions *versions, uint32_t index, uint64_t now)
{
    return versions->list[index].version != versions->installing ||
           !installer_is_pinned(versions->installer, now);
}

static void remove_version(struct wanted_versions *versions, uint32_t index, uint64_t now)
{
    struct wanted_version *wanted = &versions->list[index];
    if (versions->installing == wanted->version) {
        installer_set_store(versions->installer, NULL, now);
        versions->installing = 0;
    }
    installer_release_store(versions->installer, wanted->store);
    piece_store_destroy(wanted->store);
    versions->count--;
    memmove(wanted, wanted + 1, (versions->count - index) * sizeof *wanted);
}

/* Makes room for one more version. At most one version cannot be removed. */
static void remove_oldest(struct wanted_versions *versions, uint64_t now)
{
    remove_version(versions, can_remove(versions, 0, now) ? 0 : 1, now);
}

/* No node needs versions older than the one that the engine runs. */
static void remove_outdated(struct wanted_versions *versions, uint64_t engine_version, uint64_t now)
{
    while (versions->count > 1 && versions->list[0].version < engine_version &&
           can_remove(versions, 0, now))
        remove_version(versions, 0, now);
}

/* Older versions stay: the newer one may not be available yet. */
void wanted_versions_add(struct wanted_versions *versions, const struct wanted_version *wanted)
{
    if (versions->count == WANTED_VERSIONS_MAX)
        remove_oldest(versions, wanted->wanted_at);
    struct wanted_version *added = &versions->list[versions->count++];
    *added = *wanted;
    added->recovery_done = wanted->version > INITIAL_VERSION && !wanted->undated &&
                           wanted->wanted_at - wanted->announced_at < RECOVERY_MIN_AGE_US;
}

void wanted_versions_expect(struct wanted_versions *versions, uint32_t pieces)
{
    for (uint32_t i = 0; i < versions->count; i++)
        piece_store_expect(versions->list[i].store, pieces);
}

void wanted_versions_on_piece(struct wanted_versions *versions, const struct piece_store *store)
{
    if (piece_store_version(store) == versions->installing)
        installer_on_piece(versions->installer);
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

/* The schedule counts from the oldest version that the engine lacks, even if a newer one is to be
 * installed. */
const struct wanted_version *wanted_versions_next(const struct wanted_versions *versions,
                                                  uint64_t engine_version)
{
    for (uint32_t i = 0; i < versions->count; i++)
        if (versions->list[i].version > engine_version)
            return &versions->list[i];
    return NULL;
}

/* --- which version is fetched ----------------------------------------------------------------- */

static uint32_t first_fetch_index(const struct wanted_versions *versions, uint64_t now)
{
    struct fetch_state states[WANTED_VERSIONS_MAX];
    for (uint32_t i = 0; i < versions->count; i++) {
        const struct wanted_version *wanted = &versions->list[i];
        states[i] = (struct fetch_state){
            .version = wanted->version,
            .complete = piece_store_complete(wanted->store),
            .half_fetched = piece_store_half_held(wanted->store),
            .wanted_at = wanted->wanted_at,
            .progress_at = piece_store_last_piece_at(wanted->store),
        };
    }
    return fetch_order_select(states, versions->count, FETCH_STALL_TIMEOUT_US, now);
}

/*
 * An engine that runs a version has its pieces in the staging area. They are read from there before
 * anything is fetched over the network.
 * \return whether fetching has to wait for that
 */
static bool recover_from_stage(const struct wanted_versions *versions,
                               struct wanted_version *wanted, const struct engine_state *engine,
                               uint64_t now)
{
    if (wanted->recovery_done)
        return installer_is_recovering(versions->installer) && wanted->version == engine->version;
    if (!engine->reachable && now < wanted->wanted_at + FIRST_REPORT_TIMEOUT_US)
        return true;
    if (!engine->reachable || engine->version != wanted->version) {
        wanted->recovery_done = true;
        return false;
    }
    if (piece_store_manifest(wanted->store) &&
        installer_recover(versions->installer, wanted->store))
        wanted->recovery_done = true;
    return true;
}

bool wanted_versions_fetch(struct wanted_versions *versions, const struct engine_state *engine,
                           uint64_t now)
{
    bool fetching = false;
    uint32_t first = first_fetch_index(versions, now);
    for (uint32_t i = versions->count; i-- > 0;) {
        struct piece_store *store = versions->list[i].store;
        enum link_sharing sharing = engine->version ? LINK_SHARED_WITH_ENGINE : LINK_EXCLUSIVE;
        bool complete = piece_store_complete(store);
        if (!complete && first != FETCH_ORDER_NONE && i < first)
            continue; /* a newer version is fetched instead */
        if (i > first)
            sharing = LINK_LOW_PRIORITY;
        piece_store_set_link_sharing(store, sharing);
        piece_store_pause_fetch(store,
                                recover_from_stage(versions, &versions->list[i], engine, now));
        piece_store_tick(store, now);
        fetching |= !complete;
    }
    return fetching;
}

/* --- which version is installed --------------------------------------------------------------- */

/* \return the newest complete version; if none is complete, the oldest newer than the engine's */
static struct wanted_version *select_version(struct wanted_versions *versions,
                                             uint64_t engine_version)
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
    remove_outdated(versions, engine_version, now);
    struct wanted_version *wanted = select_version(versions, engine_version);
    if (wanted && wanted->version > versions->installing &&
        installer_set_store(versions->installer, wanted->store, now))
        versions->installing = wanted->version;
}
