/**
 * Structured logger: one line of key=value pairs per event, on standard output.
 *
 * Each line is one write(2) that never blocks: a line for a full pipe is dropped as a whole and
 * counted. Every kind of event has its own rate limit; lines above it are dropped, and the next
 * line of that kind reports their number as `left_out`. So frequent events, such as successes, do
 * not suppress failures. Never log secrets or request bodies.
 */
#ifndef SHUNTRUN_LOG_H
#define SHUNTRUN_LOG_H

#include "base/status.h"

#include <stdint.h>

enum log_level { LOG_LEVEL_DEBUG, LOG_LEVEL_INFO, LOG_LEVEL_WARN, LOG_LEVEL_ERROR };

/** \brief Initialize once, before threads start. \param node kept by reference */
void log_init(const char *node, enum log_level min_level);

/** \brief Level by name ("debug", "info", "warn", "error"); LOG_LEVEL_INFO for any other. */
enum log_level log_level_from_name(const char *name);

/** \return number of lines dropped so far, by the rate limit or because the output was full */
uint64_t log_dropped(void);

/** \brief Log one event. \param event a string literal, whose address identifies the kind of event
 *  \param format the rest of the line, as `key=value key=value` */
void log_event(enum log_level level, const char *subsystem, const char *event, const char *format,
               ...) __attribute__((format(printf, 4, 5)));

#endif
