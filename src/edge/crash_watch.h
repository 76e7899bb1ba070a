/**
 * Finds out whether a back end has ended when requests there broke off, and tells all nodes which
 * requests it had.
 *
 * One broken connection proves nothing: connections are reset on their way, and an engine may break
 * an answer off and live on. A back end counts as ended when none of this gateway's connections to
 * it is left and a new one is refused, or when another start stands at its address soon after. One
 * that said it leaves, or that the list dropped while its keeper worked, serves on for a time that
 * the platform promises; an end after that is planned, and proves nothing against a request. An end
 * before it is one like any other.
 */
#ifndef SHUNTRUN_CRASH_WATCH_H
#define SHUNTRUN_CRASH_WATCH_H

#include "core/crash_table.h"
#include "edge/edge_internal.h"

/** \brief A request broke off at a back end. \param sent_at time at which it was sent there */
void crash_watch_lost_run(struct edge *edge, struct backend *backend,
                          const struct request_identity *identity, const char *request_id,
                          uint64_t sent_at);
/** \return whether it is to be known soon if the back end has ended */
bool crash_watch_is_checking(const struct edge *edge, const struct backend *backend);
/** \brief Look for other starts at the addresses of back ends that are in doubt. */
void crash_watch_tick(struct edge *edge, uint64_t now);

#endif
