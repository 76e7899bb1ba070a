#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LOG_LINE_SIZE 1024

static const char *log_node = "-";
static enum log_level log_least = LOG_LEVEL_INFO;
static const char *const level_names[] = {"debug", "info", "warn", "error"};

void log_init(const char *node, enum log_level least)
{
    log_node = node;
    log_least = least;
}

enum log_level log_level_from_name(const char *name)
{
    for (int level = LOG_LEVEL_DEBUG; level <= LOG_LEVEL_ERROR; level++)
        if (strcmp(level_names[level], name) == 0)
            return (enum log_level)level;
    return LOG_LEVEL_INFO;
}

void log_event(enum log_level level, const char *subsystem, const char *event, const char *format,
               ...)
{
    if (level < log_least)
        return;
    char line[LOG_LINE_SIZE];
    struct timespec now;
    struct tm utc;
    char date[32];
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &utc);
    int used =
        snprintf(line, sizeof line, "time=%s.%03ldZ level=%s node=%s subsystem=%s event=%s ", date,
                 now.tv_nsec / 1000000, level_names[level], log_node, subsystem, event);
    va_list arguments;
    va_start(arguments, format);
    int more = vsnprintf(line + used, sizeof line - (size_t)used, format, arguments);
    va_end(arguments);
    size_t length = (size_t)used + (more > 0 ? (size_t)more : 0);
    if (length > sizeof line - 2)
        length = sizeof line - 2;
    line[length++] = '\n';
    ssize_t written = write(STDERR_FILENO, line, length);
    (void)written;
}
