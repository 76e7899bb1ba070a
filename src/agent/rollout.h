/**
 * One version of one model on this machine: manifest, chunks, load order, confirmation.
 * Belongs to the control thread.
 */
#ifndef SHUNTRUN_ROLLOUT_H
#define SHUNTRUN_ROLLOUT_H

#include "agent/blob_store.h"
#include "agent/transfer.h"
#include "core/manifest.h"
#include "core/swarm.h"
#include "net/node_shell.h"

enum rollout_state {
    ROLLOUT_MANIFEST, /**< the manifest is fetched */
    ROLLOUT_CHUNKS,   /**< chunks are fetched */
    ROLLOUT_LOADING,  /**< the engine has the load order */
    ROLLOUT_READY,    /**< the engine confirmed the digest */
};

struct rollout {
    uint64_t number; /**< unique in this process */
    enum rollout_state state;
    struct model_config model;
    char manifest_hex[DIGEST_HEX_SIZE];
    struct node_shell *shell;
    struct blob_store *store;
    struct transfer *transfer;
    struct manifest manifest; /**< chunk_count 0 before it is there */
    struct swarm *swarm;
    uint64_t started_us;
    uint64_t next_attempt_us; /**< of the manifest or the load order */
    uint32_t attempts;
    uint64_t ready_since_us; /**< 0: the engine has not confirmed it */
    bool released;           /**< chunks were given up after `weights-keep-ms` */
    bool request_active;     /**< a manifest fetch or a load order is out */
    enum rollout_weighting weighting;
};

struct rollout *rollout_create(struct node_shell *shell, struct blob_store *store,
                               struct transfer *transfer, const struct model_config *model);
void rollout_destroy(struct rollout *rollout);

/** \brief Targets of the placement changed. */
void rollout_set_targets(struct rollout *rollout, uint64_t now,
                         const struct model_placement *placement);
void rollout_on_transfer(struct rollout *rollout, uint64_t now,
                         const struct transfer_result *result);
void rollout_on_update(struct rollout *rollout, uint64_t now, uint64_t peer,
                       const Shuntrun__NodeUpdate *update);
void rollout_tick(struct rollout *rollout, uint64_t now);

/** \brief Give the chunks up when they were kept long enough. \return whether they were just now */
bool rollout_release_expired(struct rollout *rollout, uint64_t now);
/** \brief The engine lost the version: get the chunks again if they were given up. */
void rollout_restart(struct rollout *rollout);

/** \brief Whether this rollout needs a blob: its manifest or one of its chunks. */
bool rollout_needs_blob(const struct rollout *rollout, const struct digest *digest);

/** \brief Add the digests that this machine is about to get itself. */
void rollout_list_pending(const struct rollout *rollout, struct digest **digests, uint32_t *count);

#endif
