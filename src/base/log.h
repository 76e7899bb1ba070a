/**
 * A small structured logger: one line of key=value pairs an event, on standard output.
 *
 * Lines are written with one write(2), whole or not at all, and never block: a line for a pipe that
 * nobody reads is dropped and counted. Each kind of event has a rate of its own; what is above it
 * is left out, and the next line of the kind says how many were. Failures are kept longer than
 * successes, as their kinds differ. Never pass secrets or bodies.
 */
#ifndef SHUNTRUN_LOG_H
#define SHUNTRUN_LOG_H

#include "base/status.h"

#include <stdint.h>

enum log_level { LOG_LEVEL_DEBUG, LOG_LEVEL_INFO, LOG_LEVEL_WARN, LOG_LEVEL_ERROR };

/** \brief Set once before threads start. \param node kept by reference. */
void log_init(const char *node, enum log_level min_level);

/** \brief Level by name ("debug", "info", "warn", "error"); LOG_LEVEL_INFO for any other. */
enum log_level log_level_from_name(const char *name);

/** \return lines that were left out so far, by rate or because nobody read them */
uint64_t log_dropped(void);

/** \brief Log one event. \param event a literal: its address is the kind's identity. \param format
 * the rest of the line, as `key=value key=value`. */
void log_event(enum log_level level, const char *subsystem, const char *event, const char *format,
               ...) __attribute__((format(printf, 4, 5)));

#endif
