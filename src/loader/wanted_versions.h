/**
 * The versions of the weights that a loader wants, from the moment in which it hears of one until
 * nobody asks for its pieces any more: which is fetched first, and which is installed.
 */
#ifndef SHUNTRUN_WANTED_VERSIONS_H
#define SHUNTRUN_WANTED_VERSIONS_H

#include "core/version_bounds.h"
#include "loader/installer.h"
#include "loader/piece_store.h"

/** Versions whose pieces are held: the one in use, one on its way and one named meanwhile. */
#define WANTED_VERSIONS_MAX 3

struct wanted_version {
    uint64_t version;
    uint64_t announced_at; /**< time at which it was named */
    uint64_t wanted_at;    /**< time at which this process heard of it */
    struct piece_store *store;
    bool recovery_done; /**< the engine's stage was read, or need not be */
};

/** All zero but for `installer`: none. */
struct wanted_versions {
    struct wanted_version list[WANTED_VERSIONS_MAX]; /**< rising */
    uint32_t count;
    uint64_t installing; /**< version that the installer is at, 0: none */
    struct installer *installer;
};

/** What the loader knows of its engine. */
struct engine_state {
    uint64_t version; /**< that it runs, as it last said; 0: none */
    bool reachable;   /**< its last report came */
};

/** \return the newest version that is wanted, 0: none */
uint64_t wanted_versions_newest(const struct wanted_versions *versions);
/** \brief Want a version that is newer than all others. \param store of its pieces, owned from now
 */
void wanted_versions_add(struct wanted_versions *versions, struct piece_store *store,
                         uint64_t announced_at, uint64_t now);
/** \brief A piece was fetched into a store. */
void wanted_versions_on_piece(struct wanted_versions *versions, const struct piece_store *store,
                              uint32_t piece);
/** \brief Answer another node's call for pieces. \return whether a store of the version is here */
bool wanted_versions_serve(struct wanted_versions *versions, struct service_call *call,
                           const struct piece_call *wanted);
/** \return whether pieces came so slowly that the machine's link must be narrow */
bool wanted_versions_link_is_slow(const struct wanted_versions *versions);
/** \return time at which the oldest version that the engine lacks was named, 0: none */
uint64_t wanted_versions_announced_at(const struct wanted_versions *versions,
                                      uint64_t engine_version);
/** \brief Fetch what is missing. \return whether something is */
bool wanted_versions_fetch(struct wanted_versions *versions, const struct engine_state *engine,
                           uint64_t now);
/** \brief Drop what nobody asks for, and let the installer go on to the version that is due. */
void wanted_versions_install(struct wanted_versions *versions, uint64_t engine_version,
                             uint64_t now);

#endif
