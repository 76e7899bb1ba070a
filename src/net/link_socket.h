/**
 * Common parts of outgoing links and listeners: socket options, CURVE keys, message encoding.
 */
#ifndef SHUNTRUN_LINK_SOCKET_H
#define SHUNTRUN_LINK_SOCKET_H

#include "net/links.h"

#include <stdbool.h>

/** \brief Set the options of every socket: queue lengths, heartbeats, message size. */
void link_socket_set_common_options(void *socket);
/** \brief Act as a CURVE server with the keys of `slot`; no-op when the key ring is disabled. */
void link_socket_set_server_keys(void *socket, const struct key_ring *keys, unsigned slot);
/** \brief Act as a CURVE client with the keys of the active slot; no-op when the key ring is
 * disabled. */
void link_socket_set_client_keys(void *socket, const struct key_ring *keys);
void link_socket_set_int(void *socket, int option, int value);

/** \return whether a message can be received without blocking */
bool link_socket_readable(void *socket);
/** \brief Receive and decode one message. \return NULL when there is none or it is malformed; freed
 * by the caller with shuntrun__envelope__free_unpacked() */
Shuntrun__Envelope *link_socket_receive(void *socket);
/** \brief Encode and send without blocking. \return STATUS_IO when the message was not queued */
enum status link_socket_send(void *socket, const Shuntrun__Envelope *message);

#endif
