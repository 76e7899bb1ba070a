/**
 * Authenticates the clients of CURVE links (ZeroMQ's ZAP, RFC 27): a key that is in no slot of the
 * key ring is refused. One for each process, on the control loop.
 */
#ifndef SHUNTRUN_AUTHENTICATOR_H
#define SHUNTRUN_AUTHENTICATOR_H

#include "net/key_ring.h"
#include "net/loop.h"

struct authenticator;

/** \brief Before any listener is opened. \return NULL with a status message */
struct authenticator *authenticator_open(void *zmq, struct loop *loop, const struct key_ring *keys);
void authenticator_set_keys(struct authenticator *authenticator, const struct key_ring *keys);
void authenticator_close(struct authenticator *authenticator);

#endif
