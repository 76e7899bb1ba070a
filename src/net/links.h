/**
 * ZeroMQ links between the nodes of a fleet.
 *
 * Control messages are one-way: each node listens with a PULL socket and connects a PUSH socket to
 * each peer it sends to. Forwarded requests use a DEALER at the gateway and a ROUTER at the agent.
 * A message is queued only on an established connection (ZMQ_IMMEDIATE) and dropped when the
 * connection breaks, so the transport sends nothing twice or late.
 *
 * With a key ring (key_ring.h), links are encrypted and authenticated, and a listener has one
 * socket for each key slot. A set of links or a listener belongs to one thread.
 */
#ifndef SHUNTRUN_LINKS_H
#define SHUNTRUN_LINKS_H

#include "base/status.h"
#include "core/fleet.h"
#include "generated/messages.pb-c.h"
#include "net/key_ring.h"
#include "net/loop.h"

#include <stdint.h>

enum link_kind { LINK_CONTROL, LINK_TRAFFIC };

/* ---- outgoing ---- */

struct links;

/** Called for each reply on a LINK_TRAFFIC link; the message is valid during the call. */
typedef void links_receive_callback(void *context, uint64_t peer,
                                    const Shuntrun__Envelope *message);

/**
 * \param zmq ZeroMQ context of the process
 * \param loop whose thread owns the links
 * \param on_message receives replies; NULL for LINK_CONTROL
 */
struct links *links_create(void *zmq, enum link_kind kind, const struct key_ring *keys,
                           struct loop *loop, links_receive_callback *on_message, void *context);
void links_destroy(struct links *links);

/** \brief Reconnect with other keys; old connections stay open for outstanding replies, and are
 * closed by links_close_unlisted() after RETIRED_LINK_KEEP_US. */
void links_set_keys(struct links *links, const struct key_ring *keys);

/** \brief Connect before the first message is sent. */
void links_connect(struct links *links, const struct machine *machine);
/** \brief Close links to machines that are not in `ids`, and retired links that have expired. */
void links_close_unlisted(struct links *links, const uint64_t *ids, uint32_t count);

/** \brief Send a message, connecting first if needed. \return STATUS_IO when the transport did not
 * take it */
enum status links_send(struct links *links, const struct machine *machine,
                       const Shuntrun__Envelope *message);

/* ---- incoming ---- */

struct link_listener;

/** \brief Bind one port per key slot. \return NULL with a status message when a port cannot be
 * bound */
struct link_listener *link_listener_open(void *zmq, enum link_kind kind, const char *address,
                                         uint16_t port, const struct key_ring *keys,
                                         struct loop *loop, loop_callback *readable, void *context);
/** \brief Close all sockets. \param linger_ms longest time for which zmq_ctx_term() waits until the
 * replies in ZeroMQ's memory are written; 0 discards them */
void link_listener_close(struct link_listener *listener, uint32_t linger_ms);
/**
 * \brief Check which peers have acknowledged the replies; call at intervals that give ZeroMQ's
 * thread time to write. \return connections that were not seen without unacknowledged bytes since
 * the call after the latest reply
 */
uint32_t link_listener_check_unsent(struct link_listener *listener);

/** \brief Bind slots with changed keys again; connections of an unchanged slot stay open. */
void link_listener_set_keys(struct link_listener *listener, const struct key_ring *keys);

#define LINK_ROUTE_SIZE 32

/** Destination of a reply: the identity of a connection on the ROUTER socket of one slot. */
struct link_route {
    uint8_t bytes[LINK_ROUTE_SIZE];
    uint8_t size;
    uint8_t slot;
};

/**
 * \brief Receive the next message, or NULL when there is none.
 * \param route filled for LINK_TRAFFIC; may be NULL for LINK_CONTROL
 * \return freed by the caller with shuntrun__envelope__free_unpacked()
 */
Shuntrun__Envelope *link_listener_receive(struct link_listener *listener, struct link_route *route);
/** \return STATUS_IO when the slot is closed or the transport did not take the message */
enum status link_listener_reply(struct link_listener *listener, const struct link_route *route,
                                const Shuntrun__Envelope *message);

#endif
