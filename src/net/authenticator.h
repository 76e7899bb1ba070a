/**
 * ZAP handler (ZeroMQ RFC 27) that authenticates the clients of CURVE links: a public key that is
 * in no slot of the key ring is rejected. One per process, on the control loop.
 */
#ifndef SHUNTRUN_AUTHENTICATOR_H
#define SHUNTRUN_AUTHENTICATOR_H

#include "net/key_ring.h"
#include "net/loop.h"

struct authenticator;

/** \brief Open the handler; call before any listener is opened. \return NULL with a status message
 */
struct authenticator *authenticator_open(void *zmq, struct loop *loop, const struct key_ring *keys);
/** \brief Replace the accepted keys; open connections are not closed. */
void authenticator_set_keys(struct authenticator *authenticator, const struct key_ring *keys);
void authenticator_close(struct authenticator *authenticator);

#endif
