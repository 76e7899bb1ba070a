/**
 * Carries out the actions of core/weights/weight_install at one engine: uploads the pieces of a
 * version to its staging area, reads them back, and orders the engine to load them at its scheduled
 * time.
 */
#ifndef SHUNTRUN_INSTALLER_H
#define SHUNTRUN_INSTALLER_H

#include "core/weights/weight_install.h"
#include "loader/piece_store.h"

struct installer;

/** \param engine address of the engine */
struct installer *installer_create(uv_loop_t *loop, const struct sockaddr_in *engine,
                                   const char *model);
/**
 * \brief Install the version of this store from now on; NULL: install nothing.
 * \return false, and the store stays, while calls for its version are under way or in doubt
 */
bool installer_set_store(struct installer *installer, struct piece_store *store, uint64_t now);
/** \brief Drop all use of a store that is about to be destroyed. It must not be the one being
 * installed. */
void installer_release_store(struct installer *installer, const struct piece_store *store);
/**
 * \brief Read the pieces in the engine's staging area into a store of the version that it runs.
 * Pieces that the staging area lacks are skipped; it ends at the last piece, or at a call without
 * an answer. \return false while another recovery or a stage call is under way
 */
bool installer_recover(struct installer *installer, struct piece_store *store);
/** \return whether such a recovery is under way */
bool installer_is_recovering(const struct installer *installer);
/** \brief A piece of the store was fetched: stage it at once if the engine is ready. */
void installer_on_piece(struct installer *installer);
/** \brief Process a report of the engine. \param reachable false: it gave none, `report` is unused
 */
void installer_on_report(struct installer *installer, const struct engine_report *report,
                         bool reachable, uint64_t now);
/** \brief Other nodes heard a previous process of this loader: see core/weights/weight_install. */
void installer_note_predecessor(struct installer *installer, uint64_t heard_at, uint64_t born);
/** \brief Take the next action; call periodically. \param scheduled_at time from which the engine
 * may be ordered to load the version */
void installer_tick(struct installer *installer, uint64_t now, uint64_t scheduled_at);
/** \return whether a next action is to be expected soon */
bool installer_is_busy(const struct installer *installer, uint64_t now);
/** \return whether calls for the current version are under way or in doubt */
bool installer_is_pinned(const struct installer *installer, uint64_t now);
/** \return whether all pieces of the version are staged and verified, and the engine does not run
 * it */
bool installer_is_staged(const struct installer *installer);
/** \return whether the engine loads, or was just ordered to, as far as this process knows */
bool installer_is_loading(const struct installer *installer, uint64_t now);

#endif
