/**
 * Chunk scheduling for one version of one model on one machine.
 *
 * A swarm decides which chunk to fetch next and from whom: a peer or the origin. It holds no data,
 * clock or socket: the shell drives it with events, and it answers through `struct swarm_driver`.
 * Members are named by id (hash_name of the machine); SWARM_ORIGIN names the origin.
 *
 * Who reads a chunk from the origin is decided without talking. Each chunk has a ladder: the best
 * members by rendezvous weight, then the best two of the node's own region. The first `budget` read
 * at once; a later one first waits, then asks those before it, and reads only when none of them has
 * the chunk or is about to read it. So a split fleet gets one copy on each side.
 *
 * Times are microseconds of any clock that does not step back. Not thread-safe: one owner.
 */
#ifndef SHUNTRUN_SWARM_H
#define SHUNTRUN_SWARM_H

#include "core/member.h"

#include <stdbool.h>
#include <stdint.h>

#define SWARM_ORIGIN 0ULL
#define SWARM_GLOBAL_RANKS 4
#define SWARM_REGION_RANKS 2
#define SWARM_PREFERENCE_LIST_SIZE (SWARM_GLOBAL_RANKS + SWARM_REGION_RANKS)
#define SWARM_MAX_NEIGHBOURS 48
#define SWARM_MAX_IN_FLIGHT 96

/** Who may read which chunk from the origin; immutable and shared by reference count. */
struct swarm_plan;

/**
 * \brief Rank members for every chunk of a rollout.
 * \param rollout key of the version, for example a hash of the manifest digest
 * \param members sorted by id; copied
 */
struct swarm_plan *swarm_plan_create(uint64_t rollout, uint32_t chunk_count,
                                     const struct member *members, uint32_t member_count);
struct swarm_plan *swarm_plan_retain(struct swarm_plan *plan);
void swarm_plan_release(struct swarm_plan *plan);

struct swarm_settings {
    uint32_t origin_budget;        /**< copies that the origin may give at once */
    uint32_t download_window;      /**< chunk requests in flight */
    uint32_t peer_window;          /**< requests in flight to one peer */
    uint32_t upload_limit;         /**< uploads queued or running before "busy" */
    uint32_t neighbours;           /**< peers chosen by this node */
    uint64_t announce_us;          /**< least time between announcements */
    uint64_t neighbour_timeout_us; /**< a silent neighbour is replaced after this */
    uint64_t chunk_timeout_us;     /**< a request without its chunk is given up */
    uint64_t busy_backoff_us;      /**< pause before a busy peer is asked again */
    uint64_t origin_copy_us;       /**< time that the origin's link takes for one copy */
    uint64_t origin_rank_delay_us; /**< wait of a later rank, for each rank before it */
    uint64_t join_delay_us;        /**< wait for neighbours before the first origin read */
};

/** Announcement to one neighbour; pointers are valid during the call only. */
struct swarm_update {
    uint64_t rollout;
    uint32_t sequence;
    uint32_t upload_queue;
    const uint64_t *have_all; /**< bitmap in a full update, else NULL */
    uint32_t have_words;      /**< its length */
    const uint32_t *have_new; /**< chunks since the last update */
    uint32_t new_count;
    bool want_full; /**< the sender needs a full update */
};

enum swarm_failure {
    SWARM_FAILURE_BUSY,    /**< the source has no upload slot now */
    SWARM_FAILURE_PENDING, /**< the source will get the chunk itself */
    SWARM_FAILURE_ABSENT,  /**< the source does not have the chunk */
    SWARM_FAILURE_ERROR,   /**< refused, broken or timed out */
    SWARM_FAILURE_CORRUPT, /**< the bytes did not match the digest */
};

enum swarm_upload {
    SWARM_UPLOAD_SERVE,
    SWARM_UPLOAD_BUSY,
    SWARM_UPLOAD_PENDING,
    SWARM_UPLOAD_ABSENT
};

struct swarm_driver {
    void *context;
    void (*fetch)(void *context, uint64_t source, uint32_t chunk);
    void (*cancel)(void *context, uint64_t source, uint32_t chunk);
    void (*announce)(void *context, uint64_t peer, const struct swarm_update *update);
};

struct swarm_counters {
    uint64_t chunks_from_peers;
    uint64_t chunks_from_origin;
    uint64_t chunks_corrupt;
    uint64_t timeouts;
    uint64_t refusals;
};

struct swarm;

/** \param seed of the node's own random choices; ties only */
struct swarm *swarm_create(const struct swarm_settings *settings, uint64_t self, uint64_t rollout,
                           uint32_t chunk_count, uint64_t seed, const struct swarm_driver *driver);
void swarm_destroy(struct swarm *swarm);

/** \brief Chunks already held, for example shared with an older version; before swarm_start(). */
void swarm_mark_held(struct swarm *swarm, uint32_t chunk);

/** \brief Give the first or a changed target set; retains the plan. */
void swarm_set_plan(struct swarm *swarm, uint64_t now, struct swarm_plan *plan);

void swarm_on_update(struct swarm *swarm, uint64_t now, uint64_t peer,
                     const struct swarm_update *update);
/** \brief A chunk arrived and its digest was checked. \return false when it was already held. */
bool swarm_on_chunk(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk);
/** \param retry_after_us least wait that the source asked for, 0 when none */
void swarm_on_failure(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk,
                      enum swarm_failure failure, uint64_t retry_after_us);
/** \brief Timeouts, announcements and later ranks; call at least every `announce_us`. */
void swarm_on_tick(struct swarm *swarm, uint64_t now);

/** \brief Whether to serve a chunk to a peer. \param queue uploads queued or running now */
enum swarm_upload swarm_admit_upload(const struct swarm *swarm, uint32_t chunk, uint32_t queue);
/** \brief Uploads queued or running now; told to neighbours. */
void swarm_set_upload_queue(struct swarm *swarm, uint32_t queue);

bool swarm_complete(const struct swarm *swarm);
uint32_t swarm_held_count(const struct swarm *swarm);
const struct swarm_counters *swarm_counters(const struct swarm *swarm);
/** \brief Ids of the present neighbours. \return count, at most SWARM_MAX_NEIGHBOURS */
uint32_t swarm_neighbours(const struct swarm *swarm, uint64_t ids[SWARM_MAX_NEIGHBOURS]);

#endif
