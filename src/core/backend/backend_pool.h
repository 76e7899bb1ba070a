/**
 * The backends that a gateway may send requests to directly: what the platform's backend list says,
 * the load that their machines report, and their health as this gateway's own requests show it.
 *
 * A backend id outlives one process: each run of the process is called an incarnation of the
 * backend, and is told apart by its start time (`born`) where the list gives one.
 *
 * This module does no I/O and reads no clock. Times are microseconds of a monotonic clock.
 */
#ifndef SHUNTRUN_BACKEND_POOL_H
#define SHUNTRUN_BACKEND_POOL_H

#include "core/rate/rate_limit.h"
#include "core/random.h"
#include "core/routing/residency.h"
#include "core/rate/rate_probe.h"
#include "core/rate/stated_rate.h"

#include <stdbool.h>
#include <stdint.h>

/** As long as a key of the store may be. */
#define BACKEND_ID_SIZE 200
#define BACKEND_NAME_SIZE 64
#define BACKEND_ADDRESS_SIZE 24

/** When backends of a service are cold, and what they accept then. All 0: they never are. */
struct cold_limit {
    struct rate_limit rate; /**< `per_s` is 0: no limit */
    uint64_t start_us;      /**< time for which a backend is cold after its start */
};

/** Entry of the platform's backend list. */
struct backend_listing {
    char id[BACKEND_ID_SIZE]; /**< a later incarnation may use the same id */
    uint64_t born; /**< start time by the backend's own clock, 0: not given; tells incarnations
                        under one id apart, so only equality and order count */
    char service[BACKEND_NAME_SIZE];
    char address[BACKEND_ADDRESS_SIZE]; /**< "IP:PORT" */
    char zone[BACKEND_NAME_SIZE];
    uint32_t slots;    /**< requests that the backend runs concurrently */
    bool draining;     /**< the backend is leaving and accepts no new requests */
    bool has_weights;  /**< the entry names a model */
    uint64_t version;  /**< of the weights; 0: none */
    uint64_t sequence; /**< increases with each entry of one incarnation; 0: not given */
    uint32_t cold_ms;  /**< time for which it stays cold from the writing of the entry */
};

/** Load report from the machine of a model engine. */
struct backend_load {
    uint32_t running;
    uint32_t waiting;
    uint64_t memory_used; /**< of the KV cache, in units of `memory_total` */
    uint64_t memory_total;
    uint64_t born;          /**< start time of the reporting incarnation; 0: not given */
    uint64_t version;       /**< of the weights; 0: none */
    bool loading;           /**< accepts no requests until other weights are loaded */
    bool staged;            /**< a newer version is completely downloaded */
    bool link_slow;         /**< its network link is slow: requests may arrive late */
    uint32_t pace_permille; /**< above 1000: slower than nominal */
    uint32_t near_gateways; /**< gateways of the engine's region that get its load reports */
    uint32_t far_gateways;  /**< the same in other regions; both 0: not known */
    uint32_t turn_ms; /**< until it stops accepting requests to load other weights; 0: not known */
    bool leaving;     /**< the engine told its machine that it is about to shut down */
    struct rate_rank rate_rank; /**< of this gateway among those that get these reports */
};

/** How one request to a backend ended, as far as the backend's health is concerned. */
enum backend_result {
    BACKEND_SUCCEEDED,
    BACKEND_ERROR,       /**< an answer that reports a failure of the backend */
    BACKEND_REFUSED,     /**< not run: the backend is full */
    BACKEND_BROKEN,      /**< connection lost, or invalid bytes */
    BACKEND_TIMED_OUT,   /**< no answer in time */
    BACKEND_UNREACHABLE, /**< no connection was established */
    BACKEND_CANCELLED,   /**< cancelled by this gateway; says nothing about the backend */
};

struct backend {
    struct backend_listing listing; /**< `born` is that of the latest known incarnation */
    uint64_t listed_born;           /**< `born` as the list gives it */
    uint32_t references;            /**< held by the pool, requests and connections */
    bool evacuated;                 /**< the operator evacuates its zone */
    bool listed;                    /**< false once the pool has removed it */
    uint64_t unlisted_at;           /**< time at which this gateway learned of the unlisting */
    uint64_t unlisted_until;        /**< end of the grace period after an unlisting; 0: listed */
    bool unlisted_in_outage;        /**< a store outage may have caused the unlisting */
    uint64_t presumed_down_until;   /**< 0: not presumed down */
    bool leaving;                   /**< an answer said that it is about to shut down */
    bool leaving_recorded;          /**< `leaving_known_since` was set */
    uint64_t leaving_known_since;   /**< time by which it had begun to leave; 0: not known */
    uint64_t backoff_until;         /**< end of the backoff that it asked for; 0: none */
    uint64_t region;                /**< bit of its region in the zone map; 0: not known */
    uint16_t distance;              /**< 0 same zone, 1 same region, 2 other region */
    uint32_t in_flight;             /**< requests of this gateway */
    uint32_t awaiting_first_byte;   /**< those of them without a first byte of an answer */
    uint64_t pending_prompt_tokens; /**< prompt tokens of those */
    uint64_t awaiting_since;  /**< last time one of them was answered, or began with no other */
    uint64_t last_answer_at;  /**< time of the last first byte; 0: none yet */
    uint64_t last_latency_us; /**< time to first byte of the last answer; 0: not known */
    struct backend_load load;
    uint64_t load_at;              /**< time of the load report; 0: none */
    uint64_t cold_until;           /**< it is cold until then, as it stated; 0: it is not */
    uint64_t restarted_at;         /**< time at which a load report showed its start; 0: none did */
    struct rate_rank rate_rank;    /**< of this gateway; used while the rate is limited */
    uint64_t rate_rank_at;         /**< time at which the rank was learned */
    struct stated_rate rate;       /**< limit that it states in its answers */
    struct rate_probe rate_probe;  /**< requests that show whether that limit has ended */
    uint64_t rate_changed_at;      /**< an answer to this gateway changed `rate`; 0: none did */
    uint64_t rate_announced_at;    /**< last time other nodes were told of `rate` */
    struct send_window sends;      /**< requests that this gateway sent there lately */
    uint64_t turn_at;              /**< it accepts no requests from then on; 0: not known */
    int32_t sent_since_report;     /**< own requests started minus ended since the report */
    uint32_t started_since_report; /**< own requests started since the report */
    double rounding_draw;          /**< in [0, 1), per report: rounds a fractional slot share */
    int64_t tokens_since_report;   /**< own prompt tokens started minus answered since the report */
    uint32_t failures;             /**< consecutive */
    double failure_rate;           /**< EWMA of the share of failed requests */
    double refusal_rate;           /**< EWMA of the share of refused requests */
    double latency_us;             /**< EWMA of the time to first byte; 0: not known */
    uint64_t ejected_until;        /**< gets no requests before, and then one probe first */
    uint64_t ejection_us;          /**< length of the current ejection */
    bool probing;                  /**< the probe request is in flight */
    void *connections;             /**< owned by the I/O layer */
    uint32_t table_index;          /**< in the pool's table */
    uint32_t group_index;          /**< among the backends of its service */
};

/** \return start time of its incarnation, as the list or else its load report gives it; 0: unknown
 */
static inline uint64_t backend_born(const struct backend *backend)
{
    return backend->listing.born ? backend->listing.born : backend->load.born;
}

struct backend_pool;

struct backend_pool_settings {
    uint32_t queue_per_engine;     /**< requests an engine may hold beyond its slots */
    uint32_t tokens_per_engine;    /**< prompt tokens that may be pending at an engine */
    uint64_t max_load_age_us;      /**< older load reports are not used */
    uint64_t max_near_load_age_us; /**< the same for the own region, which reports more often */
    uint64_t unlisted_grace_us;    /**< time for which an unlisted backend stays usable */
    uint64_t min_drain_us;         /**< a leaving backend serves for at least this time */
    uint64_t created;              /**< time at which this gateway started; 0: long ago */
    const struct zone_map *zones;  /**< NULL: the regions of backends are not known */
};

struct backend_pool *backend_pool_create(const struct backend_pool_settings *settings,
                                         uint64_t seed);
void backend_pool_destroy(struct backend_pool *pool);
/** \brief Replace the settings. */
void backend_pool_configure(struct backend_pool *pool,
                            const struct backend_pool_settings *settings);

/** \brief Add a backend, or update it from its new listing. \return the backend */
struct backend *backend_pool_list(struct backend_pool *pool, const struct backend_listing *listing,
                                  uint16_t distance);
/** When and how an entry disappeared from the list. */
struct backend_unlisting {
    uint64_t learned; /**< time at which the first gateway learned of it */
    bool from_outage; /**< the store may have lost the entry in an outage */
    bool undated;     /**< a snapshot lacked it: `learned` is a lower bound */
};

/**
 * \brief Handle the removal of a backend from the list. It stays usable for `unlisted_grace_us`, as
 * a list may drop live backends and list them again; one that is known to be leaving is removed at
 * once. One that a store outage may have dropped stays until it had time to list itself again.
 * \return the backend, or NULL when it gets no further requests
 */
const struct backend *backend_pool_unlist(struct backend_pool *pool, const char *id,
                                          const struct backend_unlisting *drop, uint64_t now);
/**
 * \brief Remove unlisted backends whose grace period is over.
 * \param sound false while the store fails: backends dropped in the outage then stay, as they
 * cannot list themselves again
 */
void backend_pool_expire(struct backend_pool *pool, bool sound, uint64_t now);
/**
 * \brief Begin or end the evacuation of a zone. Its backends, also those that are listed later, get
 * no requests; those that they run go on.
 * \return number of backends whose evacuation began or ended
 */
uint32_t backend_pool_set_evacuated(struct backend_pool *pool, const char *zone, bool evacuated);
/** \return number of zones that are evacuated */
uint32_t backend_pool_evacuated_zones(const struct backend_pool *pool);
/** \brief Record that a backend stays cold until a time; a later time that is known already counts.
 */
void backend_record_cold(struct backend *backend, uint64_t until);
/** \brief Record the rank of this gateway among those that send to a backend. */
void backend_record_rate_rank(struct backend *backend, const struct rate_rank *rank, uint64_t now);
/** \brief Record that a request was written to the backend. */
void backend_record_send(struct backend *backend, uint64_t now);
/** \return whether the backend is cold, as far as known */
bool backend_is_cold(const struct backend *backend, const struct cold_limit *limit, uint64_t now);
/** \brief Remove a backend: another process has its address. */
void backend_pool_remove(struct backend_pool *pool, struct backend *backend);
/** A backend that is presumed down gets no requests for this long unless there is evidence
 *  that it is up again: after a crash it is back within seconds, and a live one that was presumed
 *  down loses no more than this. */
#define BACKEND_DOWN_US ((uint64_t)3000000)
/** What a backend states about itself in an answer. */
struct backend_statement {
    bool leaving;        /**< it is about to shut down */
    uint64_t backoff_us; /**< time for which it asks for no requests from here; 0: none */
    bool works;          /**< it has completed a request successfully, or begun to answer one */
    struct heard_rate rate;
};

/** What a statement changed. */
struct backend_statement_effect {
    bool now_leaving;    /**< it was not known to be leaving */
    bool now_backed_off; /**< a backoff has begun or was extended */
    bool works_again;    /**< the first request after a backoff worked */
    bool rate_changed;   /**< a rate limit began, changed or ended */
};

/** Longer backoffs are cut to an hour; the backend can ask again then. */
#define BACKEND_MAX_BACKOFF_US ((uint64_t)3600000000)
/**
 * \brief Apply what a backend states about itself. Statements hold for its incarnation, and
 * no list entry revokes them: `leaving` holds until another incarnation is known, a backoff for as
 * long as requested, also when the list names another incarnation in the meantime. After a backoff
 * the backend gets one request at a time until one works.
 * \return what has changed
 */
struct backend_statement_effect
backend_pool_apply_statement(struct backend_pool *pool, struct backend *backend,
                             const struct backend_statement *statement, uint64_t now);
/** \brief Record that this incarnation is leaving; the first call counts.
 * \param since a time by which it had announced that, or the list had shown it */
void backend_record_leaving(struct backend *backend, uint64_t since);
/** \return whether an exit of this incarnation now would be one that it or the list announced, and
 * its drain time is known to be over */
bool backend_exit_is_planned(const struct backend_pool *pool, const struct backend *backend,
                             uint64_t now);
/** \brief Presume this incarnation down: it exited unannounced. The list may name a later one. */
void backend_pool_mark_down(struct backend_pool *pool, struct backend *backend, uint64_t now);
/**
 * \brief Apply a load report. A report of a later incarnation than the listed one replaces the
 * backend by that incarnation; one of an earlier incarnation is outdated and ignored.
 * \return the backend, or NULL when none has this address or the report is outdated
 */
struct backend *backend_pool_report(struct backend_pool *pool, const char *address,
                                    const struct backend_load *load, uint64_t now);

/** \return the backend that is listed under an id, or NULL */
const struct backend *backend_pool_find(const struct backend_pool *pool, const char *id);
/** \return the backend that is listed at an address, or NULL */
struct backend *backend_pool_find_address(const struct backend_pool *pool, const char *address);
uint32_t backend_pool_count(const struct backend_pool *pool);
struct backend *backend_pool_at(const struct backend_pool *pool, uint32_t index);
struct backend *backend_retain(struct backend *backend);
/** \brief Drop a reference; the last one frees the backend. */
void backend_release(struct backend *backend);

#define BACKEND_MAX_EXCLUDED 4

/** What one request needs of a backend. */
struct backend_criteria {
    const char *service;
    bool engine;                  /**< the service runs model engines, which report their load */
    uint32_t tokens;              /**< prompt tokens of this request */
    uint32_t mean_prompt_tokens;  /**< prompt tokens of the service's average request */
    uint32_t context_tokens;      /**< tokens that this request may need in the KV cache */
    uint64_t kv_cache_tokens;     /**< tokens that fit into an engine's KV cache; 0: not known */
    double prefill_tokens_per_ms; /**< rate at which an engine processes prompts */
    uint64_t min_version;         /**< of the weights; 0: any */
    uint64_t next_min_version;    /**< minimum soon: older engines need it downloaded already */
    uint64_t later_min_version;   /**< minimum later: engines that may be late need it already */
    uint64_t required_version;    /**< of the weights; 0: any */
    uint64_t coming_version;      /**< that empty engines are about to load; 0: not known */
    const struct backend *excluded[BACKEND_MAX_EXCLUDED];
    uint32_t excluded_count;
    uint32_t gateways;          /**< that send to the same backends */
    bool any_load;              /**< full backends are accepted, too */
    bool may_have_run;          /**< an attempt may have run it: this one, mostly the last, probes a
                                   backend only if no other one has room */
    struct cold_limit cold;     /**< what a cold backend of the service bears */
    struct residency residency; /**< regions in which the request may be processed */
    /** Part of an engine's slots that this request must leave free, and of the prompt tokens that
     *  may be pending there; 0: none. Other services than engines have no reserve. */
    double reserved_share;
    /** Expected duration of the request; 0: not known. An engine that stops before its end to load
     *  other weights gets it only if there is no other engine: its other slots would idle until the
     *  request ends. */
    uint64_t expected_us;
    /** Not 0: an engine with no report or answer after this time is ruled out, as it is as silent
     *  as the one that the request would leave. */
    uint64_t heard_after;
    /** Not 0: rendezvous hashing with this key selects among the backends with room, so that
     *  identical requests meet at one backend and others rarely do. */
    uint64_t rank_key;
    /** With a rank key: incarnations (crash_incarnation_key()) on which other requests, which may
     * crash a backend, run in isolation or have precedence to do so. */
    const uint64_t *barred_incarnations;
    uint32_t barred_count;
    bool isolated; /**< barred incarnations count as full; if false, they are the last choice */
    uint64_t leased_incarnation; /**< preferred to all others; 0: none */
};

enum backend_choice_result {
    BACKEND_FOUND,
    BACKEND_NONE, /**< no backend is eligible */
    BACKEND_FULL, /**< no eligible backend has room */
};

/** \brief Choose a backend for one request. */
enum backend_choice_result backend_pool_choose(struct backend_pool *pool,
                                               const struct backend_criteria *criteria,
                                               uint64_t now, struct backend **chosen);
/** \return whether the list names a backend of the service in an allowed region */
bool backend_pool_has_home(const struct backend_pool *pool, const char *service,
                           const struct residency *residency);
/** \return whether an eligible backend that needs no probe has room for the request */
bool backend_pool_has_room(struct backend_pool *pool, const struct backend_criteria *criteria,
                           uint64_t now);
/**
 * \return first time at which one of the backends that could serve the request may get one, when
 * all of them are backed off, or used up the quota of the rate that they state, also those that
 * `excluded` names; 0: one of them is neither, or there are none
 */
uint64_t backend_pool_withheld_until(const struct backend_pool *pool,
                                     const struct backend_criteria *criteria, uint64_t now);
/** \return whether some backend could serve the request after a wait: for a slot, for the end of an
 * ejection, a backoff or a presumed outage, for an answer, or for weights that it is about to load;
 * also one that `excluded` names */
bool backend_pool_may_serve(const struct backend_pool *pool,
                            const struct backend_criteria *criteria, uint64_t now);
/** \return slots that requests of `expected_us` can take at all backends that are eligible for the
 * request */
uint32_t backend_pool_slots(const struct backend_pool *pool,
                            const struct backend_criteria *criteria, uint64_t now);
/** \return whether a request may still be sent to this backend, with weights that it accepts */
bool backend_may_start_request(const struct backend_pool *pool, const struct backend *backend,
                               const struct backend_criteria *criteria, uint64_t now);
/** \return requests running or waiting at a backend, as far as known */
uint32_t backend_occupancy(const struct backend_pool *pool, const struct backend *backend,
                           uint64_t now);

/** \brief Record that a request was sent. \param tokens of its prompt */
void backend_request_started(struct backend *backend, uint32_t tokens, uint64_t now);
/**
 * \brief Record the first byte of an answer, or that none will arrive.
 * \param tokens as passed to backend_request_started()
 * \param latency_us time from sending to the first byte; 0: none arrived
 */
void backend_request_answered(struct backend *backend, uint32_t tokens, uint64_t latency_us,
                              uint64_t now);
/**
 * \brief Record the end of a request.
 * \param latency_us time to the first byte of the answer; 0: none arrived
 * \return whether the backend was ejected
 */
bool backend_request_ended(struct backend_pool *pool, struct backend *backend,
                           enum backend_result result, uint64_t latency_us, uint64_t now);

#endif
