#include "net/links.h"

#include "base/clock.h"
#include "base/memory.h"
#include "net/link_socket.h"

#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#define RECONNECT_LEAST_MS 50
#define RECONNECT_MOST_MS 1000
#define RETIRED_US (60 * MICROSECONDS_PER_SECOND) /* longer than a request may take */

struct link {
    uint64_t id;
    void *socket;
    uint64_t retired_at; /* 0: in use */
};

struct links {
    void *zmq;
    enum link_kind kind;
    struct key_ring keys;
    struct loop *loop;
    links_take *take;
    void *context;
    struct link *items; /* retired ones too */
    uint32_t count;
};

struct links *links_create(void *zmq, enum link_kind kind, const struct key_ring *keys,
                           struct loop *loop, links_take *take, void *context)
{
    struct links *links = memory_zero(1, sizeof *links);
    links->zmq = zmq;
    links->kind = kind;
    links->keys = *keys;
    links->loop = loop;
    links->take = take;
    links->context = context;
    return links;
}

static void close_link(struct links *links, uint32_t index)
{
    if (links->take)
        loop_unwatch_socket(links->loop, links->items[index].socket);
    zmq_close(links->items[index].socket);
    links->items[index] = links->items[--links->count];
}

void links_destroy(struct links *links)
{
    if (!links)
        return;
    while (links->count)
        close_link(links, 0);
    free(links->items);
    free(links);
}

static struct link *find_link(struct links *links, uint64_t id)
{
    for (uint32_t i = 0; i < links->count; i++)
        if (links->items[i].id == id && !links->items[i].retired_at)
            return &links->items[i];
    return NULL;
}

/* Answers of all links: one may be readable without an event of its own. */
static void receive_all(void *context)
{
    struct links *links = context;
    for (uint32_t i = 0; i < links->count; i++) {
        struct link link = links->items[i];
        while (link_socket_readable(link.socket)) {
            Shuntrun__Envelope *message = link_socket_take(link.socket);
            if (!message)
                continue; /* malformed bytes are dropped */
            links->take(links->context, link.id, message);
            shuntrun__envelope__free_unpacked(message, NULL);
        }
    }
}

static void *open_socket(struct links *links, const struct machine *machine)
{
    char endpoint[FLEET_ADDRESS_SIZE + 16];
    unsigned port = links->kind == LINK_CONTROL ? machine->control_port : machine->traffic_port;
    unsigned slot = links->keys.enabled ? links->keys.use : 0;
    void *socket = zmq_socket(links->zmq, links->kind == LINK_CONTROL ? ZMQ_PUSH : ZMQ_DEALER);
    snprintf(endpoint, sizeof endpoint, "tcp://%s:%u", machine->address,
             port + slot * KEY_SLOT_PORT_STEP);
    link_socket_prepare(socket);
    link_socket_client_keys(socket, &links->keys);
    link_socket_set_int(socket, ZMQ_IMMEDIATE, 1);
    link_socket_set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_LEAST_MS);
    link_socket_set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MOST_MS);
    zmq_connect(socket, endpoint);
    if (links->take)
        loop_watch_socket(links->loop, socket, receive_all, links);
    return socket;
}

static struct link *ensure_link(struct links *links, const struct machine *machine)
{
    struct link *link = find_link(links, machine->id);
    if (link)
        return link;
    links->items = memory_resize(links->items, (links->count + 1) * sizeof *links->items);
    link = &links->items[links->count++];
    *link = (struct link){.id = machine->id, .socket = open_socket(links, machine)};
    return link;
}

void links_connect(struct links *links, const struct machine *machine)
{
    ensure_link(links, machine);
}

void links_set_keys(struct links *links, const struct key_ring *keys)
{
    links->keys = *keys;
    for (uint32_t i = 0; i < links->count; i++)
        if (!links->items[i].retired_at)
            links->items[i].retired_at = clock_monotonic_us();
}

static bool is_listed(uint64_t id, const uint64_t *ids, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++)
        if (ids[i] == id)
            return true;
    return false;
}

void links_keep(struct links *links, const uint64_t *ids, uint32_t count)
{
    uint64_t now = clock_monotonic_us();
    for (uint32_t i = 0; i < links->count;) {
        const struct link *link = &links->items[i];
        bool over = link->retired_at && now - link->retired_at > RETIRED_US;
        if (over || !is_listed(link->id, ids, count))
            close_link(links, i);
        else
            i++;
    }
}

enum status links_send(struct links *links, const struct machine *machine,
                       const Shuntrun__Envelope *message)
{
    return link_socket_send(ensure_link(links, machine)->socket, message);
}
