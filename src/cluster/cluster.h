/**
 * The cluster layer of a node on the users' platform: membership over UDP datagrams, a local copy
 * of the state that the platform publishes, read from its store or from peers, and an HTTP service
 * for calls between nodes.
 *
 * Runs on one event loop and thread. Times are microseconds of cluster_now().
 */
#ifndef SHUNTRUN_CLUSTER_H
#define SHUNTRUN_CLUSTER_H

#include "base/settings.h"
#include "core/rate/rate_ranking.h"
#include "core/membership/load_targets.h"
#include "core/membership/membership.h"
#include "core/store/reader_role.h"
#include "core/store/state_cache.h"
#include "core/wake_watch.h"
#include "core/routing/zone_map.h"
#include "net/http_service.h"

#include <uv.h>

struct cluster;
struct crash_sync;
struct store_reader;
struct state_sync;

struct cluster_callbacks {
    void *context;
    /** An item of the platform state was added, changed or removed. */
    void (*item_changed)(void *context, const struct state_item *item);
    /** A load report of a loader's engine was received; may be NULL. */
    void (*load_received)(void *context, const Shuntrun__EngineLoad *load);
    /** Another node, at `from`, sent the rate limit that a backend states; may be NULL. */
    void (*rate_received)(void *context, uint32_t from, const Shuntrun__RateStatement *rate);
    /** A call from another node was received that the cluster does not handle; may be NULL. */
    service_handler *call_received;
    /** Another node sent new evidence of requests that crash backends; may be NULL. */
    void (*suspects_changed)(void *context);
    /**
     * Another node reported an earlier process of this node; may be NULL.
     * \param heard_at time of the last message from that process
     * \param engine_born start of its engine that it reported last, 0: none
     */
    void (*predecessor_reported)(void *context, uint64_t heard_at, uint64_t engine_born);
    /** The process runs again after a pause. */
    void (*resumed_after_pause)(void *context, const struct wake *wake);
};

struct cluster {
    uv_loop_t *loop;
    const struct settings *settings;
    struct cluster_callbacks callbacks;
    struct membership *membership;
    struct zone_map *zones; /**< lives as long as the process */
    struct state_cache *state;
    struct http_service *service;
    bool holds_full_state; /**< copies the whole platform state, not only the operator's items */
    struct store_reader *reader; /**< NULL on nodes that never read the store */
    struct reader_role role;
    struct state_sync *sync;
    struct crash_sync *crashes; /**< evidence of requests that crash backends */
    uv_udp_t socket;
    uv_timer_t timer;
    uint16_t port; /**< for datagrams and calls, the same on all nodes */
    uint64_t next_maintenance_at;
    uint64_t operator_revision;        /**< newest change by the operator that is known here */
    uint64_t pushed_operator_revision; /**< operator changes up to here were pushed to others */
    uint64_t pushed_revision;          /**< all changes up to here were pushed to others */
    struct wake_watch wake_watch;
    uv_prepare_t clock_check;
    uint64_t opened_at;
    bool has_operator_state; /**< the operator's items have been received once */
    bool started;            /**< the state and most members have been known once */
    uint64_t heard_at;       /**< time of the last message from another node, 0: none yet */
    uint64_t isolated_until; /**< end of the last isolation, see cluster_was_isolated(); 0: none */
    struct random_stream random;
    struct load_targets load_targets;
    struct rate_ranking rate_ranking;
    uint32_t last_alive_count; /**< live members when they were last logged */
};

/** \brief Open the sockets and start the timers. \return 0, or 1 after logging the error */
int cluster_open(struct cluster *cluster, uv_loop_t *loop, const struct settings *settings,
                 enum member_role role, const struct cluster_callbacks *callbacks);
/** \return time of the monotonic clock, microseconds */
uint64_t cluster_now(void);
/** \brief Take over the seeds of the settings, which have changed. */
void cluster_reload_seeds(struct cluster *cluster);
/** \brief Announce to the gateways at once that this node is draining: it takes no new work. */
void cluster_announce_draining(struct cluster *cluster);
/** \brief Send one message to one member. */
void cluster_send(struct cluster *cluster, uint32_t address,
                  const Shuntrun__MemberMessage *message);
/**
 * \brief Send a load report of the engine to the gateways selected by core/membership/load_targets.
 * \param far send it also to those in other regions
 * \param rate_window_us window of the engine's rate limit, of which each gateway is told its rank;
 * 0: it has no limit
 */
void cluster_send_load(struct cluster *cluster, Shuntrun__EngineLoad *load, bool far,
                       uint64_t rate_window_us);
/** \brief Push state changes that this node has learned since the last call to other nodes. */
void cluster_propagate_changes(struct cluster *cluster);
/** \return whether this node reads the platform's store at present */
bool cluster_reads_store(const struct cluster *cluster);
/** \return whether any reader of the platform's store, this node or another, gets answers */
bool cluster_store_is_healthy(const struct cluster *cluster);
/**
 * \return whether after `since` this node received no message from any other for a while. What it
 * learned late then was delayed by its own isolation, not by the store.
 */
bool cluster_was_isolated(const struct cluster *cluster, uint64_t since);
/** \return socket address of a node's datagrams and HTTP service for other nodes */
struct sockaddr_in cluster_address(const struct cluster *cluster, uint32_t address);
/** \return time since the last message from any other node, us; 0: there was none yet */
uint64_t cluster_silence_us(const struct cluster *cluster);
/** \return number of live gateways, at least 1 */
uint32_t cluster_gateway_count(const struct cluster *cluster);
/** \return distance of a zone: 0 the own zone, 1 the own region, 2 another region */
uint16_t cluster_distance(const struct cluster *cluster, const char *zone);

#endif
