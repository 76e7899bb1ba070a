/**
 * Common parts of the gateway and agent daemons: settings, signals, graceful shutdown.
 */
#ifndef SHUNTRUN_DAEMON_H
#define SHUNTRUN_DAEMON_H

#include "base/settings.h"
#include "net/node_shell.h"
#include "net/status_page.h"

#include <jansson.h>

/**
 * \brief Read the settings and the key file, print the findings, initialize logging and signal
 * handlers. SIGTERM and SIGINT request a graceful shutdown; SIGHUP changes nothing, see
 * daemon_report_signals(). \return 0, or the exit status 2 after
 * errors
 */
int daemon_init(enum setting_role role, int argc, char **argv, struct settings *settings,
                struct key_ring *keys);

/** Phases of a graceful shutdown, in their order. Each one lasts for at least a tick, so that the
 * owner has acted on it before the next one is decided. */
enum daemon_phase {
    DAEMON_RUNNING,
    DAEMON_LEAVING, /**< the stop signal arrived; others learn of it and may still send requests */
    DAEMON_FINISHING, /**< no request is accepted; those in progress go on */
    DAEMON_CLOSING, /**< nothing is owed, or the drain time is over: the last responses are sent */
    DAEMON_STOPPED,
};

/** What a process that stops still owes. */
struct daemon_debts {
    uint32_t owed;   /**< what has the drain time: requests in progress, an agent's answers too */
    uint32_t unsent; /**< responses that are not completely sent */
};

/** Graceful shutdown: accept no new requests, then wait for those in progress. */
struct daemon_drain {
    uint64_t timeout_us;  /**< longest wait for active requests, after `min_wait_us` */
    uint64_t min_wait_us; /**< time from the stop signal in which others learn of it */
    uint64_t started_us;  /**< time of the first tick after the stop signal */
    uint64_t closing_us;  /**< time at which DAEMON_CLOSING began */
    enum daemon_phase phase;
    bool listed_leaving; /**< the machine list marks this machine as leaving */
};

void daemon_drain_init(struct daemon_drain *drain, uint64_t timeout_ms, uint64_t min_wait_ms);
void daemon_set_listed_leaving(struct daemon_drain *drain, bool leaving);
bool daemon_is_draining(const struct daemon_drain *drain);
/** \brief Advance by one phase at most; call on each tick. \param now monotonic time, microseconds
 *  \return the phase; the process ends at DAEMON_STOPPED */
enum daemon_phase daemon_drain_advance(struct daemon_drain *drain, struct daemon_debts debts,
                                       uint64_t now);

/** \brief Log each request to reload the settings, which takes a restart; call on each tick. */
void daemon_report_signals(void);

/** \return longest time for which bytes may still be sent: what is left of the drain time, and at
 * least that of DAEMON_CLOSING; milliseconds */
uint32_t daemon_drain_linger_ms(const struct daemon_drain *drain, uint64_t now);

/** \brief Publish /v1/machines; call after a change of the machine list. */
void daemon_publish_machines(const struct node_shell *shell, struct status_page *page);

/** \brief Fields of /v1/status that both daemons report. \return a new reference */
json_t *daemon_status_json(const struct node_shell *shell, const char *role,
                           const struct daemon_drain *drain);

#endif
