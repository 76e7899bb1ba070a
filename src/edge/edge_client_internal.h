/**
 * A client connection: state and functions that the edge_client modules share.
 */
#ifndef SHUNTRUN_EDGE_CLIENT_INTERNAL_H
#define SHUNTRUN_EDGE_CLIENT_INTERNAL_H

#include "edge/edge_internal.h"

/** One connection. Times are microseconds of cluster_now(). */
struct edge_client {
    struct edge *edge;
    struct tcp_stream *stream; /* NULL when closed */
    struct http_message request;
    struct buffer unread;
    struct exchange *exchange;
    bool awaits_configuration; /* the request is complete, and held */
    uint64_t arrived_at;       /* time at which the request was complete */
    bool parsing;
    bool streaming;
    bool keeps;             /* the head of the current stream promised a kept connection */
    bool promised;          /* since a planned stop began, a response promised that the connection
                               takes another request */
    bool closes;            /* a response said that the connection closes; what was read behind
                               its request is refused */
    bool closes_when_taken; /* once the client has taken the last response; it sends nothing more */
    bool continue_sent;     /* "100 Continue" was sent */
    uint64_t idle_since;    /* time at which the last response was taken, or of the accept */
    uint64_t head_started;  /* time of the first byte of the current request; 0: none */
    uint64_t last_received_at;    /* time at which bytes last arrived */
    size_t unsent_bytes;          /* of responses, when last checked */
    uint64_t last_taken_at;       /* time at which `unsent_bytes` last decreased, or was 0 */
    uint32_t delivered_route;     /* of the answer that the client is taking; 0: none */
    uint64_t delivery_arrived_at; /* time at which the request of that answer was complete */
    struct edge_client *next;
    struct edge_client **link;
};

/** \return whether a request is in progress */
static inline bool edge_client_is_busy(const struct edge_client *client)
{
    return client->exchange || client->awaits_configuration;
}

/** \brief Frees the client once its connection is closed and nothing uses it. */
void edge_client_free_if_unused(struct edge_client *client);
/** \brief Sends a response to a request that is not complete or not readable, and closes the
 * connection. \param retry_ms Retry-After; 0: none */
void edge_client_reject(struct edge_client *client, unsigned status, uint32_t retry_ms);
/** \brief Starts the requests that were read, one at a time. The client may be freed. */
void edge_client_parse_unread(struct edge_client *client);
/** \brief Records how long the client has been taking the current answer, if it is taking one. */
void edge_client_record_delivery(const struct edge_client *client, uint64_t now);

#endif
