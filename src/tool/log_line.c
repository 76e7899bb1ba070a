#include "tool/log_line.h"

#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

/* A value ends at a space, or at its closing quote. \return bytes read */
static size_t parse_value(const char *text, size_t length, struct log_field *field)
{
    size_t end = 0;
    if (length && text[0] == '"') {
        const char *quote = memchr(text + 1, '"', length - 1);
        end = quote ? (size_t)(quote - text) + 1 : length;
        field->value = text + 1;
        field->value_length = quote ? end - 2 : length - 1;
        return end;
    }
    while (end < length && text[end] != ' ')
        end++;
    field->value = text;
    field->value_length = end;
    return end;
}

/* \return false if the line is not a complete event of this program's log */
static bool parse_line(const char *text, size_t length, struct log_line *line)
{
    const char *start = memmem(text, length, "time=", 5);
    if (!start)
        return false;
    length -= (size_t)(start - text);
    *line = (struct log_line){.start = start, .length = length};
    for (size_t position = 0; position < length && line->field_count < LOG_LINE_MAX_FIELDS;) {
        const char *equals = memchr(start + position, '=', length - position);
        if (!equals)
            break;
        struct log_field *field = &line->fields[line->field_count++];
        field->name = start + position;
        field->name_length = (size_t)(equals - field->name);
        position = (size_t)(equals - start) + 1;
        position += parse_value(start + position, length - position, field);
        while (position < length && start[position] == ' ')
            position++;
    }
    return line->field_count > 3;
}

const struct log_field *log_line_find_field(const struct log_line *line, const char *name)
{
    for (uint32_t i = 0; i < line->field_count; i++)
        if (line->fields[i].name_length == strlen(name) &&
            memcmp(line->fields[i].name, name, line->fields[i].name_length) == 0)
            return &line->fields[i];
    return NULL;
}

bool log_line_field_equals(const struct log_line *line, const char *name, const char *value)
{
    const struct log_field *field = log_line_find_field(line, name);
    return field && field->value_length == strlen(value) &&
           memcmp(field->value, value, field->value_length) == 0;
}

char *log_line_copy_field(const struct log_line *line, const char *name)
{
    const struct log_field *field = log_line_find_field(line, name);
    char *copy = memory_calloc(field ? field->value_length + 1 : 1, 1);
    if (field)
        memcpy(copy, field->value, field->value_length);
    return copy;
}

static void add_line(struct log_line_list *list, const struct log_line *line)
{
    if ((list->count & (list->count + 1)) == 0)
        list->lines =
            memory_realloc(list->lines, (2 * (size_t)list->count + 2) * sizeof *list->lines);
    list->lines[list->count++] = *line;
}

int log_line_compare_times(const void *left, const void *right)
{
    const struct log_field *a = log_line_find_field(left, "time");
    const struct log_field *b = log_line_find_field(right, "time");
    size_t length = a->value_length < b->value_length ? a->value_length : b->value_length;
    return memcmp(a->value, b->value, length);
}

void log_line_list_parse(const char *logs, size_t size, struct log_line_list *list)
{
    for (size_t position = 0; position < size;) {
        const char *end = memchr(logs + position, '\n', size - position);
        size_t length = end ? (size_t)(end - logs) - position : size - position;
        struct log_line line;
        if (parse_line(logs + position, length, &line))
            add_line(list, &line);
        position += length + 1;
    }
    if (list->count)
        qsort(list->lines, list->count, sizeof *list->lines, log_line_compare_times);
}

void log_line_list_clear(struct log_line_list *list)
{
    free(list->lines);
    *list = (struct log_line_list){0};
}

const struct log_line *log_line_list_find_last(const struct log_line_list *list,
                                               const struct log_line *end_line,
                                               const char *subsystem, const char *event,
                                               const char *node)
{
    const struct log_line *found = NULL;
    for (uint32_t i = 0; i < list->count; i++) {
        const struct log_line *line = &list->lines[i];
        if (log_line_compare_times(line, end_line) > 0)
            break;
        if (log_line_field_equals(line, "subsystem", subsystem) &&
            log_line_field_equals(line, "event", event) &&
            (!node || log_line_field_equals(line, "node", node)))
            found = line;
    }
    return found;
}
