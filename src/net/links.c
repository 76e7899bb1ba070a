#include "net/links.h"

#include "base/clock.h"
#include "base/memory.h"
#include "net/link_socket.h"

#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000
#define RETIRED_LINK_KEEP_US (60 * MICROSECONDS_PER_SECOND) /* longer than a request may take */

struct link {
    uint64_t id;
    void *socket;
    uint64_t retired_at_us; /* 0: current */
};

struct links {
    void *zmq;
    enum link_kind kind;
    struct key_ring keys;
    struct loop *loop;
    links_receive_callback *on_message;
    void *context;
    struct link *items; /* current and retired links */
    uint32_t count;
};

struct links *links_create(void *zmq, enum link_kind kind, const struct key_ring *keys,
                           struct loop *loop, links_receive_callback *on_message, void *context)
{
    struct links *links = memory_calloc(1, sizeof *links);
    links->zmq = zmq;
    links->kind = kind;
    links->keys = *keys;
    links->loop = loop;
    links->on_message = on_message;
    links->context = context;
    return links;
}

static void close_link(struct links *links, uint32_t index)
{
    if (links->on_message)
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
        if (links->items[i].id == id && !links->items[i].retired_at_us)
            return &links->items[i];
    return NULL;
}

/* Receives from all links, as one may be readable without an event of its own. */
static void receive_all(void *context)
{
    struct links *links = context;
    for (uint32_t i = 0; i < links->count; i++) {
        struct link link = links->items[i];
        while (link_socket_readable(link.socket)) {
            Shuntrun__Envelope *message = link_socket_receive(link.socket);
            if (!message)
                continue; /* malformed messages are dropped */
            links->on_message(links->context, link.id, message);
            shuntrun__envelope__free_unpacked(message, NULL);
        }
    }
}

static void *open_socket(struct links *links, const struct machine *machine)
{
    char endpoint[FLEET_ADDRESS_SIZE + 16];
    unsigned port = links->kind == LINK_CONTROL ? machine->control_port : machine->traffic_port;
    unsigned slot = links->keys.enabled ? links->keys.active_slot : 0;
    void *socket = zmq_socket(links->zmq, links->kind == LINK_CONTROL ? ZMQ_PUSH : ZMQ_DEALER);
    snprintf(endpoint, sizeof endpoint, "tcp://%s:%u", machine->address,
             port + slot * KEY_SLOT_PORT_OFFSET);
    link_socket_set_common_options(socket);
    link_socket_set_client_keys(socket, &links->keys);
    link_socket_set_int(socket, ZMQ_IMMEDIATE, 1);
    link_socket_set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
    link_socket_set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    zmq_connect(socket, endpoint);
    if (links->on_message)
        loop_watch_socket(links->loop, socket, receive_all, links);
    return socket;
}

static struct link *ensure_link(struct links *links, const struct machine *machine)
{
    struct link *link = find_link(links, machine->id);
    if (link)
        return link;
    links->items = memory_realloc(links->items, (links->count + 1) * sizeof *links->items);
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
        if (!links->items[i].retired_at_us)
            links->items[i].retired_at_us = clock_monotonic_us();
}

static bool is_listed(uint64_t id, const uint64_t *ids, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++)
        if (ids[i] == id)
            return true;
    return false;
}

void links_close_unlisted(struct links *links, const uint64_t *ids, uint32_t count)
{
    uint64_t now = clock_monotonic_us();
    for (uint32_t i = 0; i < links->count;) {
        const struct link *link = &links->items[i];
        bool expired = link->retired_at_us && now - link->retired_at_us > RETIRED_LINK_KEEP_US;
        if (expired || !is_listed(link->id, ids, count))
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
