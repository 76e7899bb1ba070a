/**
 * Process setup shared by the daemons on the users' platform: settings, log, signals and the HTTP
 * service with the metrics.
 */
#ifndef SHUNTRUN_PROCESS_H
#define SHUNTRUN_PROCESS_H

#include "base/findings.h"
#include "base/settings.h"

#include <uv.h>

struct service_call;
struct service_request;

/** Handles further paths at the metrics address. \return whether the call was for one, and is
 * answered */
typedef bool process_page_handler(void *context, struct service_call *call,
                                  const struct service_request *request);

struct process {
    uv_signal_t terminate;
    uv_signal_t interrupt;
    uv_signal_t reload;
    uv_timer_t reread;
    struct http_service *metrics;
    struct settings *settings;
    enum setting_role role;
    int argc; /**< of the command line that the settings were read from */
    char **argv;
    void (*stop)(struct process *process);
    /** Settings have changed; NULL: nothing is derived from them; set before process_run(). */
    void (*reloaded)(struct process *process);
    /** While this returns true, the settings are read again and again without a signal: others may
     * be named there; NULL: never; set before process_run(). */
    bool (*is_alone)(const struct process *process);
    void *context;
    process_page_handler *page; /**< NULL: none; set before process_run() */
    void *page_context;
};

/**
 * \brief Read the settings and set up the log.
 * \return 0, or exit status 2 if the settings are invalid, after printing the findings
 */
int process_open(struct process *process, enum setting_role role, int argc, char **argv,
                 struct settings *settings);
/**
 * \brief Run the loop until it ends.
 * \param stop called on SIGTERM and SIGINT
 * \param context stored in the process, for `stop`
 * \return exit status
 */
int process_run(struct process *process, uv_loop_t *loop, void (*stop)(struct process *process),
                void *context);
/** \brief Log the problems of a configuration, the first ones only.
 * \param usable whether it applies without the parts that have problems */
void process_log_findings(const struct findings *findings, bool usable, uint64_t revision);

#endif
