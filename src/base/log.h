/**
 * A small structured logger: one line of key=value pairs an event, on standard error.
 * Lines are written with one write(2), so threads need no lock. Never pass secrets or bodies.
 */
#ifndef SHUNTRUN_LOG_H
#define SHUNTRUN_LOG_H

#include "base/status.h"

enum log_level { LOG_LEVEL_DEBUG, LOG_LEVEL_INFO, LOG_LEVEL_WARN, LOG_LEVEL_ERROR };

/** \brief Set once before threads start. \param node kept by reference. */
void log_init(const char *node, enum log_level least);

/** \brief Level by name ("debug", "info", "warn", "error"); LOG_LEVEL_INFO for any other. */
enum log_level log_level_from_name(const char *name);

/** \brief Log one event. \param format the rest of the line, as `key=value key=value`. */
void log_event(enum log_level level, const char *subsystem, const char *event, const char *format,
               ...) __attribute__((format(printf, 4, 5)));

#endif
