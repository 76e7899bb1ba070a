/**
 * What a probe of a backend shows about the start of it that ended an answer with its connection.
 *
 * The kernel closes the connections of a process that ends like one that the process closes itself,
 * so such an end shows neither that an answer without a length is whole nor that it was cut off. It
 * is whole if that start lived on, which only an answer of it to a question that was asked after
 * the end proves: what was sent earlier may arrive later. That nothing shows a death proves
 * nothing: a listening socket may outlive its process, and the list lags.
 */
#ifndef SHUNTRUN_LIVENESS_H
#define SHUNTRUN_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

/** How a probe of a backend ended. */
enum probe_result {
    PROBE_ANSWERED,
    PROBE_REFUSED,    /**< nobody accepts connections at its address */
    PROBE_UNANSWERED, /**< timed out, or its connection broke */
};

enum liveness {
    LIVENESS_UNKNOWN, /**< another probe may show more */
    LIVENESS_ALIVE,
    LIVENESS_ENDED, /**< that start does not answer at its address any more */
};

/**
 * \param backend_id id of the start that ended the answer
 * \param answered_by id of the start that answered the probe; "": it did not name itself
 */
enum liveness liveness_from_probe(enum probe_result result, const char *backend_id,
                                  const char *answered_by);
/** \return whether a probe that was sent at `asked_at` tells about an end that was seen at
 * `ended_at` */
bool liveness_probe_covers(uint64_t asked_at, uint64_t ended_at);
/** \return name for logs */
const char *liveness_name(enum liveness liveness);

#endif
