/**
 * State and functions that the modules of a fetch share: piece_fetch.c fetches the pieces,
 * manifest_fetch.c the manifest.
 */
#ifndef SHUNTRUN_PIECE_FETCH_INTERNAL_H
#define SHUNTRUN_PIECE_FETCH_INTERNAL_H

#include "base/log.h"
#include "weights/piece_fetch.h"

/** Timeout of a whole response: enough for one piece on a link of a tenth of the usual rate. */
#define CALL_TIMEOUT_MS 1500
/** Response of a node that does not have the requested data yet. */
#define HTTP_STATUS_NOT_READY 409

struct piece_fetch {
    struct piece_set *set;
    struct piece_fetch_callbacks callbacks;
    struct piece_sources *sources;
    enum piece_role role;
    uint32_t connections; /* per source */
    bool paused;
    uint32_t manifest_requests;     /* in flight */
    uint32_t manifest_requests_max; /* in flight */
    uint64_t review_after_us;       /* time without a piece after which the manifest is reviewed */
    uint64_t started_at;
    uint64_t progress_at; /* time of the last piece, 0: none yet */
    struct link_rate link;
    uint64_t next_progress_log;
    uint64_t from_nodes;  /* pieces */
    uint64_t from_origin; /* pieces */
    uint64_t failures;    /* calls */
    bool complete;        /* at the last piece or manifest */
};

/** \return time since the last piece, or since the start of the fetch */
uint64_t piece_fetch_time_since_progress(const struct piece_fetch *fetch, uint64_t now);
/** \brief Send the next request on each idle connection that has something to fetch. */
void piece_fetch_start_requests(struct piece_fetch *fetch, uint64_t now);
/** \brief Back off the source of a call that failed.
 * \param level DEBUG: the source only lacks the data, or the fault has a line of its own */
void piece_fetch_source_failed(struct piece_connection *connection, enum log_level level,
                               const char *what, uint64_t now);
/** \brief Handle HTTP_STATUS_NOT_READY. */
void piece_fetch_source_not_ready(struct piece_connection *connection, uint64_t now);
/** \brief Log once that all pieces are held. */
void piece_fetch_log_complete(struct piece_fetch *fetch, uint64_t now);

/* --- The manifest: manifest_fetch.c --- */

/** State of the manifest in use before an event that may change it. */
struct manifest_state {
    uint32_t changes;
    bool trusted;
};

/** \return who sends on this connection */
enum manifest_sender piece_connection_sender(const struct piece_connection *connection);
struct manifest_state manifest_state_of(const struct piece_fetch *fetch);
/** \brief Tell the owner when the manifest in use has changed, or is trusted now.
 * \param cause connection whose response made the change; NULL: the configuration */
void manifest_fetch_report_change(struct piece_fetch *fetch, const struct manifest_state *before,
                                  const struct piece_connection *cause, uint64_t now);
/** \brief Ask the sources of the manifest that may be asked now. */
void manifest_fetch_request(struct piece_fetch *fetch, uint64_t now);
/** \brief Ask one source for its manifest; the origin on two connections at the same time. */
void manifest_fetch_request_from(struct piece_fetch *fetch, struct piece_source *source,
                                 uint64_t now);
/** \brief Ask again for a manifest that is trusted when no piece has come for long: one that has a
 * digest too many, or one that no piece has, is seen by nothing else. */
void manifest_fetch_review(struct piece_fetch *fetch, uint64_t now);

#endif
