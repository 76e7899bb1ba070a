/**
 * State and functions that the modules of the loader share: loader.c runs the process and applies
 * what the platform publishes, loader_report.c asks the engine for its reports, loader_load.c tells
 * gateways of its load. All of it runs on one event loop in one thread.
 */
#ifndef SHUNTRUN_LOADER_INTERNAL_H
#define SHUNTRUN_LOADER_INTERNAL_H

#include "cluster/cluster.h"
#include "cluster/process.h"
#include "loader/engine_rate.h"
#include "loader/wanted_versions.h"
#include "net/http_caller.h"
#include "platform/platform.h"

/** Interval of ticks while pieces are fetched or installed, and of reports while the engine loads:
 * a tenth of the time that loading takes. */
#define BUSY_TICK_INTERVAL_MS 25
#define REPORT_INTERVAL_MS 60

struct loader {
    struct process process;
    struct cluster cluster;
    struct sockaddr_in engine_address;
    struct http_caller *engine_caller;
    uv_timer_t timer;
    struct route_table *table;
    struct wanted_versions versions;
    bool version_check_pending; /* an item that decides the version changed */
    struct installer *installer;
    uint64_t predecessor_heard_at; /* last message of a previous process to other nodes; 0: none */
    uint64_t predecessor_engine_born; /* start of the engine that it reported last; 0: none */
    char model[BACKEND_NAME_SIZE];
    struct sockaddr_in origin;
    bool has_origin;
    struct engine_report report;
    struct engine_rate rate;
    uint64_t report_asked_at; /* time at which the last report was requested */
    bool reachable;
    bool report_pending;
    uint64_t next_report_at;
    struct backend_load sent_load;
    struct stated_rate sent_rate;
    uint64_t load_sent_at;
    uint64_t next_load_log_at;
    uint64_t cross_region_load_sent_at;
};

/* --- Load of the engine: loader_load.c --- */

/** \return the service whose engine runs on this machine; NULL: it is not configured */
const struct service_entry *loader_own_service(const struct loader *loader);
/** \return time from which the engine may load the next version of its weights */
uint64_t loader_scheduled_load_time(const struct loader *loader);
/** \brief Tells the gateways the engine's load, unless it is as sent before and no resend is due.
 */
void loader_send_load(struct loader *loader, uint64_t now);

/* --- Reports of the engine: loader_report.c --- */

/** \brief Asks the engine for a report. */
void loader_request_report(struct loader *loader);
/** \brief The connection to the engine was lost. \param context the loader */
void loader_on_engine_connection_lost(void *context);
/** \brief A gateway told the rate limit that it heard from an engine. \param context the loader */
void loader_on_rate(void *context, uint32_t from, const Shuntrun__RateStatement *message);

#endif
