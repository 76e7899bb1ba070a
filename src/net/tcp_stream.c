#include "net/tcp_stream.h"

#include "base/log.h"
#include "base/memory.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define READ_BUFFER_SIZE 65536
#define LISTEN_BACKLOG 1024
/** TCP_USER_TIMEOUT: a peer that acknowledges no bytes for this long is dead or partitioned. */
#define USER_TIMEOUT_MS 4000
/** Interval at which a closing connection is checked: it stays open while its peer takes bytes, and
 * for one interval more, to receive the peer's FIN. */
#define LINGER_CHECK_MS 2000
/** Checks in which the peer took none of the bytes that are left; as long as USER_TIMEOUT_MS. */
#define LINGER_MAX_STALLS 2

struct tcp_stream {
    uv_tcp_t handle;
    struct tcp_stream_callbacks callbacks;
    void *context;
    uv_connect_t connect;
    uv_shutdown_t shutdown;
    uv_timer_t linger; /* started by tcp_stream_finish() */
    uint32_t queued_writes;
    bool linger_started;
    size_t linger_unsent; /* bytes at the last check */
    uint32_t linger_stalls;
    bool released; /* the owner has closed it: no more callbacks */
    bool closing;
    bool is_connected;
    bool resets_on_close;
    bool broken; /* a write failed */
    struct tcp_stream *next_closing;
    struct tcp_stream **closing_link; /* NULL: not in `closing_streams` */
};

struct queued_write {
    uv_write_t request;
    struct tcp_stream *stream;
    size_t size;
    char bytes[];
};

/* Shared by all streams, as there is one loop on one thread. */
static char read_buffer[READ_BUFFER_SIZE];
static struct tcp_stream *closing_streams; /* finished, but not closed */

static void on_timer_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void on_closed(uv_handle_t *handle)
{
    struct tcp_stream *stream = handle->data;
    if (stream->linger_started)
        uv_close((uv_handle_t *)&stream->linger, on_timer_closed);
    else
        free(stream);
}

static void add_to_closing(struct tcp_stream *stream)
{
    stream->next_closing = closing_streams;
    stream->closing_link = &closing_streams;
    if (closing_streams)
        closing_streams->closing_link = &stream->next_closing;
    closing_streams = stream;
}

static void remove_from_closing(struct tcp_stream *stream)
{
    if (!stream->closing_link)
        return;
    *stream->closing_link = stream->next_closing;
    if (stream->next_closing)
        stream->next_closing->closing_link = stream->closing_link;
    stream->closing_link = NULL;
}

/* \return bytes in the socket that the peer has not acknowledged */
static size_t unacknowledged_bytes(const struct tcp_stream *stream)
{
    uv_os_fd_t descriptor;
    int bytes = 0;
    if (uv_fileno((const uv_handle_t *)&stream->handle, &descriptor) ||
        ioctl(descriptor, SIOCOUTQ, &bytes))
        return 0; /* it is closed */
    return (size_t)bytes;
}

struct tcp_closing tcp_stream_closing(void)
{
    struct tcp_closing closing = {0};
    for (const struct tcp_stream *stream = closing_streams; stream; stream = stream->next_closing) {
        size_t owed = tcp_stream_unsent_bytes(stream) + unacknowledged_bytes(stream);
        closing.streams += owed > 0;
        closing.owed_bytes += owed;
    }
    return closing;
}

static void close_handle(struct tcp_stream *stream)
{
    if (stream->closing)
        return;
    stream->closing = true;
    remove_from_closing(stream);
    uv_close((uv_handle_t *)&stream->handle, on_closed);
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    *buffer = uv_buf_init(read_buffer, sizeof read_buffer);
}

/* \return whether the peer has not acknowledged all bytes */
static bool owes_bytes(const struct tcp_stream *stream)
{
    return tcp_stream_unsent_bytes(stream) + unacknowledged_bytes(stream) > 0;
}

/*
 * libuv reports EOF as soon as the socket hangs up after a short read, and doesn't check why: a
 * reset looks like an orderly close. So the state is read from the socket itself, which tells an
 * error only once: a write that met it leaves an orderly end to be read.
 */
static enum tcp_end socket_end(struct tcp_stream *stream)
{
    uv_os_fd_t descriptor;
    char byte;
    if (stream->broken || uv_fileno((uv_handle_t *)&stream->handle, &descriptor) ||
        recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
        return TCP_END_RESET;
    return owes_bytes(stream) ? TCP_END_EARLY : TCP_END_ORDERLY;
}

static void on_read_end(struct tcp_stream *stream, bool end_of_file)
{
    enum tcp_end end = end_of_file ? socket_end(stream) : TCP_END_RESET;
    stream->callbacks.ended(stream->context, end);
}

static void on_read(uv_stream_t *handle, ssize_t size, const uv_buf_t *buffer)
{
    struct tcp_stream *stream = handle->data;
    if (stream->released && size < 0)
        close_handle(stream);
    if (size == 0 || stream->released)
        return;
    if (size > 0)
        stream->callbacks.received(stream->context, buffer->base, (size_t)size);
    else
        on_read_end(stream, size == UV_EOF);
}

static void set_options(struct tcp_stream *stream)
{
    uv_os_fd_t descriptor;
    int milliseconds = USER_TIMEOUT_MS;
    uv_tcp_nodelay(&stream->handle, 1);
    if (uv_fileno((uv_handle_t *)&stream->handle, &descriptor) == 0)
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

/* \param on whether the kernel discards unsent bytes and resets the connection when the socket is
 * closed, which also happens when the process ends */
static void set_reset_on_close(struct tcp_stream *stream, bool on)
{
    stream->resets_on_close = on;
    uv_os_fd_t descriptor;
    struct linger linger = {.l_onoff = on};
    int error = uv_fileno((uv_handle_t *)&stream->handle, &descriptor);
    if (!error && setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &linger, sizeof linger))
        error = uv_translate_sys_error(errno);
    if (error)
        log_event(LOG_LEVEL_WARN, "net", "option-refused", "option=SO_LINGER on=%d error=\"%s\"",
                  on, uv_strerror(error));
}

/* Called before an intentional close, which is orderly and sends queued bytes. */
static void clear_reset_on_close(struct tcp_stream *stream)
{
    if (stream->resets_on_close && !stream->closing)
        set_reset_on_close(stream, false);
}

static struct tcp_stream *stream_create(uv_loop_t *loop,
                                        const struct tcp_stream_callbacks *callbacks, void *context)
{
    struct tcp_stream *stream = memory_calloc(1, sizeof *stream);
    stream->callbacks = *callbacks;
    stream->context = context;
    uv_tcp_init(loop, &stream->handle);
    stream->handle.data = stream;
    return stream;
}

static void on_connected(uv_connect_t *request, int status)
{
    struct tcp_stream *stream = request->data;
    if (stream->released)
        return;
    if (status == 0) {
        stream->is_connected = true;
        set_options(stream);
        /* Otherwise the kernel would continue to send a request after this process was killed: the
         * backend would receive it after it asked for no more requests, and no process could
         * cancel it. */
        set_reset_on_close(stream, true);
        uv_read_start((uv_stream_t *)&stream->handle, on_allocate, on_read);
    }
    stream->callbacks.connected(stream->context, status == 0);
}

struct tcp_stream *tcp_stream_connect(uv_loop_t *loop, const struct sockaddr_in *address,
                                      const struct tcp_stream_callbacks *callbacks, void *context)
{
    struct tcp_stream *stream = stream_create(loop, callbacks, context);
    stream->connect.data = stream;
    int error = uv_tcp_connect(&stream->connect, &stream->handle, (const struct sockaddr *)address,
                               on_connected);
    if (error) {
        stream->released = true;
        close_handle(stream);
        return NULL;
    }
    return stream;
}

struct tcp_stream *tcp_stream_accept(uv_stream_t *listener,
                                     const struct tcp_stream_callbacks *callbacks, void *context)
{
    struct tcp_stream *stream = stream_create(listener->loop, callbacks, context);
    if (uv_accept(listener, (uv_stream_t *)&stream->handle)) {
        stream->released = true;
        close_handle(stream);
        return NULL;
    }
    stream->is_connected = true;
    set_options(stream);
    uv_read_start((uv_stream_t *)&stream->handle, on_allocate, on_read);
    return stream;
}

void tcp_stream_set_context(struct tcp_stream *stream, void *context)
{
    stream->context = context;
}

/* The end of the stream is told by its reader, which still gets what the peer sent before. */
static void on_write_failed(struct tcp_stream *stream, int error)
{
    if (!stream->broken && !stream->released)
        log_event(LOG_LEVEL_DEBUG, "net", "write-failed", "error=\"%s\" unsent_bytes=%zu",
                  uv_strerror(error), tcp_stream_unsent_bytes(stream));
    stream->broken = true;
}

static void on_written(uv_write_t *request, int status)
{
    struct queued_write *write = (struct queued_write *)request;
    struct tcp_stream *stream = write->stream;
    if (status && status != UV_ECANCELED)
        on_write_failed(stream, status);
    memory_release_buffer(write->size);
    free(write);
    stream->queued_writes--;
    if (stream->released || stream->queued_writes || status)
        return;
    if (stream->callbacks.drained)
        stream->callbacks.drained(stream->context);
}

void tcp_stream_write(struct tcp_stream *stream, const void *bytes, size_t size)
{
    if (stream->closing || stream->broken || !size)
        return;
    const char *rest = bytes;
    if (!stream->queued_writes && stream->is_connected) {
        uv_buf_t buffer = uv_buf_init((char *)rest, (unsigned)size);
        int sent = uv_try_write((uv_stream_t *)&stream->handle, &buffer, 1);
        if (sent > 0) {
            rest += sent;
            size -= (size_t)sent;
        }
        if (sent < 0 && sent != UV_EAGAIN)
            on_write_failed(stream, sent);
        if (!size || stream->broken)
            return;
    }
    struct queued_write *write = memory_calloc(1, sizeof *write + size);
    write->stream = stream;
    write->size = size;
    memory_hold_buffer(size);
    memcpy(write->bytes, rest, size);
    uv_buf_t buffer = uv_buf_init(write->bytes, (unsigned)size);
    stream->queued_writes++;
    int error = uv_write(&write->request, (uv_stream_t *)&stream->handle, &buffer, 1, on_written);
    if (error) {
        on_write_failed(stream, error);
        stream->queued_writes--;
        memory_release_buffer(size);
        free(write);
    }
}

size_t tcp_stream_unsent_bytes(const struct tcp_stream *stream)
{
    return uv_stream_get_write_queue_size((const uv_stream_t *)&stream->handle);
}

void tcp_stream_pause(struct tcp_stream *stream, bool pause)
{
    if (stream->closing || !stream->is_connected)
        return;
    if (pause)
        uv_read_stop((uv_stream_t *)&stream->handle);
    else
        uv_read_start((uv_stream_t *)&stream->handle, on_allocate, on_read);
}

static void on_shutdown(uv_shutdown_t *request, int status)
{
    if (status)
        close_handle(request->data);
}

/* \return whether bytes are left that the peer still takes, or were left at the last check */
static bool peer_takes_bytes(struct tcp_stream *stream)
{
    size_t unsent = tcp_stream_unsent_bytes(stream);
    bool progress = unsent < stream->linger_unsent;
    stream->linger_unsent = unsent;
    stream->linger_stalls = progress ? 0 : stream->linger_stalls + 1;
    return progress || (unsent && stream->linger_stalls < LINGER_MAX_STALLS);
}

static void on_linger(uv_timer_t *timer)
{
    if (!peer_takes_bytes(timer->data))
        close_handle(timer->data);
}

void tcp_stream_finish(struct tcp_stream *stream)
{
    if (stream->released)
        return;
    stream->released = true;
    stream->shutdown.data = stream;
    clear_reset_on_close(stream);
    if (!stream->is_connected ||
        uv_shutdown(&stream->shutdown, (uv_stream_t *)&stream->handle, on_shutdown)) {
        close_handle(stream);
        return;
    }
    uv_read_start((uv_stream_t *)&stream->handle, on_allocate, on_read);
    uv_timer_init(stream->handle.loop, &stream->linger);
    stream->linger.data = stream;
    stream->linger_started = true;
    add_to_closing(stream);
    stream->linger_unsent = tcp_stream_unsent_bytes(stream);
    uv_timer_start(&stream->linger, on_linger, LINGER_CHECK_MS, LINGER_CHECK_MS);
}

void tcp_stream_close(struct tcp_stream *stream)
{
    if (stream->released)
        return;
    if (stream->is_connected && stream->queued_writes) {
        tcp_stream_finish(stream);
        return;
    }
    stream->released = true;
    clear_reset_on_close(stream);
    close_handle(stream);
}

void tcp_stream_reset(struct tcp_stream *stream)
{
    if (stream->released)
        return;
    stream->released = true;
    if (stream->closing)
        return;
    stream->closing = true;
    if (!stream->is_connected || uv_tcp_close_reset(&stream->handle, on_closed))
        uv_close((uv_handle_t *)&stream->handle, on_closed);
}

bool tcp_address_parse(const char *text, struct sockaddr_in *address)
{
    char ip[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof ip)
        return false;
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = 0;
    char *end;
    long port = strtol(colon + 1, &end, 10);
    return !*end && end != colon + 1 && port > 0 && port < 65536 &&
           uv_ip4_addr(ip, (int)port, address) == 0;
}

int tcp_listen(uv_loop_t *loop, uv_tcp_t *listener, const struct sockaddr_in *address,
               uv_connection_cb accepted, void *context)
{
    uv_tcp_init(loop, listener);
    listener->data = context;
    int error = uv_tcp_bind(listener, (const struct sockaddr *)address, 0);
    return error ? error : uv_listen((uv_stream_t *)listener, LISTEN_BACKLOG, accepted);
}
