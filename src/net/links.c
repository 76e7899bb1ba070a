#include "net/links.h"

#include "base/memory.h"
#include "base/metrics.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define QUEUE_LENGTH 1000
#define MAX_MESSAGE (4 * 1024 * 1024)
#define HEARTBEAT_MS 1000
#define HEARTBEAT_TIMEOUT_MS 3000

struct link {
    uint64_t id;
    void *socket;
    char endpoint[FLEET_ADDRESS_SIZE + 16];
};

struct links {
    void *zmq;
    enum link_kind kind;
    struct loop *loop;
    links_take *take;
    void *context;
    struct link *items;
    uint32_t count;
};

static void set_int(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof value);
}

static void set_common_options(void *socket)
{
    int64_t most = MAX_MESSAGE;
    set_int(socket, ZMQ_LINGER, 0);
    set_int(socket, ZMQ_SNDHWM, QUEUE_LENGTH);
    set_int(socket, ZMQ_RCVHWM, QUEUE_LENGTH);
    set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
    set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &most, sizeof most);
}

struct links *links_create(void *zmq, enum link_kind kind, struct loop *loop, links_take *take,
                           void *context)
{
    struct links *links = memory_zero(1, sizeof *links);
    links->zmq = zmq;
    links->kind = kind;
    links->loop = loop;
    links->take = take;
    links->context = context;
    return links;
}

void links_destroy(struct links *links)
{
    if (!links)
        return;
    links_keep(links, NULL, 0);
    free(links->items);
    free(links);
}

static struct link *find_link(struct links *links, uint64_t id)
{
    for (uint32_t i = 0; i < links->count; i++)
        if (links->items[i].id == id)
            return &links->items[i];
    return NULL;
}

static Shuntrun__Envelope *take_message(void *socket)
{
    zmq_msg_t packed;
    zmq_msg_init(&packed);
    if (zmq_msg_recv(&packed, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&packed);
        return NULL;
    }
    Shuntrun__Envelope *message =
        shuntrun__envelope__unpack(NULL, zmq_msg_size(&packed), zmq_msg_data(&packed));
    zmq_msg_close(&packed);
    return message;
}

static bool readable(void *socket)
{
    int events = 0;
    size_t size = sizeof events;
    zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
    return events & ZMQ_POLLIN;
}

/* Answers of all links: one may be readable without an event of its own. */
static void receive_all(void *context)
{
    struct links *links = context;
    for (uint32_t i = 0; i < links->count; i++) {
        struct link link = links->items[i];
        while (readable(link.socket)) {
            Shuntrun__Envelope *message = take_message(link.socket);
            if (!message)
                continue; /* malformed bytes are dropped */
            links->take(links->context, link.id, message);
            shuntrun__envelope__free_unpacked(message, NULL);
        }
    }
}

static void open_socket(struct links *links, struct link *link, const struct machine *machine)
{
    uint16_t port = links->kind == LINK_CONTROL ? machine->control_port : machine->traffic_port;
    snprintf(link->endpoint, sizeof link->endpoint, "tcp://%s:%u", machine->address, port);
    link->socket = zmq_socket(links->zmq, links->kind == LINK_CONTROL ? ZMQ_PUSH : ZMQ_DEALER);
    set_common_options(link->socket);
    set_int(link->socket, ZMQ_IMMEDIATE, 1);
    set_int(link->socket, ZMQ_RECONNECT_IVL, 50);
    set_int(link->socket, ZMQ_RECONNECT_IVL_MAX, 1000);
    zmq_connect(link->socket, link->endpoint);
    if (links->take)
        loop_watch_socket(links->loop, link->socket, receive_all, links);
}

static void close_socket(struct links *links, struct link *link)
{
    if (links->take)
        loop_unwatch_socket(links->loop, link->socket);
    zmq_close(link->socket);
}

static struct link *ensure_link(struct links *links, const struct machine *machine)
{
    struct link *link = find_link(links, machine->id);
    if (link)
        return link;
    links->items = memory_resize(links->items, (links->count + 1) * sizeof *links->items);
    link = &links->items[links->count++];
    link->id = machine->id;
    open_socket(links, link, machine);
    return link;
}

void links_connect(struct links *links, const struct machine *machine)
{
    ensure_link(links, machine);
}

void links_keep(struct links *links, const uint64_t *ids, uint32_t count)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < links->count; i++) {
        bool wanted = false;
        for (uint32_t j = 0; j < count && !wanted; j++)
            wanted = ids[j] == links->items[i].id;
        if (wanted)
            links->items[kept++] = links->items[i];
        else
            close_socket(links, &links->items[i]);
    }
    links->count = kept;
}

static enum status send_packed(void *socket, const Shuntrun__Envelope *message)
{
    size_t size = shuntrun__envelope__get_packed_size(message);
    zmq_msg_t packed;
    zmq_msg_init_size(&packed, size);
    shuntrun__envelope__pack(message, zmq_msg_data(&packed));
    if (zmq_msg_send(&packed, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&packed);
        return status_fail(STATUS_IO, "%s", zmq_strerror(zmq_errno()));
    }
    metric_add(METRIC_UPDATE_BYTES, size);
    return STATUS_OK;
}

enum status links_send(struct links *links, const struct machine *machine,
                       const Shuntrun__Envelope *message)
{
    struct link *link = ensure_link(links, machine);
    return send_packed(link->socket, message);
}

void *links_bind(void *zmq, enum link_kind kind, const char *address, uint16_t port)
{
    char endpoint[FLEET_ADDRESS_SIZE + 16];
    void *socket = zmq_socket(zmq, kind == LINK_CONTROL ? ZMQ_PULL : ZMQ_ROUTER);
    set_common_options(socket);
    snprintf(endpoint, sizeof endpoint, "tcp://%s:%u", address, port);
    if (zmq_bind(socket, endpoint) == 0)
        return socket;
    status_fail(STATUS_IO, "%s: %s", endpoint, zmq_strerror(zmq_errno()));
    zmq_close(socket);
    return NULL;
}

Shuntrun__Envelope *links_take_control(void *socket)
{
    while (readable(socket)) {
        Shuntrun__Envelope *message = take_message(socket);
        if (message)
            return message;
    }
    return NULL;
}

static bool take_route(void *socket, struct link_route *route)
{
    zmq_msg_t identity;
    zmq_msg_init(&identity);
    bool taken = zmq_msg_recv(&identity, socket, ZMQ_DONTWAIT) >= 0;
    size_t size = taken ? zmq_msg_size(&identity) : 0;
    if (taken && size <= LINK_ROUTE_SIZE) {
        memcpy(route->bytes, zmq_msg_data(&identity), size);
        route->size = (uint8_t)size;
    }
    zmq_msg_close(&identity);
    return taken;
}

Shuntrun__Envelope *links_take_traffic(void *socket, struct link_route *route)
{
    while (readable(socket)) {
        if (!take_route(socket, route))
            return NULL;
        Shuntrun__Envelope *message = take_message(socket);
        if (message)
            return message;
    }
    return NULL;
}

enum status links_answer(void *socket, const struct link_route *route,
                         const Shuntrun__Envelope *message)
{
    if (zmq_send(socket, route->bytes, route->size, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0)
        return status_fail(STATUS_IO, "%s", zmq_strerror(zmq_errno()));
    return send_packed(socket, message);
}
