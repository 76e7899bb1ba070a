/**
 * What every node on the users' platform shares: membership by datagrams, a copy of what the
 * platform publishes, read from its store or from peers, and a small HTTP service between nodes.
 *
 * One loop, one thread.
 */
#ifndef SHUNTRUN_CLUSTER_H
#define SHUNTRUN_CLUSTER_H

#include "base/settings.h"
#include "core/load_targets.h"
#include "core/membership.h"
#include "core/reader_role.h"
#include "core/state_cache.h"
#include "core/wake_watch.h"
#include "net/http_service.h"

#include <uv.h>

struct cluster;
struct crash_sync;
struct store_reader;
struct state_sync;

struct cluster_callbacks {
    void *context;
    /** An item of what the platform publishes is new, changed or gone. */
    void (*item_changed)(void *context, const struct state_item *item);
    /** A loader told the load of its engine; may be NULL. */
    void (*load_received)(void *context, const Shuntrun__EngineLoad *load);
    /** A call of another node that is not the cluster's own; may be NULL. */
    service_handler *call_received;
    /** Another node told of requests that crash back ends; may be NULL. */
    void (*suspects_changed)(void *context);
    /** Another node heard an earlier process of this one, and which start of its engine that
     *  reported last, 0: none; may be NULL. */
    void (*predecessor_reported)(void *context, uint64_t heard_at, uint64_t engine_born);
    /** The process did not run for a while. */
    void (*resumed_after_pause)(void *context, const struct wake *wake);
};

struct cluster {
    uv_loop_t *loop;
    const struct settings *settings;
    struct cluster_callbacks callbacks;
    struct membership *membership;
    struct state_cache *state;
    struct http_service *service;
    bool holds_full_state; /**< all that the platform publishes, not only the operator's part */
    struct store_reader *reader; /**< NULL on nodes that never read the store */
    struct reader_role role;
    struct state_sync *sync;
    struct crash_sync *crashes; /**< requests that crash back ends */
    uv_udp_t socket;
    uv_timer_t timer;
    uint16_t port; /**< of datagrams and calls, the same on all nodes */
    uint64_t next_maintenance_at;
    uint64_t operator_revision; /**< of the newest change by the operator that is known here */
    uint64_t pushed_operator_revision; /**< up to which others were told of such changes */
    uint64_t pushed_revision;          /**< up to which others were told of all changes */
    struct wake_watch wake_watch;
    uv_prepare_t clock_check;
    uint64_t opened_at;
    bool has_operator_state; /**< the operator's part of the state came, for the first time */
    bool started;            /**< the state and most members are known, or were once */
    uint64_t heard_at;       /**< time of the last message of another node, 0: none yet */
    uint64_t isolated_until; /**< end of the last time in which no other node was heard, 0: none */
    struct random_stream random;
    struct load_targets load_targets;
    uint32_t last_alive_count; /**< members alive at the last look */
};

/** \return 0, or 1 after the error was logged */
int cluster_open(struct cluster *cluster, uv_loop_t *loop, const struct settings *settings,
                 enum member_role role, const struct cluster_callbacks *callbacks);
uint64_t cluster_now(void);
/** \brief Tell the gateways at once that this node takes no new work. */
void cluster_announce_draining(struct cluster *cluster);
/** \brief Send one message to one member. */
void cluster_send(struct cluster *cluster, uint32_t address,
                  const Shuntrun__MemberMessage *message);
/**
 * \brief Send the load of the engine to the gateways that are to hear of it.
 * \param far also to those in other regions
 */
void cluster_send_load(struct cluster *cluster, Shuntrun__EngineLoad *load, bool far);
/** \brief Tell others of what this node has learned lately. */
void cluster_propagate_changes(struct cluster *cluster);
/** \return whether this node reads the platform's store now */
bool cluster_reads_store(const struct cluster *cluster);
/** \return whether this node, or one that tells it, gets answers of the store */
bool cluster_store_is_healthy(const struct cluster *cluster);
/**
 * \return whether this node heard from no other for a while after `since`: what it learns late then
 * is its own fault, not the store's
 */
bool cluster_was_isolated(const struct cluster *cluster, uint64_t since);
/** \brief Address of a node's service for other nodes. */
struct sockaddr_in cluster_address(const struct cluster *cluster, uint32_t address);
/** \return gateways that are alive, at least 1 */
uint32_t cluster_gateway_count(const struct cluster *cluster);
/** \return 0 same zone, 1 same region, 2 other region */
uint16_t cluster_distance(const struct cluster *cluster, const char *zone);

#endif
