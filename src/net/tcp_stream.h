/**
 * TCP connection on a libuv loop. Received bytes are passed to a callback; sent bytes are copied
 * only when the socket buffer is full. All calls and callbacks run on the loop's thread.
 *
 * No callback is called after tcp_stream_close(), tcp_stream_finish() or tcp_stream_reset(). The
 * stream then frees itself.
 */
#ifndef SHUNTRUN_TCP_STREAM_H
#define SHUNTRUN_TCP_STREAM_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct tcp_stream;

enum tcp_end {
    TCP_END_ORDERLY, /**< the peer closed its side, and has all bytes that were sent */
    TCP_END_EARLY,   /**< the peer closed its side before it had all of them */
    TCP_END_RESET,   /**< the connection broke */
};

struct tcp_stream_callbacks {
    /** Result of tcp_stream_connect(). */
    void (*connected)(void *context, bool success);
    void (*received)(void *context, const char *bytes, size_t size);
    void (*ended)(void *context, enum tcp_end end);
    /** All queued bytes were written to the socket; may be NULL. */
    void (*drained)(void *context);
};

/**
 * \brief Connect; `connected` is called with the result. If the process ends before the stream is
 *        closed, the kernel discards unsent bytes and resets the connection. \return NULL when the
 *        connection cannot be started; no callback is called then
 */
struct tcp_stream *tcp_stream_connect(uv_loop_t *loop, const struct sockaddr_in *address,
                                      const struct tcp_stream_callbacks *callbacks, void *context);
/** \brief Accept a connection of a listener. \return NULL when there is none */
struct tcp_stream *tcp_stream_accept(uv_stream_t *listener,
                                     const struct tcp_stream_callbacks *callbacks, void *context);
void tcp_stream_set_context(struct tcp_stream *stream, void *context);
/** \brief Send bytes; those that the socket does not accept at once are copied and queued. */
void tcp_stream_write(struct tcp_stream *stream, const void *bytes, size_t size);
/** \return queued bytes that were not written to the socket */
size_t tcp_stream_unsent_bytes(const struct tcp_stream *stream);
/** \brief Pause or resume reading. */
void tcp_stream_pause(struct tcp_stream *stream, bool pause);
/** \brief Send queued bytes, then close. */
void tcp_stream_close(struct tcp_stream *stream);
/**
 * \brief Send queued bytes and a FIN, for as long as the peer takes them, then close. Received
 * bytes are discarded until the peer's FIN, or for 2 to 4 s: otherwise bytes that arrive after the
 * close would reset the connection before the peer has read the response.
 */
void tcp_stream_finish(struct tcp_stream *stream);
/** \brief Close at once with a TCP reset; queued bytes are discarded. */
void tcp_stream_reset(struct tcp_stream *stream);

/** What streams have to send that tcp_stream_finish() has not closed yet. */
struct tcp_closing {
    uint32_t streams;  /**< whose peers have not acknowledged all bytes and the FIN */
    size_t owed_bytes; /**< that those have not acknowledged, in this process and in the kernel */
};

/** \return what the closing streams of this process still owe */
struct tcp_closing tcp_stream_closing(void);

/** \brief Parse "IP:PORT". */
bool tcp_address_parse(const char *text, struct sockaddr_in *address);
/** \brief Listen on an address. \return 0 or a negative libuv error */
int tcp_listen(uv_loop_t *loop, uv_tcp_t *listener, const struct sockaddr_in *address,
               uv_connection_cb accepted, void *context);

#endif
