/**
 * Serves the manifest and the pieces of one version to other nodes.
 *
 * A manifest that is not trusted is not handed on: nobody could tell later where it came from.
 * A call for data that is not held yet waits, so that a piece is forwarded as soon as it arrives.
 * Responses are paced, so that other traffic on the machine's link is not delayed behind them.
 */
#ifndef SHUNTRUN_PIECE_SERVER_H
#define SHUNTRUN_PIECE_SERVER_H

#include "weights/piece_set.h"
#include "weights/piece_wire.h"

#include <uv.h>

struct piece_server;

/**
 * \param set must outlive the server
 * \param bits_per_us rate limit of responses (bits per us, that is Mbit/s); 0: unlimited
 * \param wait_us maximum time that a call waits for data that is not held yet; 0: no wait
 */
struct piece_server *piece_server_create(uv_loop_t *loop, const struct piece_set *set,
                                         double bits_per_us, uint64_t wait_us);
/** \brief Respond to waiting calls with 404, and free the server. */
void piece_server_destroy(struct piece_server *server);
/** \brief Respond to a call for this version, or queue it; 429 when the queue is full. */
void piece_server_handle(struct piece_server *server, struct service_call *call,
                         const struct piece_call *wanted, uint64_t now);
/** \brief Respond to waiting calls whose data is held; call when a manifest or piece arrives. */
void piece_server_answer_waiting(struct piece_server *server, uint64_t now);
/** \brief Respond with 409 to calls that waited for `wait_us`; call several times per `wait_us`. */
void piece_server_tick(struct piece_server *server, uint64_t now);

#endif
