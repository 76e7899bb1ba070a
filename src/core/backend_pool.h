/**
 * The back ends that requests may be sent to directly: what the platform lists, what their machines
 * report of their load, and what this gateway's own traffic shows of their health.
 *
 * Nothing here has a clock or a socket. Times are microseconds of a clock that does not step back.
 */
#ifndef SHUNTRUN_BACKEND_POOL_H
#define SHUNTRUN_BACKEND_POOL_H

#include "core/random.h"

#include <stdbool.h>
#include <stdint.h>

#define BACKEND_ID_SIZE 64
#define BACKEND_NAME_SIZE 64
#define BACKEND_ADDRESS_SIZE 24

/** What the platform's list says of one back end. */
struct backend_listing {
    char id[BACKEND_ID_SIZE]; /**< may be used again by a later start */
    uint64_t born; /**< tells starts under one id apart, by the back end's own clock: only
                        equality and order count; 0: not said */
    char service[BACKEND_NAME_SIZE];
    char address[BACKEND_ADDRESS_SIZE]; /**< "IP:PORT" */
    char zone[BACKEND_NAME_SIZE];
    uint32_t slots;    /**< requests that it works on at once */
    bool draining;     /**< it leaves and takes no new work */
    bool has_weights;  /**< the list names a model */
    uint64_t version;  /**< of the weights; 0: none */
    uint64_t sequence; /**< rises with each entry that one start writes; 0: not said */
};

/** Load as the machine of a model engine reports it. */
struct backend_load {
    uint32_t running;
    uint32_t waiting;
    uint64_t memory_used; /**< in units of `memory_total` */
    uint64_t memory_total;
    uint64_t born;          /**< of the start that reports; 0: not said */
    uint64_t version;       /**< of the weights; 0: none */
    bool loading;           /**< it takes nothing new until it has other weights */
    bool staged;            /**< it has all of a newer version at hand */
    bool link_slow;         /**< its link is narrow: what is sent there may arrive late */
    uint32_t pace_permille; /**< above 1000: slower than it should be */
    uint32_t near_gateways; /**< gateways of the engine's region that hear of it */
    uint32_t far_gateways;  /**< gateways of other regions that do; both 0: not known */
    uint32_t turn_ms;       /**< until it takes nothing new, as other weights come; 0: not known */
    bool leaving;           /**< it told its machine that it is about to end */
};

/** How one request at a back end ended, as far as its health is concerned. */
enum backend_result {
    BACKEND_SUCCEEDED,
    BACKEND_ERROR,       /**< an answer that reports a failure of its own */
    BACKEND_REFUSED,     /**< not run: it is full */
    BACKEND_BROKEN,      /**< connection lost, or bytes that are no answer */
    BACKEND_SILENT,      /**< nothing came in time */
    BACKEND_UNREACHABLE, /**< no connection came up */
    BACKEND_CANCELLED,   /**< given up here; says nothing of the back end */
};

struct backend {
    struct backend_listing listing; /**< `born`: of the latest start that is known of */
    uint64_t listed_born;           /**< as the list says */
    uint32_t references;            /**< of the pool, of requests and of connections */
    bool listed;                    /**< false: the list has dropped it */
    uint64_t unlisted_at;     /**< time at which this gateway heard that the list dropped it */
    uint64_t unlisted_until;  /**< dropped by the list, but usable until then; 0: listed */
    bool doubtful;            /**< dropped by an outage of the list's keeper, perhaps */
    uint64_t ended_until;     /**< believed to have ended, until then; 0: not */
    bool leaving;             /**< it said in an answer that it is about to end */
    bool leaving_noted;       /**< `leaves_since` was set */
    uint64_t leaves_since;    /**< it is known since then that it leaves; 0: not known since when */
    uint64_t backoff_until;   /**< it asked in an answer to get nothing until then; 0: it did not */
    uint16_t distance;        /**< 0 same zone, 1 same region, 2 other region */
    uint32_t in_flight;       /**< requests of this gateway */
    uint32_t unread;          /**< those of them that have no byte of an answer yet */
    uint64_t unread_tokens;   /**< of their prompts */
    uint64_t unread_since;    /**< last time that one of them was begun alone or answered */
    uint64_t last_answer_at;  /**< time of the last first byte, 0: none yet */
    uint64_t last_latency_us; /**< time to the first byte of the last answer, 0: not known */
    struct backend_load load;
    uint64_t load_at;       /**< time of the report, 0: none */
    uint64_t turn_at;       /**< it takes nothing new from then on; 0: not known */
    int32_t sent_since;     /**< own requests begun less ended since the report */
    uint32_t begun_since;   /**< own requests begun since the report */
    double luck;            /**< drawn at the report: decides on a part of a place */
    int64_t tokens_since;   /**< of own prompts begun less first answered since the report */
    uint32_t failures;      /**< in a row */
    double failure_share;   /**< moving share of requests that failed */
    double refusal_share;   /**< moving share of requests that it refused */
    double latency_us;      /**< moving time to the first byte of an answer, 0: not known */
    uint64_t ejected_until; /**< no new work before, but for one probe */
    uint64_t ejection_us;   /**< length of the present ejection */
    bool probing;           /**< the one request after an ejection is under way */
    void *connections;      /**< the shell's own */
    uint32_t place;         /**< in the table of the pool */
    uint32_t group_place;   /**< among the back ends of its service */
};

struct backend_pool;

struct backend_pool_settings {
    uint32_t queue_per_engine;  /**< requests beyond its slots that a model engine may hold */
    uint32_t tokens_per_engine; /**< of prompts that an engine may still have to read */
    uint64_t load_fresh_us;     /**< older reports of load are not used */
    uint64_t near_fresh_us;     /**< the same for engines of the own region, which report oftener */
    uint64_t unlisted_us;       /**< for which a back end that the list drops stays usable */
    uint64_t serves_on_us;      /**< for which a back end serves at least, once it leaves */
    uint64_t created;           /**< time at which this gateway began, 0: long ago */
};

struct backend_pool *backend_pool_create(const struct backend_pool_settings *settings,
                                         uint64_t seed);
void backend_pool_destroy(struct backend_pool *pool);

/** \brief Take a listing in, new or changed. \return the back end */
struct backend *backend_pool_list(struct backend_pool *pool, const struct backend_listing *listing,
                                  uint16_t distance);
/** What is known of when the list dropped a back end. */
struct backend_drop {
    uint64_t learned; /**< time at which a gateway first knew of it */
    bool from_outage; /**< the list's keeper may have lost the entry in an outage */
};

/**
 * \brief The list has dropped a back end. It stays usable for `unlisted_us`, as the list may drop
 * back ends that live and list them again; one that said it leaves is dropped at once. What an
 * outage of the list's keeper dropped stays until its back end had the time to list itself again.
 * \return the back end, or NULL when it gets nothing more at once
 */
const struct backend *backend_pool_unlist(struct backend_pool *pool, const char *id,
                                          const struct backend_drop *drop, uint64_t now);
/**
 * \brief Drop what was unlisted and did not come back in time.
 * \param sound false while the list's keeper fails: what an outage dropped then stays, as its back
 * end cannot list itself again
 */
void backend_pool_settle(struct backend_pool *pool, bool sound, uint64_t now);
/** \brief The back end at an address is no longer the listed one. */
void backend_pool_replaced(struct backend_pool *pool, struct backend *backend);
/** A back end that is believed to have ended gets nothing for so long, unless it shows again: one
 *  that crashed is back after some seconds, and one that only seemed to have ended loses no more.
 */
#define BACKEND_ENDED_US ((uint64_t)3000000)
/** What a back end says of itself in an answer. */
struct backend_statement {
    bool leaving;        /**< it is about to end */
    uint64_t backoff_us; /**< for which it wants nothing more from here; 0: not said */
    bool works;          /**< it has run a request to a success, or begun to */
};

/** What a statement changed. */
struct backend_change {
    bool now_leaving;    /**< it was not known that it leaves */
    bool now_backed_off; /**< it is left alone for a first or a longer time */
};

/** Longer times than an hour are cut to it: whoever asks for more is asked again then. */
#define BACKEND_BACKOFF_MOST_US ((uint64_t)3600000000)
/**
 * \brief Take in what a back end says of itself. Both facts are of its start, and no list takes
 * them back: that it leaves holds until another start shows, the time off as long as it was asked
 * for, also where the list names another start meanwhile. Afterwards it gets one request at a time
 * until it works. \return what is new
 */
struct backend_change backend_pool_hear(struct backend_pool *pool, struct backend *backend,
                                        const struct backend_statement *statement, uint64_t now);
/** \brief It is known that this start leaves. \param since 0: not known since when */
void backend_note_leaving(struct backend *backend, uint64_t since);
/** \return whether an end of this start now is the one that it, or the list, had announced */
bool backend_end_is_planned(const struct backend_pool *pool, const struct backend *backend,
                            uint64_t now);
/** \brief This start has ended without a word; the list may name another one meanwhile. */
void backend_pool_ended(struct backend_pool *pool, struct backend *backend, uint64_t now);
/**
 * \brief Take a report of load in. A report of a later start than the listed one begins that start
 * anew; one of an earlier start is late, and left out.
 * \return the back end, or NULL when none is listed there, or the report is late
 */
struct backend *backend_pool_report(struct backend_pool *pool, const char *address,
                                    const struct backend_load *load, uint64_t now);

/** \return the back end that is listed at an address, or NULL */
struct backend *backend_pool_find_address(const struct backend_pool *pool, const char *address);
uint32_t backend_pool_count(const struct backend_pool *pool);
struct backend *backend_pool_at(const struct backend_pool *pool, uint32_t index);
struct backend *backend_retain(struct backend *backend);
/** \brief Let go; a back end that nobody holds is freed. */
void backend_release(struct backend *backend);

#define BACKEND_MAX_EXCLUDED 4

struct backend_wish {
    const char *service;
    bool engine;               /**< of a model, with load reports */
    uint32_t tokens;           /**< of this request's prompt */
    uint32_t usual_tokens;     /**< of a prompt of others */
    double read_tokens_per_ms; /**< rate at which an engine reads prompts */
    uint64_t least_version;    /**< of the weights; 0: any */
    uint64_t next_version;     /**< required soon: only engines that have it at hand may be older */
    uint64_t later_version;  /**< required in a while: engines on slow links must have it already */
    uint64_t exact_version;  /**< of the weights; 0: any */
    uint64_t coming_version; /**< that empty engines are about to get; 0: not known */
    const struct backend *excluded[BACKEND_MAX_EXCLUDED];
    uint32_t excluded_count;
    uint32_t gateways; /**< that send to the same back ends */
    bool any_load;     /**< also to one that is full */
    /** Time that the request is expected to take; 0: not known. An engine that is to run empty
     *  sooner gets it only if there is no other: its other places would stay empty meanwhile. */
    uint64_t expected_us;
    /** Not 0: an engine whose last report or answer is not younger than this is as silent as the
     * one that the request would leave for it. */
    uint64_t heard_after;
    /** Not 0: of the back ends with room the first by rendezvous weight for this key gets it. Same
     *  requests meet at one back end then, and others rarely do. */
    uint64_t rank_key;
    /** With a rank key: starts of back ends at which other requests run apart from those that may
     *  crash back ends (crash_incarnation_key()). */
    const uint64_t *barred_starts;
    uint32_t barred_count;
    bool isolated; /**< it must not run there, they count as full; else it goes there last */
    uint64_t leased_start; /**< that it goes to before all others; 0: none */
};

enum backend_absence {
    BACKEND_FOUND,
    BACKEND_NONE, /**< none is fit at all */
    BACKEND_FULL, /**< those that are fit have no room */
};

/** \brief Choose a back end for one request. */
enum backend_absence backend_pool_choose(struct backend_pool *pool, const struct backend_wish *wish,
                                         uint64_t now, struct backend **chosen);
/** \return whether a back end that is not ejected has room for the request */
bool backend_pool_has_room(struct backend_pool *pool, const struct backend_wish *wish,
                           uint64_t now);
/**
 * \return time at which a back end may be asked again, where all that could take the request want
 * nothing for a while, those that the wish leaves out too; 0: some may be asked now, or there are
 * none
 */
uint64_t backend_pool_backoff_end(const struct backend_pool *pool, const struct backend_wish *wish,
                                  uint64_t now);
/** \return whether some back end could run the request once it has a place, is no longer ejected,
 * answers again, is back after an end, wants requests again or has got the weights that are on
 * their way; those that the wish leaves out count too */
bool backend_pool_may_serve(const struct backend_pool *pool, const struct backend_wish *wish,
                            uint64_t now);
/** \return whether a request may still begin there, with weights of at least this version */
bool backend_may_begin(const struct backend_pool *pool, const struct backend *backend,
                       const struct backend_wish *wish, uint64_t now);
/** \brief Requests in progress or waiting at a back end, as far as known. */
uint32_t backend_occupancy(const struct backend_pool *pool, const struct backend *backend,
                           uint64_t now);

/** \brief Count a request in. \param tokens of its prompt */
void backend_begin(struct backend *backend, uint32_t tokens, uint64_t now);
/**
 * \brief The first byte of an answer came, or none will come.
 * \param tokens as at the begin
 * \param latency_us from the send to that byte, 0: none came
 */
void backend_answers(struct backend *backend, uint32_t tokens, uint64_t latency_us, uint64_t now);
/**
 * \brief Count a request out.
 * \param latency_us time to the first byte of the answer, 0 when none came
 * \return whether the back end is now left out for a while
 */
bool backend_end(struct backend_pool *pool, struct backend *backend, enum backend_result result,
                 uint64_t latency_us, uint64_t now);

#endif
