/**
 * `shuntrun explain`: finds in the logs of all processes how a request ended and why.
 */
#ifndef SHUNTRUN_EXPLAIN_H
#define SHUNTRUN_EXPLAIN_H

#include "base/buffer.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/** How a request ended, with the log lines that show it; lists are JSON arrays of strings. */
struct explanation {
    json_t *lines; /**< log lines that name the request, ordered by time */
    /** Latest log lines of the node, until the request ended, about its configuration, weights,
     *  members, store and process, and about the backends that it tried for the request. */
    json_t *node_state;
    char *summary; /**< how it ended and why; owned */
};

/**
 * \brief Explain a request from logs. Lines may be unsorted, interleaved or truncated, and may
 * have a prefix of a log collector. \return false when no line names the request
 */
bool explain_request(const char *logs, size_t size, const char *request,
                     struct explanation *explanation);
void explanation_clear(struct explanation *explanation);

/** \return exit status of the process */
int explain_main(int argc, char **argv);

#endif
