/**
 * Authenticates the clients of CURVE links (ZeroMQ's ZAP, RFC 27): a key that is in no slot of the
 * key ring is refused. One for each process, on the control loop.
 */
#ifndef SHUNTRUN_GATEKEEPER_H
#define SHUNTRUN_GATEKEEPER_H

#include "net/key_ring.h"
#include "net/loop.h"

struct gatekeeper;

/** \brief Before any listener is opened. \return NULL with a status message */
struct gatekeeper *gatekeeper_open(void *zmq, struct loop *loop, const struct key_ring *keys);
void gatekeeper_set_keys(struct gatekeeper *gatekeeper, const struct key_ring *keys);
void gatekeeper_close(struct gatekeeper *gatekeeper);

#endif
