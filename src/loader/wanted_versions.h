/**
 * The versions of the weights that a loader is to provide, each from its announcement until no node
 * needs its pieces any more: which one is fetched first, and which one is installed.
 */
#ifndef SHUNTRUN_WANTED_VERSIONS_H
#define SHUNTRUN_WANTED_VERSIONS_H

#include "core/weights/version_bounds.h"
#include "loader/installer.h"
#include "loader/piece_store.h"

/** The version in use, one that is being fetched or installed, and one announced meanwhile. */
#define WANTED_VERSIONS_MAX 3

struct wanted_version {
    uint64_t version;
    uint64_t announced_at; /**< time at which the operator announced it, as far as known */
    uint64_t switch_us;    /**< time from then in which all engines must switch to it */
    bool undated;          /**< it may have been announced long before */
    uint64_t wanted_at;    /**< time at which this process learned of it */
    struct piece_store *store;
    bool recovery_done; /**< the engine's staging area was read, or need not be */
};

/** Starts with all fields zero but `installer`. */
struct wanted_versions {
    struct wanted_version list[WANTED_VERSIONS_MAX]; /**< in ascending order */
    uint32_t count;
    uint64_t installing; /**< version that the installer was given, 0: none */
    struct installer *installer;
};

/** State of the engine as the loader knows it. */
struct engine_state {
    uint64_t version; /**< version in its last report, 0: none */
    bool reachable;   /**< whether it answered the last report request */
};

/** \return the newest version in the list, 0: none */
uint64_t wanted_versions_newest(const struct wanted_versions *versions);
/** \brief Add a version newer than all others. \param wanted with its times and the store of its
 * pieces, of which the list takes ownership */
void wanted_versions_add(struct wanted_versions *versions, const struct wanted_version *wanted);
/** \brief Set the number of pieces that the configuration gives each version; 0: it gives none. */
void wanted_versions_expect(struct wanted_versions *versions, uint32_t pieces);
/** \brief A piece was fetched into the store of a version. */
void wanted_versions_on_piece(struct wanted_versions *versions, const struct piece_store *store);
/** \brief Answer another node's call for pieces. \return false, without an answer, if no store has
 * the version */
bool wanted_versions_serve(struct wanted_versions *versions, struct service_call *call,
                           const struct piece_call *wanted);
/** \return whether transfers show much less bandwidth than the link's nominal rate */
bool wanted_versions_link_is_slow(const struct wanted_versions *versions);
/** \return the oldest version newer than the engine's, NULL: none */
const struct wanted_version *wanted_versions_next(const struct wanted_versions *versions,
                                                  uint64_t engine_version);
/** \brief Fetch missing pieces. \return whether a version is being fetched */
bool wanted_versions_fetch(struct wanted_versions *versions, const struct engine_state *engine,
                           uint64_t now);
/** \brief Remove versions that no node needs, and give the installer the version to install. */
void wanted_versions_install(struct wanted_versions *versions, uint64_t engine_version,
                             uint64_t now);

#endif
