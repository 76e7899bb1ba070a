/**
 * A TCP connection on a libuv loop: bytes in by callback, bytes out copied only when the socket is
 * full. All calls and callbacks belong to the loop's thread.
 *
 * The owner's callbacks are not called any more after tcp_stream_close() or tcp_stream_reset(). The
 * stream frees itself.
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
    TCP_END_ORDERLY, /**< the peer closed its side */
    TCP_END_RESET,   /**< the connection broke */
};

struct tcp_stream_callbacks {
    /** A connection that tcp_stream_connect() began came up, or did not. */
    void (*connected)(void *context, bool success);
    void (*received)(void *context, const char *bytes, size_t size);
    void (*ended)(void *context, enum tcp_end end);
    /** All bytes were handed to the kernel, after some had to wait; may be NULL. */
    void (*drained)(void *context);
};

/**
 * \brief Connect; the answer is `connected`, also when it fails at once. If the process ends before
 *        the stream is closed, what the peer's machine has not got by then is not sent any more.
 */
struct tcp_stream *tcp_stream_connect(uv_loop_t *loop, const struct sockaddr_in *address,
                                      const struct tcp_stream_callbacks *callbacks, void *context);
/** \brief Accept one connection of a listener. \return NULL when there is none */
struct tcp_stream *tcp_stream_accept(uv_stream_t *listener,
                                     const struct tcp_stream_callbacks *callbacks, void *context);
void tcp_stream_set_context(struct tcp_stream *stream, void *context);
/** \brief Send bytes; they are copied if they have to wait. */
void tcp_stream_write(struct tcp_stream *stream, const void *bytes, size_t size);
/** \return bytes that wait for the kernel */
size_t tcp_stream_unsent_bytes(const struct tcp_stream *stream);
/** \brief Stop or go on reading. */
void tcp_stream_pause(struct tcp_stream *stream, bool pause);
/** \brief Send what waits, then close. */
void tcp_stream_close(struct tcp_stream *stream);
/**
 * \brief Send what waits and an end, and read on for a moment before closing, so that bytes still
 *        on their way do not reset the connection before the peer has read the answer.
 */
void tcp_stream_finish(struct tcp_stream *stream);
/** \brief Break the connection at once: the peer sees a reset. */
void tcp_stream_reset(struct tcp_stream *stream);

/** \brief Parse "IP:PORT". */
bool tcp_address_parse(const char *text, struct sockaddr_in *address);
/** \brief Listen on an address. \return 0 or a negative libuv error */
int tcp_listen(uv_loop_t *loop, uv_tcp_t *listener, const struct sockaddr_in *address,
               uv_connection_cb accepted, void *context);

#endif
