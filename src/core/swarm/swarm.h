/**
 * Chunk scheduling for one version of one model on one machine.
 *
 * A swarm decides which chunk to fetch next and from which source: a peer or the origin. It holds
 * no data, clock or socket: the caller reports events to it, and it issues requests through
 * `struct swarm_driver`. Members are identified by id (hash_name of the machine); SWARM_ORIGIN
 * stands for the origin.
 *
 * Which member reads a chunk from the origin is decided without coordination. Each chunk has a
 * preference list: the members with the highest rendezvous weights, then the best two of the node's
 * own region. The first `origin_budget` members read at once. A member of lower rank waits, then
 * asks the members ranked before it, and reads from the origin only if none of them has the chunk
 * or is about to read it. A partitioned fleet thus reads one copy on each side.
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

/** Preference lists of all chunks; immutable and shared by reference count. */
struct swarm_plan;

/**
 * \brief Rank the members for every chunk of a rollout.
 * \param rollout hash key of the version, for example a hash of the manifest digest
 * \param members sorted by id; copied
 * \return a plan with one reference, to be released with swarm_plan_release()
 */
struct swarm_plan *swarm_plan_create(uint64_t rollout, uint32_t chunk_count,
                                     const struct member *members, uint32_t member_count);
struct swarm_plan *swarm_plan_retain(struct swarm_plan *plan);
void swarm_plan_release(struct swarm_plan *plan);

struct swarm_settings {
    uint32_t origin_budget;   /**< members that may read a chunk from the origin at once */
    uint32_t download_window; /**< maximum chunk requests in flight to neighbours */
    uint32_t peer_window;     /**< maximum requests in flight to one peer */
    uint32_t upload_limit; /**< queued or running uploads; further requests are refused as busy */
    uint32_t neighbours;   /**< number of neighbours that this node selects */
    uint64_t announce_us;  /**< minimum time between announcements to one neighbour */
    uint64_t neighbour_timeout_us; /**< time without an announcement after which a neighbour is
                                      replaced */
    uint64_t chunk_timeout_us;     /**< maximum time of a request to a peer */
    uint64_t busy_backoff_us;      /**< initial backoff for a busy peer */
    uint64_t origin_copy_us;       /**< transfer time of one copy over the origin's link */
    uint64_t origin_rank_delay_us; /**< delay per rank before a lower rank takes over */
    uint64_t join_delay_us; /**< delay of the first origin read, to learn what neighbours hold */
};

/** Announcement of held chunks to one neighbour; pointers are valid during the call only. */
struct swarm_update {
    uint64_t rollout;
    uint32_t sequence;
    uint32_t upload_queue;
    const uint64_t *have_all; /**< bitmap of all held chunks in a full update, else NULL */
    uint32_t have_words;      /**< length of `have_all` in words */
    const uint32_t *have_new; /**< chunks received since the last update */
    uint32_t new_count;
    bool want_full; /**< the sender needs a full update */
};

enum swarm_failure {
    SWARM_FAILURE_BUSY,    /**< the source has no free upload slot */
    SWARM_FAILURE_PENDING, /**< the source is fetching the chunk */
    SWARM_FAILURE_ABSENT,  /**< the source does not have the chunk */
    SWARM_FAILURE_ERROR,   /**< refused, broken or timed out */
    SWARM_FAILURE_CORRUPT, /**< the bytes do not match the digest */
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

/** \param seed of the random choices between equally good chunks and peers */
struct swarm *swarm_create(const struct swarm_settings *settings, uint64_t self, uint64_t rollout,
                           uint32_t chunk_count, uint64_t seed, const struct swarm_driver *driver);
void swarm_destroy(struct swarm *swarm);

/**
 * \brief Mark a chunk as already held, for example one shared with an older version; before the
 *        first swarm_set_plan().
 */
void swarm_mark_held(struct swarm *swarm, uint32_t chunk);

/** \brief Set the plan for the first or a changed set of members; retains the plan. */
void swarm_set_plan(struct swarm *swarm, uint64_t now, struct swarm_plan *plan);

void swarm_on_update(struct swarm *swarm, uint64_t now, uint64_t peer,
                     const struct swarm_update *update);
/** \brief Report a received chunk whose digest matches. \return false if it was already held */
bool swarm_on_chunk(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk);
/** \param retry_after_us minimum delay that the source asked for, 0: none */
void swarm_on_failure(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk,
                      enum swarm_failure failure, uint64_t retry_after_us);
/**
 * \brief Handle timeouts, announcements and reads due at lower ranks; call at least every
 *        `announce_us`.
 */
void swarm_on_tick(struct swarm *swarm, uint64_t now);

/** \brief Whether to serve a chunk to a peer. \param queue number of uploads queued or running */
enum swarm_upload swarm_admit_upload(const struct swarm *swarm, uint32_t chunk, uint32_t queue);
/** \brief Set the number of uploads queued or running, which is announced to neighbours. */
void swarm_set_upload_queue(struct swarm *swarm, uint32_t queue);

bool swarm_complete(const struct swarm *swarm);
uint32_t swarm_held_count(const struct swarm *swarm);
const struct swarm_counters *swarm_counters(const struct swarm *swarm);
/** \brief Ids of the current neighbours. \return count, at most SWARM_MAX_NEIGHBOURS */
uint32_t swarm_neighbours(const struct swarm *swarm, uint64_t ids[SWARM_MAX_NEIGHBOURS]);

#endif
