/**
 * What both daemons share: settings with findings, signals, the planned stop.
 */
#ifndef SHUNTRUN_DAEMON_H
#define SHUNTRUN_DAEMON_H

#include "base/settings.h"
#include "net/node_shell.h"
#include "net/status_page.h"

#include <jansson.h>

/**
 * \brief Read settings and the key file, print findings, set up the log and signals. SIGTERM and
 * SIGINT ask for a planned stop. \return 0, or 2 with the findings printed
 */
int daemon_init(enum setting_role role, int argc, char **argv, struct settings *settings,
                struct key_ring *keys);

/** A planned stop: no new work, then the end of what is in progress. */
struct daemon_drain {
    uint64_t timeout_us;
    uint64_t min_wait_us; /**< least time from the stop signal to the end */
    uint64_t started_us;  /**< 0 before the stop signal */
    bool listed_leaving;  /**< the machine list says that this machine leaves */
};

void daemon_drain_init(struct daemon_drain *drain, uint64_t timeout_ms, uint64_t min_wait_ms);
void daemon_set_listed_leaving(struct daemon_drain *drain, bool leaving);
bool daemon_is_draining(const struct daemon_drain *drain);
/** \brief Whether the process may end; to be called on each tick. \param active requests now */
bool daemon_drain_done(struct daemon_drain *drain, uint32_t active, uint64_t now);

/** \brief Publish /v1/machines; when the machine list changed. */
void daemon_publish_machines(const struct node_shell *shell, struct status_page *page);

/** \brief The common part of /v1/status. */
json_t *daemon_status_json(const struct node_shell *shell, const char *role,
                           const struct daemon_drain *drain);

#endif
