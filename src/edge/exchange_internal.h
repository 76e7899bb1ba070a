/**
 * A request of a client from its whole arrival to its one final answer: state and calls that the
 * exchange modules share.
 */
#ifndef SHUNTRUN_EXCHANGE_INTERNAL_H
#define SHUNTRUN_EXCHANGE_INTERNAL_H

#include "core/attempt_rule.h"
#include "core/request_identity.h"
#include "edge/edge_internal.h"

#define US_PER_MS ((uint64_t)1000)
#define TRAIL_SIZE 320
/** A client with so many bytes unread stops the back end from sending more. */
#define CLIENT_UNSENT_MAX_BYTES 262144

/** Why a request ended, or an attempt did. */
enum end_reason {
    END_DONE,
    END_DEADLINE,          /**< its final answer was due */
    END_BACKENDS_FULL,     /**< no place came free in time */
    END_NO_BACKEND,        /**< none can take it, or go on with its stream */
    END_BACKED_OFF,        /**< all that can take it want nothing for longer than it may wait */
    END_NO_CONNECTION,     /**< not even an attempt to connect could be made */
    END_BACKEND_SILENT,    /**< the back end sent nothing for too long */
    END_CONNECTION_BROKEN, /**< the connection broke, or the bytes were no answer */
    END_TRUNCATED_EVENT,   /**< the answer was complete by its framing, but ended within an event */
    END_NO_SEAL,           /**< an answer that its back end did not sign */
    END_REFUSED,           /**< the back end did not run it */
    END_MISDIRECTED,       /**< another back end stands there, or it has other weights */
    END_RESUME_REFUSED,    /**< another answer than the rest of a stream */
    END_BACKEND_ERROR,     /**< the back end reported a failure of its own */
    END_BLOCKED,           /**< it crashes the back ends that run it */
    END_HELD,              /**< it may crash them, and its turn to run apart did not come in time */
};

enum exchange_state { EXCHANGE_WAITING, EXCHANGE_SENT };

/** A back end that the request was with. */
struct tried_backend {
    struct backend *backend;
    bool ran; /* the request was handed over there, and was neither refused nor withdrawn */
};

/** \return whether the back end ended under the request, for all that is known */
static inline bool tried_has_ended(const struct tried_backend *tried)
{
    return tried->ran && tried->backend->ended_until;
}

struct exchange {
    struct edge *edge;
    struct edge_client *client;
    struct route_table *table;
    const struct route *route;
    const struct service_entry *service;
    const struct tenant_entry *tenant; /* NULL: none */
    struct service_state *service_state;
    struct request_head head;
    enum exchange_state state;
    uint64_t arrived;
    uint64_t deadline_at; /* the final answer is due */
    uint64_t wait_until;  /* without a place by then it is refused */
    struct upstream *upstream;
    struct backend *backend;
    struct tried_backend tried[BACKEND_MAX_EXCLUDED]; /* the last ones */
    uint32_t tried_count;
    uint32_t ended_before;  /* back ends tried before these that ended under it */
    uint32_t excluded_from; /* index of the first of them that is left out of the choice */
    uint32_t sends;         /* requests handed to a connection that came up */
    uint32_t refusals;      /* of these, refused after the stream had begun */
    uint32_t backoffs;      /* of these, refused by back ends that want nothing for a while */
    bool send_counted;      /* the present attempt is among them */
    bool no_backend;        /* none was fit when it was last looked for */
    bool is_client_retry;   /* its caller was refused before */
    uint64_t recheck_at;    /* for a place, while it stands in no line; 0: it does */
    bool may_have_run;      /* a send ended without a word on whether it ran */
    uint64_t sent_at;
    uint64_t first_byte_received_at; /* of the present back end, 0: none */
    uint64_t last_event_at;
    uint64_t
        silence_tolerated_until; /* the present back end's silence is borne until then at least */
    bool streaming;              /* the head went out to the client */
    struct event_stream events;
    uint64_t version; /* of the weights of the first back end */
    bool paused;
    bool awaiting_crash_check;    /* whether its last back end ended decides on one more attempt */
    enum end_reason retry_reason; /* of that attempt's end */
    bool resuming;                /* the next back end goes on with a stream that has begun */
    bool owes_retry_charge;       /* the next send takes a repeat from the shared budget */
    uint64_t not_before;          /* no back end is looked for earlier */
    uint64_t heard_after;         /* the next engine must have been heard of since, 0: not */
    char trail[TRAIL_SIZE];       /* attempts with what decided them, for the log */
    size_t trail_length;
    uv_timer_t timer;
    uint64_t timer_due; /* when the timer was set to fire */
    struct exchange *next_queued;
    bool is_queued;
    bool suspected;  /* a back end broke off while it was there */
    bool held;       /* it waits, or has waited, to run apart from others */
    bool identified; /* `identity` is worked out */
    struct request_identity identity;
};

/* --- exchange.c ---- */

/** \brief What decides on one more attempt, counting the present one if it was sent. */
struct attempt_facts exchange_facts(const struct exchange *exchange, uint64_t now);
/** \brief Set the timer to the next until at which time alone changes something. */
void exchange_arm_timer(struct exchange *exchange);

/* --- exchange_suspicion.c ---- */

/** \brief What makes it the same request as others, worked out at the first use. */
const struct request_identity *exchange_identity(struct exchange *exchange);
/** \return whether it crashes the back ends that run it, as far as is known now */
bool exchange_is_blocked(struct exchange *exchange);
/** \return a key by which a suspect is placed apart from others; 0: it is no suspect */
uint64_t exchange_isolation_key(struct exchange *exchange);
/** \return what is known of it, or NULL */
const struct crash_entry *exchange_crash_entry(struct exchange *exchange);
/** \brief Its back end broke the connection, and may have ended. */
void exchange_on_run_lost(struct exchange *exchange);
/** \brief A back end ran it to a whole answer and lives. */
void exchange_clear_suspicion(struct exchange *exchange);

/* --- exchange_isolation.c ---- */

/** \return time up to which it must not go anywhere, as it is held back, or as news that decide on
 * it are on their way; 0: it need not wait */
uint64_t exchange_must_wait_until(struct exchange *exchange, uint64_t now);
/** \return time up to which it is held back, as many back ends ended while it was there; 0: it is
 * not */
uint64_t exchange_held_until(struct exchange *exchange, uint64_t now);
/** \brief Wait for that time; a request that has not begun and cannot wait so long is refused. */
void exchange_hold_until(struct exchange *exchange, uint64_t until);
/** \brief Fill in where a request goes that is under suspicion. */
void exchange_fill_isolation(struct exchange *exchange, uint64_t now,
                             struct backend_wish *criteria);
/** \return whether it is not to be sent to a chosen back end now, but waits for a lease on it */
bool exchange_waits_for_lease(struct exchange *exchange, const struct backend *backend,
                              uint64_t now);

/* --- exchange_line.c ---- */

/** \return 0 for the most urgent, as back ends are told */
int exchange_urgency(const struct exchange *exchange);
/** \brief Wait for a place, by urgency and arrival. */
void exchange_enqueue(struct exchange *exchange);
/** \brief Wait beside the line: no news but time lets it go on. */
void exchange_wait_until(struct exchange *exchange, uint64_t until);
void exchange_dequeue(struct exchange *exchange);

/* --- end_reason.c ---- */

/** \return the word for logs */
const char *end_reason_name(enum end_reason end);
/** \brief Append to the trail that the log line of the request's end shows. */
void exchange_trail_append(struct exchange *exchange, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** \brief Note a back end with what decided for it. */
void exchange_trail_append_send(struct exchange *exchange, const struct backend *backend,
                                uint64_t now);
/** \return the first of the back ends that are remembered, or NULL */
const struct backend *exchange_first_tried(const struct exchange *exchange);
/** \return the last one, or NULL */
const struct backend *exchange_last_tried(const struct exchange *exchange);
/** \brief Let go of the present back end. */
void exchange_end_attempt(struct exchange *exchange, enum backend_result result);
void exchange_log_end(const struct exchange *exchange, unsigned status, enum end_reason reason,
                      const struct backend *backend);
/** \brief The request is over; the exchange is freed once its timer is closed. */
void exchange_finish(struct exchange *exchange);
/**
 * \brief Answer the client in this system's own name.
 * \param wait_ms Retry-After, 0: none
 * \param text body that says why, "": none
 */
void exchange_send_local_response(struct edge *edge, struct edge_client *client,
                                  const char *request_id, unsigned status, uint32_t wait_ms,
                                  const char *text);
/** \return time after which a client should come back when no back end serves at all, ms */
uint32_t exchange_no_backend_retry_ms(struct edge *edge);
/** \brief Note whether a request found a place, for the time to come back of others. */
void exchange_record_slot_result(struct exchange *exchange, bool found);
/** \brief End with an answer of this system's own, at once; a begun stream is broken off. */
void exchange_fail(struct exchange *exchange, unsigned status, enum end_reason reason);
/** \brief Give up with 503 when nothing has run, and 502 when that is not known. */
void exchange_fail_by_run_state(struct exchange *exchange, enum end_reason reason);

/* --- exchange_send.c ---- */

bool exchange_is_retryable(const struct exchange *exchange);
/** \brief Send to a back end, wait in line for one, or give up. */
void exchange_dispatch(struct exchange *exchange);
/** \return time at which a back end may be asked again, where all that could take the request want
 * nothing for a while; 0: it is not that */
uint64_t exchange_backoff_end(struct exchange *exchange, uint64_t now);
/**
 * \param heard_after engines that were not heard of since this time do not count, 0: they do
 * \return whether another back end has room, and the shared budget a repeat if the present one was
 * sent the request
 */
bool exchange_has_alternative(struct exchange *exchange, uint64_t heard_after);
/** \brief Go to another back end, if attempts, time and the shared budget allow it. */
void exchange_retry(struct exchange *exchange, enum end_reason reason);

/* --- exchange_answer.c ---- */

/** \brief The attempt failed after the request was sent: it may have run. */
void exchange_on_attempt_failed(struct exchange *exchange, enum backend_result result,
                                enum end_reason reason);
/** \brief The request reached a connection that is up. */
void exchange_count_send(struct exchange *exchange);

#endif
