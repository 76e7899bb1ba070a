/**
 * I/O shell around the pure state machine `struct node`, run by the control thread of gateway and
 * agent: control links, reads of platform documents, key rotation, ticks.
 */
#ifndef SHUNTRUN_NODE_SHELL_H
#define SHUNTRUN_NODE_SHELL_H

#include "base/settings.h"
#include "core/node.h"
#include "net/authenticator.h"
#include "net/links.h"
#include "net/loop.h"

/** Called on the control thread. */
struct node_shell_callbacks {
    void *context;
    /** The machine list or the configuration changed. */
    void (*view_changed)(void *context);
    void (*update_received)(void *context, const struct peer *peer,
                            const Shuntrun__NodeUpdate *update); /**< may be NULL */
    void (*tick)(void *context, uint64_t now);
    /** The CURVE keys changed; the callback passes them to the traffic thread. */
    void (*keys_changed)(void *context, const struct key_ring *keys);
};

struct node_shell {
    const struct settings *settings;
    struct node_shell_callbacks callbacks;
    void *zmq;
    struct key_ring keys;
    struct timespec keys_changed_at;
    uint64_t next_key_check; /**< monotonic time, microseconds */
    struct authenticator *authenticator;
    struct link_listener *inbound;
    struct loop *loop;
    struct links *links;
    struct node *node;
    uint64_t incarnation;
};

/** \brief Open the links and create the node; loop_run() then drives it. \return STATUS_IO when the
 * control port cannot be bound */
enum status node_shell_open(struct node_shell *shell, const struct settings *settings,
                            const struct key_ring *keys, enum machine_role role,
                            const struct node_shell_callbacks *callbacks);
void node_shell_close(struct node_shell *shell);

#endif
