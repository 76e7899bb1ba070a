/**
 * Thread for downloads of blobs, so that bulk transfers and digest computations do not delay
 * control messages. Results are posted to the control loop.
 */
#ifndef SHUNTRUN_TRANSFER_H
#define SHUNTRUN_TRANSFER_H

#include "agent/blob_store.h"
#include "agent/rate_limiter.h"
#include "core/swarm/swarm.h"
#include "net/loop.h"

#define TRANSFER_MANIFEST UINT32_MAX /**< chunk number of the manifest */

/** A blob to download. */
struct transfer_job {
    uint64_t rollout; /**< number of the rollout that requests it */
    uint64_t source;  /**< machine id or SWARM_ORIGIN */
    uint32_t chunk;   /**< or TRANSFER_MANIFEST */
    struct digest digest;
    uint64_t length; /**< maximum bytes; the digest verifies the content */
    char url[256];
    uint64_t timeout_ms; /**< of the whole download */
    uint64_t stall_ms;   /**< longest time without a received byte */
};

/** Result of a download. */
struct transfer_result {
    void *context; /**< given to transfer_start() */
    struct transfer_job job;
    bool stored;                /**< the blob is verified and in the store */
    enum swarm_failure failure; /**< when not stored */
    uint32_t retry_after_ms;    /**< 0: none */
};

struct transfer;

/**
 * \brief Start the thread.
 * \param reader name of this machine, sent to the sources
 * \param control_loop loop to which results are posted
 * \param on_result called on that loop with a struct transfer_result, which it frees
 * \param context copied into each result
 */
struct transfer *transfer_start(const char *reader, struct blob_store *store,
                                struct rate_limiter *limiter, struct loop *control_loop,
                                loop_callback *on_result, void *context);
/** \brief Stop the thread; downloads in progress end without a result. NULL is ignored. */
void transfer_stop(struct transfer *transfer);

/** \brief Start a download, or only post the result if the blob is stored. \param job copied */
void transfer_fetch(struct transfer *transfer, const struct transfer_job *job);
/** \brief Cancel a download; a result that is already posted is still delivered. */
void transfer_cancel(struct transfer *transfer, uint64_t rollout, uint64_t source, uint32_t chunk);

#endif
