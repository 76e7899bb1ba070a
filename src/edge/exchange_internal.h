/**
 * An exchange: one client request, from its complete arrival to its final response. State and
 * functions that the exchange modules share.
 */
#ifndef SHUNTRUN_EXCHANGE_INTERNAL_H
#define SHUNTRUN_EXCHANGE_INTERNAL_H

#include "core/backend/liveness.h"
#include "core/crash/prompt_part.h"
#include "core/retry/attempt_rule.h"
#include "edge/edge_internal.h"

#define US_PER_MS ((uint64_t)1000)
/** Interval at which a pending check of a backend that may have crashed is polled. */
#define CRASH_CHECK_POLL_US 10000
/** Bytes of the attempts that the log line at a request's end shows. */
#define TRAIL_SIZE 320

/** Why a request or an attempt ended. */
enum end_reason {
    END_DONE,
    END_DEADLINE,      /**< the deadline of the request passed */
    END_BACKENDS_FULL, /**< no slot became free in time */
    END_NO_BACKEND,    /**< no backend can run it, or resume its stream */
    END_BACKED_OFF, /**< all backends that can run it asked for a backoff longer than it may wait */
    END_RATE_LIMITED,  /**< all backends that can run it got what the rate that they state allows */
    END_NO_CONNECTION, /**< no connect could be started */
    END_BACKEND_SILENT,    /**< the backend sent nothing for too long */
    END_CONNECTION_BROKEN, /**< the connection broke, or the bytes were no valid response */
    END_TRUNCATED_EVENT,   /**< the body was complete, but ended within an event */
    END_EMPTY_STREAM,      /**< the stream ended with its connection, before the first event */
    END_UNFRAMED, /**< the answer ended with its connection, and its backend was not shown to have
                     lived on */
    END_NO_SEAL,  /**< the response lacks the backend's seal */
    END_MEMORY,   /**< the response held more than its share of memory that was nearly full */
    END_REFUSED,  /**< the backend did not run it */
    END_MISDIRECTED,    /**< another backend uses the address, or it has other weights */
    END_RESUME_REFUSED, /**< the response was not the rest of the stream */
    END_BACKEND_ERROR,  /**< the backend reported a failure of its own */
    END_BLOCKED,        /**< it crashes the backends that run it */
    END_HELD,           /**< it may crash backends, and could not run isolated in time */
    END_CLIENT_SLOW,    /**< the backend closed its connection, as the client took the stream too
                           slowly */
    END_STOPPED,        /**< the gateway's process ends */
    END_NO_REGION,      /**< its route and its tenant allow no region in common */
};

enum exchange_state { EXCHANGE_WAITING, EXCHANGE_SENT };

/** A backend that was tried for the request. */
struct tried_backend {
    struct backend *backend;
    bool ran; /* the request was sent there, and neither refused nor cancelled */
};

/** \return whether the backend is believed to have ended while it ran the request */
static inline bool tried_has_ended(const struct tried_backend *tried)
{
    return tried->ran && tried->backend->presumed_down_until;
}

/** One client request in progress. Times are microseconds of cluster_now(). */
struct exchange {
    struct edge *edge;
    struct edge_client *client;
    struct route_table *table;
    const struct route *route;
    const struct service_entry *service;
    const struct tenant_entry *tenant; /* NULL: none */
    struct residency residency;        /* regions in which it may be processed */
    uint64_t residency_config; /* configuration version that `residency` takes into account */
    struct service_state *service_state;
    struct request_head head;
    enum exchange_state state;
    uint64_t arrived_at;
    uint64_t deadline_at; /* of the final response */
    uint64_t wait_until;  /* it is refused if it has no slot by then */
    struct upstream *upstream;
    struct backend *backend;
    struct tried_backend tried[BACKEND_MAX_EXCLUDED]; /* the most recent ones, oldest first */
    uint32_t tried_count;
    uint32_t ended_before;  /* backends dropped from `tried` that ended while they ran it */
    uint32_t excluded_from; /* index of the first in `tried` that must not be chosen */
    uint32_t sends;         /* times it was sent on an established connection */
    uint32_t refusals;      /* of these, refused after the stream had begun */
    uint32_t backoffs;      /* of these, refused by backends that asked for a backoff */
    bool send_counted;      /* `sends` includes the current attempt */
    bool no_backend;        /* no backend was eligible at the last choice, and none was tried */
    bool is_client_retry;   /* its client was refused before */
    uint64_t recheck_at;    /* next attempt to get a slot while it is not queued; 0: none set */
    bool may_have_run;      /* an attempt ended without showing whether the backend ran it */
    uint64_t sent_at;
    uint64_t first_byte_received_at; /* of the current backend; 0: none */
    uint64_t last_event_at;
    uint64_t silence_tolerated_until; /* the backend is not left for its silence before then */
    bool streaming;                   /* the response headers were sent to the client */
    struct event_stream events;
    uint64_t version; /* weights that the first backend used */
    bool paused;      /* no reading from the backend until the client has taken more */
    uint64_t paused_since;
    bool awaiting_crash_check;    /* whether it has ended decides on a retry */
    enum end_reason retry_reason; /* why the last attempt ended */
    bool resuming;                /* the next backend continues a stream that has begun */
    bool owes_retry_charge;       /* the next send takes a retry from the shared budget */
    uint64_t not_before;          /* no backend is chosen earlier */
    uint64_t heard_after;   /* the next engine must have reported or responded since; 0: any */
    char trail[TRAIL_SIZE]; /* attempts with the figures of the choice, for the log */
    size_t trail_length;
    uv_timer_t timer;
    uint64_t timer_due; /* time for which the timer was set */
    struct exchange *next_queued;
    bool is_queued;
    bool suspected;  /* a backend broke the connection while it ran the request */
    bool held;       /* it is or was delayed as it may crash backends */
    bool identified; /* `identity` is computed */
    struct request_identity identity;
    bool parts_identified;                               /* `parts` are computed */
    struct prompt_part parts[PLATFORM_MAX_SHARED_PARTS]; /* those that `head` names */
    bool blocked_by_part;     /* it was refused for a part of its prompt */
    uint64_t blocked_part;    /* id of that part */
    uint64_t run_begun_at;    /* first event of the current run; 0: none yet */
    uint64_t parts_sound_at;  /* last time at which the current run cleared the parts */
    uint64_t unframed_end_at; /* the answer of the current run ended with its connection; 0: no */
    struct liveness_check *liveness_check; /* that the end of the answer awaits; NULL: none */
    struct exchange *next_awaiting_liveness;
    struct upstream_response *unproved_response; /* that awaits it; NULL: none, or a stream, whose
                                                    events are forwarded already */
};

/* --- exchange.c --- */

/** \return whether its backend continues a stream that the client has begun to read, and may have
 * nothing left to send */
static inline bool exchange_continues_stream(const struct exchange *exchange)
{
    return exchange->resuming || exchange->head.last_event_id[0];
}

/** \return time from the arrival of a request to its deadline, ms */
uint64_t exchange_timeout_ms(const struct request_head *head, const struct route *route);
/** \return whether the request of the current attempt was sent, so that a backend may run it or
 * has run it */
bool exchange_is_sent(const struct exchange *exchange);
/** \return what decides on a retry; the current attempt counts if it was sent */
struct attempt_facts exchange_facts(const struct exchange *exchange, uint64_t now);
/** \brief Sets the timer to the next deadline or recheck. */
void exchange_arm_timer(struct exchange *exchange);

/* --- exchange_residency.c --- */

/** \brief Takes the home regions of the current configuration into account; those of earlier ones
 * still bind the request. */
void exchange_update_residency(struct exchange *exchange);
/** \return the service that the request goes to: one that has backends in the allowed regions, if
 * any has */
uint32_t exchange_choose_service(const struct exchange *exchange);

/* --- exchange_suspicion.c --- */

/** \return what identical requests have in common, computed at first use */
const struct request_identity *exchange_identity(struct exchange *exchange);
/** \return whether it crashes the backends that run it, as far as is known now */
bool exchange_is_blocked(struct exchange *exchange);
/** \return key of a suspect's rendezvous weights, which keep it apart from other requests; 0: no
 * suspect */
uint64_t exchange_isolation_key(struct exchange *exchange);
/** \return the evidence that decides on it, of the request or of a part of its prompt; NULL: there
 * is none */
const struct crash_entry *exchange_crash_entry(struct exchange *exchange);
/** \brief The run ended so that the backend may have crashed. */
void exchange_on_run_lost(struct exchange *exchange, enum end_reason reason);
/** \brief Clears the request and its parts of evidence, as a backend completed it and lives. */
void exchange_clear_suspicion(struct exchange *exchange);
/** \brief Clears the parts of its prompt of evidence, as a backend is answering it and lives. */
void exchange_record_sound_parts(struct exchange *exchange);

/* --- exchange_isolation.c --- */

/** \return time until which it must not be sent, as it is held, or as updates that decide on it are
 * in transit; 0: it need not wait */
uint64_t exchange_must_wait_until(struct exchange *exchange, uint64_t now);
/** \return time until which it is held, as many backends ended while they ran it; 0: not held */
uint64_t exchange_held_until(struct exchange *exchange, uint64_t now);
/** \brief Delays the request until then; without a begun stream it is refused if it cannot wait so
 * long. */
void exchange_hold_until(struct exchange *exchange, uint64_t until);
/** \brief Sets the criteria that keep a suspect apart from other requests. */
void exchange_fill_isolation(struct exchange *exchange, uint64_t now,
                             struct backend_criteria *criteria);
/** \return whether it must wait for a lease on the chosen backend; then it is delayed or refused */
bool exchange_waits_for_lease(struct exchange *exchange, const struct backend *backend,
                              uint64_t now);

/* --- exchange_queue.c --- */

/** \return urgency as sent to backends; 0: most urgent */
int exchange_urgency(const struct exchange *exchange);
/** \brief Queues the request for a slot, ordered by urgency and arrival. */
void exchange_enqueue(struct exchange *exchange);
/** \brief Waits outside the queue, where free slots are not offered to it, and tries again at that
 * time. */
void exchange_wait_until(struct exchange *exchange, uint64_t until);
/** \brief Removes the request from the queue, if it is there. */
void exchange_dequeue(struct exchange *exchange);

/* --- exchange_overload.c --- */

/** \return whether it gets only slots that new clients leave: its client retries, and an overload
 * of the service lasts */
bool exchange_takes_leftovers(struct exchange *exchange, uint64_t now);

/* --- exchange_end.c --- */

/** \return name for logs */
const char *end_reason_name(enum end_reason end);
/** \brief Appends to the trail, which the log line at the request's end shows. */
void exchange_trail_append(struct exchange *exchange, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** \brief Appends a chosen backend with the figures of the choice. */
void exchange_trail_append_send(struct exchange *exchange, const struct backend *backend,
                                uint64_t now);
/** \return the first backend in `tried`, or NULL */
const struct backend *exchange_first_tried(const struct exchange *exchange);
/** \return the last backend in `tried`, or NULL */
const struct backend *exchange_last_tried(const struct exchange *exchange);
/** \brief Ends the current attempt, if there is one, and reports its result to the pool. */
void exchange_end_attempt(struct exchange *exchange, enum backend_result result);
/** \brief Logs the end of the request. \param backend that ran it, or NULL */
void exchange_log_end(const struct exchange *exchange, unsigned status, enum end_reason reason,
                      const struct backend *backend);
/** \brief Ends the request; the exchange is freed once its timer is closed. */
void exchange_finish(struct exchange *exchange);
/**
 * \brief Sends a response that the edge itself generates.
 * \param wait_ms Retry-After; 0: none
 * \param text body that gives the reason; "": none
 */
void exchange_send_local_response(struct edge *edge, struct edge_client *client,
                                  const char *request_id, unsigned status, uint32_t wait_ms,
                                  const char *text);
/** \brief Records whether a request got a slot, for the Retry-After of others. */
void exchange_record_slot_result(struct exchange *exchange, bool found);
/** \brief Ends the request with a local response; a begun stream is aborted. */
void exchange_fail(struct exchange *exchange, unsigned status, enum end_reason reason);
/** \brief Fails with 503 if no backend has run the request, and with 502 if one may have. */
void exchange_fail_by_run_state(struct exchange *exchange, enum end_reason reason);

/* --- exchange_send.c --- */

/** \return whether its route allows that it runs more than once */
bool exchange_is_retryable(const struct exchange *exchange);
/** \brief Sends the request to a backend, queues it, or fails it. */
void exchange_dispatch(struct exchange *exchange);
/** \return time at which the first backoff ends, if all backends that could run the request asked
 * for one; 0: otherwise */
uint64_t exchange_withheld_until(struct exchange *exchange, uint64_t now);
/**
 * \param heard_after time since which an engine must have reported or responded; 0: any
 * \return whether another backend has room, and the shared budget a retry if the current one was
 * sent the request
 */
bool exchange_has_alternative(struct exchange *exchange, uint64_t heard_after);
/** \brief Retries on another backend, if attempts, time and the shared budget allow it; fails
 * otherwise. */
void exchange_retry(struct exchange *exchange, enum end_reason reason);

/* --- exchange_response.c --- */

/** \brief The attempt failed after the request was sent, so the backend may have run it. */
void exchange_on_attempt_failed(struct exchange *exchange, enum backend_result result,
                                enum end_reason reason);
/** \brief Appends the head of a backend's response for the client. */
void exchange_write_head(const struct http_message *message, struct buffer *head);
/** \brief Counts a request that is answered. */
void exchange_count_done(struct exchange *exchange);
/** \brief Records the length of a run that succeeded. */
void exchange_complete_run(struct exchange *exchange);
/** \brief Counts a send on an established connection, once for each attempt. */
void exchange_count_send(struct exchange *exchange);
/** \brief Ends the request with an answer of its backend that is known to be whole. */
void exchange_forward_whole(struct exchange *exchange, struct upstream_response *response);

/* --- exchange_memory.c --- */

/**
 * \brief Gives up the attempt if memory is nearly full and its answer holds more than its share.
 * \param size bytes of the answer that are held
 * \return whether its attempt ended
 */
bool exchange_give_up_if_memory_full(struct exchange *exchange, size_t size);

/* --- exchange_stream.c --- */

/** \brief Forwards the complete events among new bytes of a stream's body. */
void exchange_forward_events(struct exchange *exchange, struct http_message *message);
/** \brief Completes a stream whose body has ended, or handles that it was cut off. */
void exchange_finish_stream(struct exchange *exchange, struct http_message *message);
/** \brief Ends the request, whose stream is known to be whole. */
void exchange_complete_stream(struct exchange *exchange);

/* --- exchange_unframed.c --- */

/** \brief Logs that an answer ended with its connection. */
void exchange_log_unframed_end(const struct exchange *exchange,
                               const struct upstream_response *response);
/**
 * \brief Awaits proof that the backend lived on after its answer ended with its connection.
 * \param response kept for the client, and then empty; NULL: a stream, whose events are forwarded
 */
void exchange_await_liveness(struct exchange *exchange, struct upstream_response *response);
/** \brief Forwards the answer if the backend is alive; otherwise the attempt has failed. */
void exchange_on_liveness(struct exchange *exchange, enum liveness liveness);
/** \brief Discards an answer that awaits proof; does nothing if there is none. */
void exchange_drop_unproved(struct exchange *exchange);

/* --- exchange_stop.c --- */

/**
 * \brief Refuses a request that could not end before the stopping process does, or whose connection
 * closes. \return whether it was refused; always false without a planned stop
 */
bool exchange_refuse_at_stop(struct edge *edge, struct edge_client *client,
                             const struct request_head *head, const struct route *route);

/* --- exchange_budget.c --- */

/** \return whether the shared budget has room for a retry that the request owes, if it owes one */
bool exchange_may_pay_retry(struct exchange *exchange, uint64_t now);
/** \brief Charges the retry that the request owes, if it owes one, as it is sent now. */
void exchange_pay_retry(struct exchange *exchange, uint64_t now);
/** \brief Takes a retry from the shared budget. \return false if it is exhausted */
bool exchange_take_retry(struct exchange *exchange, uint64_t now);

#endif
