/**
 * Detects backend crashes after requests were interrupted, and tells all nodes which requests the
 * crashed backend was running.
 *
 * One broken connection proves nothing: connections are reset in transit, and an engine may abort a
 * response and keep running. A backend counts as crashed when none of this gateway's connections to
 * it is left and a new one is refused, or when a later incarnation of a backend appears at its
 * address soon after. A backend that announced that it is leaving, or that was removed from the
 * list while the store was healthy, keeps serving for a time that the platform guarantees. An end
 * after that time is planned and is no evidence against a request; an end before it counts as a
 * crash.
 */
#ifndef SHUNTRUN_CRASH_WATCH_H
#define SHUNTRUN_CRASH_WATCH_H

#include "core/crash/crash_table.h"
#include "edge/edge_internal.h"

/** A request whose run at a backend was interrupted. */
struct lost_request {
    const char *id; /**< of the caller's attempt */
    const struct request_identity *identity;
    const struct prompt_part *parts; /**< that its prompt shares with others */
    uint32_t part_count;
    uint64_t sent_at;  /**< time at which it was sent to the backend */
    uint64_t ended_at; /**< time at which its run was interrupted */
};

/** \brief Reports a request that was interrupted. */
void crash_watch_report_lost_run(struct edge *edge, struct backend *backend,
                                 const struct lost_request *request);
/** \return whether a check is running that will show soon if the backend has crashed */
bool crash_watch_is_checking(const struct edge *edge, const struct backend *backend);
/** \brief Checks the addresses of suspected backends for later incarnations, and ends checks
 * that timed out. */
void crash_watch_tick(struct edge *edge, uint64_t now);

#endif
