/**
 * Downloads of blobs on a thread of their own, so that bulk bytes and their digests never hold up
 * control messages. Results are posted to the control loop.
 */
#ifndef SHUNTRUN_TRANSFER_H
#define SHUNTRUN_TRANSFER_H

#include "agent/blob_store.h"
#include "agent/rate_limiter.h"
#include "core/swarm.h"
#include "net/loop.h"

#define TRANSFER_MANIFEST UINT32_MAX /**< stands for the manifest as a chunk */

struct transfer_job {
    uint64_t rollout; /**< number of the rollout that asked */
    uint64_t source;  /**< machine id or SWARM_ORIGIN */
    uint32_t chunk;
    struct digest digest;
    uint64_t length; /**< most bytes; the digest decides */
    char url[256];
    uint64_t timeout_ms;
    uint64_t stall_ms;
};

struct transfer_result {
    void *context;
    struct transfer_job job;
    bool stored;
    enum swarm_failure failure; /**< when not stored */
    uint32_t retry_after_ms;
};

struct transfer;

/**
 * \param control_loop to which results are posted
 * \param on_result called there; frees the result
 */
struct transfer *transfer_start(const char *reader, struct blob_store *store,
                                struct rate_limiter *limiter, struct loop *control_loop,
                                loop_callback *on_result, void *context);
void transfer_stop(struct transfer *transfer);

void transfer_fetch(struct transfer *transfer, const struct transfer_job *job);
/** \brief Give up a download; its result may still come. */
void transfer_cancel(struct transfer *transfer, uint64_t rollout, uint64_t source, uint32_t chunk);

#endif
