/**
 * Traffic thread of a gateway: runs core/routing/router over links to agents. HTTP threads post
 * requests; the control thread posts routing views and keys. All functions but start and stop may
 * be called from any thread.
 */
#ifndef SHUNTRUN_GATEWAY_TRAFFIC_H
#define SHUNTRUN_GATEWAY_TRAFFIC_H

#include "base/settings.h"
#include "core/routing/router.h"
#include "core/routing/routing_view.h"
#include "net/node_shell.h"

struct gateway_traffic;
struct http_exchange;
struct status_page;

/**
 * \brief Start the thread.
 * \param settings must stay valid until gateway_traffic_stop(), as `page` must
 * \param page receives the request counts by service and tenant as extra metrics
 */
struct gateway_traffic *gateway_traffic_start(const struct settings *settings,
                                              const struct node_shell *shell,
                                              struct status_page *page);
/** \brief Stop the thread and abort all calls. NULL is ignored. */
void gateway_traffic_stop(struct gateway_traffic *traffic);

/** \brief Use new keys for the links to agents; copied. */
void gateway_traffic_set_keys(struct gateway_traffic *traffic, const struct key_ring *keys);

/** \brief Replace the routing view and connect to its agents; takes ownership of `view`. */
void gateway_traffic_set_view(struct gateway_traffic *traffic, struct routing_view *view);

/** \brief Submit the request of a retained exchange; strings and body are copied. */
void gateway_traffic_submit(struct gateway_traffic *traffic, struct http_exchange *exchange,
                            const struct router_request *request);
/** \brief A retained exchange is closed: the client has disconnected or received the whole
 * response. */
void gateway_traffic_on_closed(struct gateway_traffic *traffic, struct http_exchange *exchange);

/** \brief End all calls that are in progress, with the outcome unknown; no call may be submitted
 * afterwards. */
void gateway_traffic_end_calls(struct gateway_traffic *traffic);

/** \return calls submitted whose exchange is not closed */
uint32_t gateway_traffic_active_calls(const struct gateway_traffic *traffic);

#endif
