/**
 * Rollout of one version of one model to this machine: fetch its manifest and chunks, then the
 * owner sends the load order and the engine confirms it. Not thread-safe: owned by the control
 * thread. Times are microseconds of the monotonic clock.
 */
#ifndef SHUNTRUN_ROLLOUT_H
#define SHUNTRUN_ROLLOUT_H

#include "agent/blob_store.h"
#include "agent/transfer.h"
#include "core/manifest.h"
#include "core/swarm/swarm.h"
#include "net/node_shell.h"

enum rollout_state {
    ROLLOUT_MANIFEST, /**< fetching the manifest */
    ROLLOUT_CHUNKS,   /**< fetching chunks, or waiting to retry the load order */
    ROLLOUT_LOADING,  /**< the load order is in flight */
    ROLLOUT_READY,    /**< the engine has confirmed the digest */
};

struct rollout {
    uint64_t number; /**< unique in this process */
    enum rollout_state state;
    struct model_config model;
    char manifest_hex[DIGEST_HEX_SIZE]; /**< digest of the manifest */
    struct node_shell *shell;
    struct blob_store *store;
    struct transfer *transfer;
    struct manifest manifest; /**< chunk_count is 0 before it is parsed */
    struct swarm *swarm;      /**< NULL before the manifest is parsed and after the release */
    uint64_t started_us;
    uint64_t next_attempt_us; /**< earliest next request of the manifest or load order */
    uint32_t attempts;        /**< requests for the manifest */
    uint64_t ready_since_us;  /**< 0: not confirmed by the engine */
    bool released;            /**< chunks were released after `weights-keep-ms` */
    bool request_active;      /**< a manifest request or load order is in flight */
    enum rollout_weighting weighting;
};

/** \param model copied; the other parameters must stay valid until rollout_destroy() */
struct rollout *rollout_create(struct node_shell *shell, struct blob_store *store,
                               struct transfer *transfer, const struct model_config *model);
void rollout_destroy(struct rollout *rollout);

/** \brief Set the machines that load the model, from the current placement. */
void rollout_set_targets(struct rollout *rollout, uint64_t now,
                         const struct model_placement *placement);
/** \brief Process the result of a transfer of this rollout. */
void rollout_on_transfer(struct rollout *rollout, uint64_t now,
                         const struct transfer_result *result);
/** \brief Process an announcement of a peer; those of other rollouts are ignored. */
void rollout_on_update(struct rollout *rollout, uint64_t now, uint64_t peer,
                       const Shuntrun__NodeUpdate *update);
/** \brief Start due requests and handle timeouts; call on each tick. */
void rollout_tick(struct rollout *rollout, uint64_t now);

/** \brief Release the chunks `weights-keep-ms` after the engine confirmed the version. \return
 * whether this call released them */
bool rollout_release_expired(struct rollout *rollout, uint64_t now);
/** \brief Start again after the engine lost the version; released chunks are fetched again. */
void rollout_restart(struct rollout *rollout);

/** \brief Whether this rollout needs a blob: its manifest or one of its chunks. */
bool rollout_needs_blob(const struct rollout *rollout, const struct digest *digest);

/** \brief Append the digests of chunks that this machine is about to fetch itself.
 *  \param digests heap-allocated array, reallocated; may be NULL
 *  \param count length of the array */
void rollout_list_pending(const struct rollout *rollout, struct digest **digests, uint32_t *count);

#endif
