#include "base/log.h"

#include "base/clock.h"

#include <ck_pr.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

/** Below PIPE_BUF, so that a write to a pipe is atomic. */
#define LOG_LINE_SIZE 1024
#define LOG_EVENT_KINDS 256
#define LOG_LINES_PER_SECOND 20
#define LOG_BURST_LINES 60

/* Token bucket of one kind of event. */
struct event_limiter {
    const char *event;
    double tokens; /* lines that may be written now */
    uint64_t refilled_us;
    uint64_t left_out; /* lines dropped since the last one written */
};

static const char *log_node = "-";
static enum log_level log_min_level = LOG_LEVEL_INFO;
static const char *const level_names[] = {"debug", "info", "warn", "error"};
static struct event_limiter event_limiters[LOG_EVENT_KINDS];
static pthread_mutex_t event_limiters_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t dropped;

void log_init(const char *node, enum log_level min_level)
{
    struct stat output;
    log_node = node;
    log_min_level = min_level;
    if (fstat(STDOUT_FILENO, &output) == 0 && S_ISFIFO(output.st_mode))
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

enum log_level log_level_from_name(const char *name)
{
    for (int level = LOG_LEVEL_DEBUG; level <= LOG_LEVEL_ERROR; level++)
        if (strcmp(level_names[level], name) == 0)
            return (enum log_level)level;
    return LOG_LEVEL_INFO;
}

uint64_t log_dropped(void)
{
    return ck_pr_load_64(&dropped);
}

static struct event_limiter *limiter_of(const char *event)
{
    size_t start_index = ((uintptr_t)event >> 2) % LOG_EVENT_KINDS;
    for (size_t i = 0; i < LOG_EVENT_KINDS; i++) {
        struct event_limiter *limiter = &event_limiters[(start_index + i) % LOG_EVENT_KINDS];
        if (!limiter->event)
            *limiter = (struct event_limiter){event, LOG_BURST_LINES, clock_monotonic_us(), 0};
        if (limiter->event == event)
            return limiter;
    }
    return &event_limiters[start_index];
}

/* \return whether a line of this kind may be written; `left_out` is set to the number dropped
 * before it */
static bool admit_event(const char *event, uint64_t *left_out)
{
    pthread_mutex_lock(&event_limiters_lock);
    struct event_limiter *limiter = limiter_of(event);
    uint64_t now = clock_monotonic_us();
    limiter->tokens += (double)(now - limiter->refilled_us) * LOG_LINES_PER_SECOND / 1e6;
    if (limiter->tokens > LOG_BURST_LINES)
        limiter->tokens = LOG_BURST_LINES;
    limiter->refilled_us = now;
    bool admitted = limiter->tokens >= 1;
    *left_out = limiter->left_out;
    if (admitted) {
        limiter->tokens -= 1;
        limiter->left_out = 0;
    } else {
        limiter->left_out++;
    }
    pthread_mutex_unlock(&event_limiters_lock);
    return admitted;
}

static int format_prefix(char *line, size_t size, enum log_level level, const char *subsystem,
                         const char *event)
{
    struct timespec now;
    struct tm utc;
    char date[32];
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &utc);
    return snprintf(line, size, "time=%s.%03ldZ level=%s node=%s subsystem=%s event=%s ", date,
                    now.tv_nsec / 1000000, level_names[level], log_node, subsystem, event);
}

void log_event(enum log_level level, const char *subsystem, const char *event, const char *format,
               ...)
{
    uint64_t left_out;
    if (level < log_min_level)
        return;
    if (!admit_event(event, &left_out)) {
        ck_pr_inc_64(&dropped);
        return;
    }
    char line[LOG_LINE_SIZE];
    int used = format_prefix(line, sizeof line, level, subsystem, event);
    va_list arguments;
    va_start(arguments, format);
    int more = vsnprintf(line + used, sizeof line - (size_t)used, format, arguments);
    va_end(arguments);
    size_t length = (size_t)used + (more > 0 ? (size_t)more : 0);
    if (left_out && length < sizeof line)
        length += (size_t)snprintf(line + length, sizeof line - length, " left_out=%llu",
                                   (unsigned long long)left_out);
    if (length > sizeof line - 2)
        length = sizeof line - 2;
    line[length++] = '\n';
    if (write(STDOUT_FILENO, line, length) != (ssize_t)length)
        ck_pr_inc_64(&dropped);
}
