/**
 * The traffic thread of a gateway: runs core/router over links to agents. HTTP threads post
 * requests; the control thread posts routing views.
 */
#ifndef SHUNTRUN_GATEWAY_TRAFFIC_H
#define SHUNTRUN_GATEWAY_TRAFFIC_H

#include "base/settings.h"
#include "core/router.h"
#include "core/routing_view.h"
#include "net/node_shell.h"

struct gateway_traffic;
struct http_exchange;
struct status_page;

/** \param page gets the counts by service and tenant */
struct gateway_traffic *gateway_traffic_start(const struct settings *settings,
                                              const struct node_shell *shell,
                                              struct status_page *page);
void gateway_traffic_stop(struct gateway_traffic *traffic);

void gateway_traffic_set_keys(struct gateway_traffic *traffic, const struct key_ring *keys);

/** \brief Use a new view; taken over. */
void gateway_traffic_set_view(struct gateway_traffic *traffic, struct routing_view *view);

/** \brief Take a request from a kept exchange; texts and body are copied. */
void gateway_traffic_submit(struct gateway_traffic *traffic, struct http_exchange *exchange,
                            const struct router_request *request);
/** \brief The client of a kept exchange is gone or has its whole answer. */
void gateway_traffic_on_closed(struct gateway_traffic *traffic, struct http_exchange *exchange);

uint32_t gateway_traffic_active_calls(const struct gateway_traffic *traffic);

#endif
