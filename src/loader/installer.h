/**
 * Brings one engine to one version of its model: stages the pieces, reads them back, and orders the
 * engine to take them when its turn has come.
 *
 * What lies at the engine may have turned bad, so every piece is read back and checked shortly
 * before the order. An order that shows no effect is given again only after the engine's own report
 * says that it took none.
 */
#ifndef SHUNTRUN_INSTALLER_H
#define SHUNTRUN_INSTALLER_H

#include "loader/piece_store.h"

struct installer;

/** When the engine may take the wanted version, and how. */
struct install_turn {
    uint64_t at;      /**< time from which the order may be given */
    bool short_drain; /**< what still runs a while after that is broken off */
};

struct installer *installer_create(uv_loop_t *loop, const struct sockaddr_in *engine,
                                   const char *model);
/** \brief Install from this store from now on; NULL: nothing to install. */
void installer_set_store(struct installer *installer, struct piece_store *store);
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
                         bool reachable);
void installer_tick(struct installer *installer, uint64_t now, const struct install_turn *turn);
/** \return whether there is a next step to take soon */
bool installer_is_busy(const struct installer *installer);
/** \return whether all of the wanted version lies at the engine, checked */
bool installer_is_staged(const struct installer *installer);
/** \return whether an order is under way, as far as this process knows */
bool installer_is_loading(const struct installer *installer, uint64_t now);

#endif
