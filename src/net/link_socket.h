/**
 * What outgoing links and listeners share: socket options, packing, keys.
 */
#ifndef SHUNTRUN_LINK_SOCKET_H
#define SHUNTRUN_LINK_SOCKET_H

#include "net/links.h"

#include <stdbool.h>

/** \brief Options of every socket. */
void link_socket_set_common_options(void *socket);
/** \brief Serve with the keys of one slot; nothing when the ring is off. */
void link_socket_set_server_keys(void *socket, const struct key_ring *keys, unsigned slot);
/** \brief Connect with the keys of the slot in use. */
void link_socket_set_client_keys(void *socket, const struct key_ring *keys);
void link_socket_set_int(void *socket, int option, int value);

bool link_socket_readable(void *socket);
/** \brief Take one message; NULL when it is malformed or none is there. */
Shuntrun__Envelope *link_socket_receive(void *socket);
enum status link_socket_send(void *socket, const Shuntrun__Envelope *message);

#endif
