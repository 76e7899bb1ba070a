/**
 * `shuntrun explain`: from the id of a request and the logs of all processes to what became of it.
 */
#ifndef SHUNTRUN_EXPLAIN_H
#define SHUNTRUN_EXPLAIN_H

#include "base/buffer.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

/** Lines of all logs that concern one request, and what was believed then. */
struct explanation {
    json_t *lines;      /**< lines that name the request, in time order */
    json_t *node_state; /**< last lines before its end on each thing that it touched */
    char *summary;      /**< how it ended and why; owned */
};

/**
 * \brief Find a request in logs. Lines may be unsorted, interleaved or torn, and may have words of
 * a collector before them. \return false when no line names the request
 */
bool explain_request(const char *logs, size_t size, const char *request,
                     struct explanation *explanation);
void explanation_clear(struct explanation *explanation);

int explain_main(int argc, char **argv);

#endif
