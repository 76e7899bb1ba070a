/**
 * Answers the calls of other nodes for the manifest and pieces of one version.
 *
 * A call for what is not held yet waits for it, so that a piece goes on at the moment it comes.
 * Answers leave at a pace, so that other traffic of the machine's link gets through between them.
 */
#ifndef SHUNTRUN_PIECE_SERVER_H
#define SHUNTRUN_PIECE_SERVER_H

#include "weights/piece_set.h"
#include "weights/piece_wire.h"

#include <uv.h>

struct piece_server;

/**
 * \param set must outlive the server
 * \param bits_per_us rate at which answers leave; 0: not bounded
 * \param wait_us time for which a call waits for what is not held yet; 0: not at all
 */
struct piece_server *piece_server_create(uv_loop_t *loop, const struct piece_set *set,
                                         double bits_per_us, uint64_t wait_us);
/** \brief Refuse what waits, and free the server. */
void piece_server_destroy(struct piece_server *server);
/** \brief Answer a call for this version, now or later. */
void piece_server_handle(struct piece_server *server, struct service_call *call,
                         const struct piece_call *wanted, uint64_t now);
/** \brief The manifest or another piece is there. */
void piece_server_answer_waiting(struct piece_server *server, uint64_t now);
/** \brief Refuse calls that waited too long; call several times in each `wait_us`. */
void piece_server_tick(struct piece_server *server, uint64_t now);

#endif
