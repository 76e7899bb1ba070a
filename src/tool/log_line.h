/**
 * Reads log lines of this program: key=value pairs, of all processes in the order of their times.
 */
#ifndef SHUNTRUN_LOG_LINE_H
#define SHUNTRUN_LOG_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOG_LINE_MAX_FIELDS 40

/** One key=value pair of a line; neither text is zero-terminated. */
struct log_field {
    const char *name;
    size_t name_length;
    const char *value;
    size_t value_length;
};

/** One line, which points into the text that was read. */
struct log_line {
    const char *start;
    size_t length;
    struct log_field fields[LOG_LINE_MAX_FIELDS];
    uint32_t field_count;
};

/** Lines in the order of their times. */
struct log_line_list {
    struct log_line *lines;
    uint32_t count;
};

/** \return the field of this name, or NULL */
const struct log_field *log_line_find_field(const struct log_line *line, const char *name);
bool log_line_field_equals(const struct log_line *line, const char *name, const char *value);
/** \return value that the caller frees; empty if there is no such field */
char *log_line_copy_field(const struct log_line *line, const char *name);
/** \brief Compare the times of two lines, in the manner of qsort(). */
int log_line_compare_times(const void *left, const void *right);

/** \brief Add the complete events of `logs`, which must outlive the list, and sort the list. */
void log_line_list_parse(const char *logs, size_t size, struct log_line_list *list);
void log_line_list_clear(struct log_line_list *list);

/**
 * \return the latest line of an event that is not later than `end_line`, or NULL
 * \param node of this node only; NULL: of any
 */
const struct log_line *log_line_list_find_last(const struct log_line_list *list,
                                               const struct log_line *end_line,
                                               const char *subsystem, const char *event,
                                               const char *node);

#endif
