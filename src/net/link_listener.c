/**
 * Listening side of the links, with one socket per key slot.
 */
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "net/link_socket.h"
#include "net/links.h"

#include <linux/sockios.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <zmq.h>

#define ENDPOINT_SIZE (FLEET_ADDRESS_SIZE + 16)
#define MONITORED_EVENTS                                                                           \
    (ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |          \
     ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH)

/* An open connection. Its peer has acknowledged at least the first `settled_replies` replies of the
 * listener, as far as they were for it. */
struct connection {
    int descriptor; /* owned by ZeroMQ */
    unsigned slot;
    uint64_t settled_replies;
};

struct link_listener {
    void *zmq;
    enum link_kind kind;
    struct loop *loop;
    loop_callback *readable;
    void *context;
    struct key_ring keys;
    char endpoints[KEY_SLOTS][ENDPOINT_SIZE];
    void *sockets[KEY_SLOTS];  /* NULL: the slot has no keys */
    void *monitors[KEY_SLOTS]; /* monitor sockets for MONITORED_EVENTS */
    struct connection *connections;
    uint32_t connection_count;
    uint64_t replies;         /* sent in all */
    uint64_t replies_checked; /* sent before the latest link_listener_check_unsent() */
};

static void add_connection(struct link_listener *listener, unsigned slot, int descriptor)
{
    listener->connections = memory_realloc(
        listener->connections, (listener->connection_count + 1) * sizeof *listener->connections);
    listener->connections[listener->connection_count++] =
        (struct connection){.descriptor = descriptor, .slot = slot};
}

static void remove_connection(struct link_listener *listener, unsigned slot, int descriptor)
{
    for (uint32_t i = listener->connection_count; i-- > 0;) {
        const struct connection *connection = &listener->connections[i];
        if (connection->slot == slot && connection->descriptor == descriptor)
            listener->connections[i] = listener->connections[--listener->connection_count];
    }
}

static void remove_slot_connections(struct link_listener *listener, unsigned slot)
{
    for (uint32_t i = listener->connection_count; i-- > 0;)
        if (listener->connections[i].slot == slot)
            listener->connections[i] = listener->connections[--listener->connection_count];
}

/* The handshake of a peer without the server's public key fails before the authenticator sees it,
 * so these rejections are counted here. */
static void report_rejection(const char *address, int length)
{
    metric_add(METRIC_LINKS_REJECTED, 1);
    log_event(LOG_LEVEL_WARN, "links", "link_rejected", "endpoint=%.*s", length > 0 ? length : 0,
              address);
}

/* Receives one event: its number and value (a descriptor for connections), then the address. */
static void receive_event(struct link_listener *listener, unsigned slot)
{
    void *monitor = listener->monitors[slot];
    uint8_t event[sizeof(uint16_t) + sizeof(uint32_t)] = {0};
    char address[ENDPOINT_SIZE];
    uint16_t number;
    int32_t value;
    zmq_recv(monitor, event, sizeof event, ZMQ_DONTWAIT);
    int length = zmq_recv(monitor, address, sizeof address - 1, ZMQ_DONTWAIT);
    memcpy(&number, event, sizeof number);
    memcpy(&value, event + sizeof number, sizeof value);
    if (number == ZMQ_EVENT_ACCEPTED)
        add_connection(listener, slot, value);
    else if (number == ZMQ_EVENT_DISCONNECTED)
        remove_connection(listener, slot, value);
    else
        report_rejection(address, length);
}

static void on_monitor_readable(void *context)
{
    struct link_listener *listener = context;
    for (unsigned slot = 0; slot < KEY_SLOTS; slot++)
        while (listener->monitors[slot] && link_socket_readable(listener->monitors[slot]))
            receive_event(listener, slot);
}

static bool has_unacknowledged_bytes(const struct connection *connection)
{
    int bytes = 0;
    return ioctl(connection->descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

uint32_t link_listener_check_unsent(struct link_listener *listener)
{
    uint32_t count = 0;
    on_monitor_readable(listener);
    for (uint32_t i = 0; i < listener->connection_count; i++) {
        struct connection *connection = &listener->connections[i];
        if (connection->settled_replies < listener->replies_checked &&
            !has_unacknowledged_bytes(connection))
            connection->settled_replies = listener->replies_checked;
        count += connection->settled_replies < listener->replies;
    }
    listener->replies_checked = listener->replies;
    return count;
}

static void open_monitor(struct link_listener *listener, unsigned slot)
{
    char endpoint[64];
    snprintf(endpoint, sizeof endpoint, "inproc://handshakes-%d-%u", listener->kind, slot);
    zmq_socket_monitor(listener->sockets[slot], endpoint, MONITORED_EVENTS);
    listener->monitors[slot] = zmq_socket(listener->zmq, ZMQ_PAIR);
    zmq_connect(listener->monitors[slot], endpoint);
    loop_watch_socket(listener->loop, listener->monitors[slot], on_monitor_readable, listener);
}

static void close_monitor(struct link_listener *listener, unsigned slot)
{
    zmq_socket_monitor(listener->sockets[slot], NULL, 0);
    loop_unwatch_socket(listener->loop, listener->monitors[slot]);
    zmq_close(listener->monitors[slot]);
    listener->monitors[slot] = NULL;
}

static enum status open_slot(struct link_listener *listener, unsigned slot)
{
    int type = listener->kind == LINK_CONTROL ? ZMQ_PULL : ZMQ_ROUTER;
    void *socket = zmq_socket(listener->zmq, type);
    link_socket_set_common_options(socket);
    link_socket_set_server_keys(socket, &listener->keys, slot);
    if (zmq_bind(socket, listener->endpoints[slot]) != 0) {
        status_fail(STATUS_IO, "%s: %s", listener->endpoints[slot], zmq_strerror(zmq_errno()));
        zmq_close(socket);
        return STATUS_IO;
    }
    listener->sockets[slot] = socket;
    loop_watch_socket(listener->loop, socket, listener->readable, listener->context);
    open_monitor(listener, slot);
    return STATUS_OK;
}

static void close_slot(struct link_listener *listener, unsigned slot, uint32_t linger_ms)
{
    if (!listener->sockets[slot])
        return;
    close_monitor(listener, slot);
    remove_slot_connections(listener, slot);
    loop_unwatch_socket(listener->loop, listener->sockets[slot]);
    link_socket_set_int(listener->sockets[slot], ZMQ_LINGER, (int)linger_ms);
    zmq_close(listener->sockets[slot]);
    listener->sockets[slot] = NULL;
}

static bool is_slot_enabled(const struct key_ring *keys, unsigned slot)
{
    return keys->enabled ? keys->slots[slot].present : slot == 0;
}

struct link_listener *link_listener_open(void *zmq, enum link_kind kind, const char *address,
                                         uint16_t port, const struct key_ring *keys,
                                         struct loop *loop, loop_callback *readable, void *context)
{
    struct link_listener *listener = memory_calloc(1, sizeof *listener);
    *listener = (struct link_listener){
        .zmq = zmq, .kind = kind, .loop = loop, .readable = readable, .context = context};
    listener->keys = *keys;
    for (unsigned slot = 0; slot < KEY_SLOTS; slot++) {
        snprintf(listener->endpoints[slot], ENDPOINT_SIZE, "tcp://%s:%u", address,
                 port + slot * KEY_SLOT_PORT_OFFSET);
        if (is_slot_enabled(keys, slot) && open_slot(listener, slot) != STATUS_OK) {
            link_listener_close(listener, 0);
            return NULL;
        }
    }
    return listener;
}

void link_listener_close(struct link_listener *listener, uint32_t linger_ms)
{
    if (!listener)
        return;
    for (unsigned slot = 0; slot < KEY_SLOTS; slot++)
        close_slot(listener, slot, linger_ms);
    free(listener->connections);
    free(listener);
}

void link_listener_set_keys(struct link_listener *listener, const struct key_ring *keys)
{
    struct key_ring before = listener->keys;
    listener->keys = *keys;
    for (unsigned slot = 0; slot < KEY_SLOTS; slot++) {
        if (memcmp(&before.slots[slot], &keys->slots[slot], sizeof before.slots[slot]) == 0)
            continue;
        close_slot(listener, slot, 0);
        if (is_slot_enabled(keys, slot))
            open_slot(listener, slot); /* a port still in use is retried at the next key change */
    }
}

static bool receive_identity(void *socket, struct link_route *route)
{
    zmq_msg_t identity;
    zmq_msg_init(&identity);
    bool received = zmq_msg_recv(&identity, socket, ZMQ_DONTWAIT) >= 0;
    size_t size = received ? zmq_msg_size(&identity) : 0;
    if (received && size <= LINK_ROUTE_SIZE) {
        memcpy(route->bytes, zmq_msg_data(&identity), size);
        route->size = (uint8_t)size;
    }
    zmq_msg_close(&identity);
    return received;
}

static Shuntrun__Envelope *receive_from_slot(struct link_listener *listener, unsigned slot,
                                             struct link_route *route)
{
    void *socket = listener->sockets[slot];
    while (socket && link_socket_readable(socket)) {
        if (listener->kind == LINK_TRAFFIC && !receive_identity(socket, route))
            return NULL;
        Shuntrun__Envelope *message = link_socket_receive(socket);
        if (!message)
            continue; /* malformed messages are dropped */
        if (route)
            route->slot = (uint8_t)slot;
        return message;
    }
    return NULL;
}

Shuntrun__Envelope *link_listener_receive(struct link_listener *listener, struct link_route *route)
{
    Shuntrun__Envelope *message = NULL;
    for (unsigned slot = 0; slot < KEY_SLOTS && !message; slot++)
        message = receive_from_slot(listener, slot, route);
    return message;
}

enum status link_listener_reply(struct link_listener *listener, const struct link_route *route,
                                const Shuntrun__Envelope *message)
{
    void *socket = listener->sockets[route->slot];
    if (!socket)
        return status_fail(STATUS_IO, "the slot of this connection is closed");
    listener->replies++;
    if (zmq_send(socket, route->bytes, route->size, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
        return status_fail(STATUS_IO, "%s", zmq_strerror(zmq_errno()));
    return link_socket_send(socket, message);
}
