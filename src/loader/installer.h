/**
 * Carries out at one engine what core/weight_install decides: stages the pieces of a version, reads
 * them back, and orders the engine to take them when its turn has come.
 */
#ifndef SHUNTRUN_INSTALLER_H
#define SHUNTRUN_INSTALLER_H

#include "core/weight_install.h"
#include "loader/piece_store.h"

struct installer;

struct installer *installer_create(uv_loop_t *loop, const struct sockaddr_in *engine,
                                   const char *model);
/**
 * \brief Install from this store from now on; NULL: nothing to install.
 * \return false, without any change, while calls for the version before may still act at the engine
 */
bool installer_set_store(struct installer *installer, struct piece_store *store, uint64_t now);
/** \brief The store is about to be destroyed; it must not be the one that is installed. */
void installer_release_store(struct installer *installer, const struct piece_store *store);
/**
 * \brief Read the engine's stage into a store of the version that it runs. It ends by itself, also
 * when the stage lacks a piece. \return false while another reading is under way
 */
bool installer_recover(struct installer *installer, struct piece_store *store);
/** \return whether such a reading is under way */
bool installer_is_recovering(const struct installer *installer);
/** \brief A piece of the store was fetched: stage it at once. */
void installer_on_piece(struct installer *installer, uint32_t piece);
/** \brief The engine's own report. \param reachable false: it gave none */
void installer_on_report(struct installer *installer, const struct engine_report *report,
                         bool reachable, uint64_t now);
/** \brief Other nodes heard of an earlier process of this loader: see core/weight_install. */
void installer_note_predecessor(struct installer *installer, uint64_t heard_at, uint64_t born);
/** \param turn time from which the engine may be ordered to take the version */
void installer_tick(struct installer *installer, uint64_t now, uint64_t scheduled_at);
/** \return whether there is a next step to take soon */
bool installer_is_busy(const struct installer *installer, uint64_t now);
/** \return whether calls for the present version may still act at the engine */
bool installer_is_pinned(const struct installer *installer, uint64_t now);
/** \return whether all of the wanted version lies at the engine, checked */
bool installer_is_staged(const struct installer *installer);
/** \return whether an order is under way, as far as this process knows */
bool installer_is_loading(const struct installer *installer, uint64_t now);

#endif
