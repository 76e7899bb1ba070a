/**
 * ZeroMQ links between own processes.
 *
 * Control messages are one-way: each node binds one PULL socket and connects a PUSH socket to each
 * peer it sends to. Forwarded requests use a DEALER at the gateway and a ROUTER at the agent. A
 * message is queued only on a finished connection (ZMQ_IMMEDIATE) and dropped when the connection
 * breaks, so nothing is sent twice or late by the transport.
 *
 * A set of links belongs to one thread.
 */
#ifndef SHUNTRUN_LINKS_H
#define SHUNTRUN_LINKS_H

#include "base/status.h"
#include "core/fleet.h"
#include "generated/messages.pb-c.h"
#include "net/loop.h"

#include <stdint.h>

enum link_kind { LINK_CONTROL, LINK_TRAFFIC };

struct links;

/** An answer came over a LINK_TRAFFIC link; the message is valid during the call. */
typedef void links_take(void *context, uint64_t peer, const Shuntrun__Envelope *message);

/**
 * \param zmq context of the process
 * \param loop whose thread owns the links
 * \param take for answers; NULL for LINK_CONTROL
 */
struct links *links_create(void *zmq, enum link_kind kind, struct loop *loop, links_take *take,
                           void *context);
void links_destroy(struct links *links);

/** \brief Connect ahead of the first message. */
void links_connect(struct links *links, const struct machine *machine);
/** \brief Close links to machines that are not in the list. */
void links_keep(struct links *links, const uint64_t *ids, uint32_t count);

/** \return STATUS_IO when nothing was handed to the transport */
enum status links_send(struct links *links, const struct machine *machine,
                       const Shuntrun__Envelope *message);

/** \brief Bind a PULL (control) or ROUTER (traffic) socket. \return NULL with a status message */
void *links_bind(void *zmq, enum link_kind kind, const char *address, uint16_t port);

/** \brief Next message of a bound control socket; NULL when there is none. Freed by the caller. */
Shuntrun__Envelope *links_take_control(void *socket);

#define LINK_ROUTE_SIZE 32

/** Where an answer goes: the identity of a connection at a ROUTER socket. */
struct link_route {
    uint8_t bytes[LINK_ROUTE_SIZE];
    uint8_t size;
};

Shuntrun__Envelope *links_take_traffic(void *socket, struct link_route *route);
enum status links_answer(void *socket, const struct link_route *route,
                         const Shuntrun__Envelope *message);

#endif
