#include "tool/explain.h"

#include "base/memory.h"
#include "tool/tool.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define KEY_OUTPUT 1000
#define MAX_FILES 64
#define READ_SIZE 65536
#define MAX_FIELDS 40

/* One key=value pair of a line; neither text is zero-terminated. */
struct log_field {
    const char *name;
    size_t name_length;
    const char *value;
    size_t value_length;
};

struct log_line {
    const char *start;
    size_t length;
    struct log_field fields[MAX_FIELDS];
    uint32_t field_count;
};

/* ---- Parsing ---- */

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
    for (size_t position = 0; position < length && line->field_count < MAX_FIELDS;) {
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

static const struct log_field *find_field(const struct log_line *line, const char *name)
{
    for (uint32_t i = 0; i < line->field_count; i++)
        if (line->fields[i].name_length == strlen(name) &&
            memcmp(line->fields[i].name, name, line->fields[i].name_length) == 0)
            return &line->fields[i];
    return NULL;
}

static bool field_equals(const struct log_line *line, const char *name, const char *value)
{
    const struct log_field *field = find_field(line, name);
    return field && field->value_length == strlen(value) &&
           memcmp(field->value, value, field->value_length) == 0;
}

static char *copy_field(const struct log_line *line, const char *name)
{
    const struct log_field *field = find_field(line, name);
    char *copy = memory_calloc(field ? field->value_length + 1 : 1, 1);
    if (field)
        memcpy(copy, field->value, field->value_length);
    return copy;
}

/* ---- Selection of lines ---- */

struct line_list {
    struct log_line *lines;
    uint32_t count;
};

static void add_line(struct line_list *list, const struct log_line *line)
{
    if ((list->count & (list->count + 1)) == 0)
        list->lines =
            memory_realloc(list->lines, (2 * (size_t)list->count + 2) * sizeof *list->lines);
    list->lines[list->count++] = *line;
}

static int compare_times(const void *left, const void *right)
{
    const struct log_field *a = find_field(left, "time");
    const struct log_field *b = find_field(right, "time");
    size_t length = a->value_length < b->value_length ? a->value_length : b->value_length;
    return memcmp(a->value, b->value, length);
}

static void parse_lines(const char *logs, size_t size, struct line_list *list)
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
        qsort(list->lines, list->count, sizeof *list->lines, compare_times);
}

static json_t *line_to_json(const struct log_line *line)
{
    return json_stringn(line->start, line->length);
}

/* Finds the latest line of an event that is not later than `end_line`; of any node if `node` is
 * NULL. */
static const struct log_line *find_last_line(const struct line_list *list,
                                             const struct log_line *end_line, const char *subsystem,
                                             const char *event, const char *node)
{
    const struct log_line *found = NULL;
    for (uint32_t i = 0; i < list->count; i++) {
        const struct log_line *line = &list->lines[i];
        if (compare_times(line, end_line) > 0)
            break;
        if (field_equals(line, "subsystem", subsystem) && field_equals(line, "event", event) &&
            (!node || field_equals(line, "node", node)))
            found = line;
    }
    return found;
}

static void append_line(json_t *node_state, const struct log_line *line)
{
    if (line)
        json_array_append_new(node_state, line_to_json(line));
}

/* Collects what the node knew when the request ended: configuration, version of the weights,
 * members, store, and the backends in the request's trail. */
static json_t *collect_node_state(const struct line_list *list, const struct log_line *end_line)
{
    static const char *const kinds[][2] = {
        {"config", "accepted"}, {"weights", "version-named"}, {"cluster", "members"},
        {"store", "lost"},      {"store", "regained"},        {"process", "start"},
        {"process", "stop"},    {"cluster", "woke"},          {"crash", "ended"},
        {"backend", "leaving"}, {"backend", "backs-off"},     {"zone", "evacuated"},
        {"zone", "restored"},
    };
    json_t *node_state = json_array();
    char *node = copy_field(end_line, "node");
    for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
        append_line(node_state, find_last_line(list, end_line, kinds[i][0], kinds[i][1], node));
    const struct log_field *trail = find_field(end_line, "trail");
    for (uint32_t i = 0; trail && i < list->count; i++) {
        const struct log_line *line = &list->lines[i];
        const struct log_field *id = find_field(line, "id");
        if (compare_times(line, end_line) > 0)
            break;
        if (id && id->value_length && field_equals(line, "subsystem", "backend") &&
            field_equals(line, "node", node) &&
            memmem(trail->value, trail->value_length, id->value, id->value_length))
            json_array_append_new(node_state, line_to_json(line));
    }
    free(node);
    return node_state;
}

/* ---- Summary ---- */

struct reason {
    const char *name;
    const char *meaning;
};

static const struct reason reasons[] = {
    {"done", "the backend's complete response was forwarded to the client"},
    {"backend-error", "the backend reported a failure of its own, which was forwarded"},
    {"full", "every eligible backend was full for as long as the request may wait"},
    {"no-backend",
     "no backend was eligible: none listed in an allowed region, all in evacuated zones, still "
     "loading weights, or version too old"},
    {"backed-off", "every backend that could run it had asked in a response for a backoff"},
    {"rate-limited",
     "every backend that could run it had got the requests that its stated rate allows"},
    {"no-region", "the home regions of its route and of its tenant have no region in common"},
    {"no-memory", "the buffers of the node were nearly full"},
    {"client-slow", "the backend closed the connection, as the client took the stream too slowly"},
    {"no-connection", "no connection to a backend could be established"},
    {"no-configuration", "the node had no configuration yet"},
    {"no-route", "the current configuration has no route for the request"},
    {"unknown-key", "the current configuration does not contain the key of the request"},
    {"no-request-id", "the request had no request id"},
    {"refused", "the backend refused the request without running it, and no other could take it"},
    {"misdirected",
     "another incarnation of the backend, or other weights, were found at the address"},
    {"broken", "the connection to the backend broke after the request was sent"},
    {"silent", "the backend sent nothing for too long after the request was sent"},
    {"torn", "the response ended within an event"},
    {"memory",
     "the response, still without an end, held more than its share of the gateway's memory, "
     "which was nearly full"},
    {"no-seal", "the response lacked the backend's seal or had a content encoding"},
    {"resume-refused", "the stream could not be resumed on another backend"},
    {"crashes-back-ends", "several backends crashed while they ran this request (same caller, path "
                          "and body), so it is blocked"},
    {"held",
     "backends crashed while they ran this request and others, and it could not run in isolation "
     "from those in time"},
    {"time-out", "the deadline of the client or the route passed"},
};

static const char *reason_meaning(const char *reason)
{
    for (size_t i = 0; i < sizeof reasons / sizeof reasons[0]; i++)
        if (strcmp(reasons[i].name, reason) == 0)
            return reasons[i].meaning;
    return "unknown reason";
}

static const struct log_line *find_end_line(const struct line_list *list, const char *request)
{
    const struct log_line *end_line = NULL;
    for (uint32_t i = 0; i < list->count; i++)
        if (field_equals(&list->lines[i], "request", request))
            end_line = &list->lines[i];
    return end_line;
}

static char *format_summary(const struct line_list *list, const struct log_line *end_line)
{
    struct buffer text = {0};
    char *node = copy_field(end_line, "node"), *event = copy_field(end_line, "event");
    char *status = copy_field(end_line, "status"), *reason = copy_field(end_line, "reason");
    char *took = copy_field(end_line, "took_ms"), *trail = copy_field(end_line, "trail");
    char *events = copy_field(end_line, "events");
    if (strcmp(event, "client-gone") == 0)
        buffer_append_format(&text, "The client disconnected %s ms after its request reached %s.",
                             took, node);
    else if (strcmp(event, "cut") == 0)
        buffer_append_format(&text,
                             "%s aborted a stream after %s ms: %s (%s). The client had received %s "
                             "events and lost the rest.",
                             node, took, reason_meaning(reason), reason, events);
    else
        buffer_append_format(&text, "%s answered %s%s%s%s: %s (%s).", node, status,
                             took[0] ? " after " : "", took, took[0] ? " ms" : "",
                             reason_meaning(reason), reason);
    if (trail[0])
        buffer_append_format(&text, " Attempts: %s", trail);
    const struct log_line *stop = find_last_line(list, end_line, "process", "stop", node);
    const struct log_line *start = find_last_line(list, end_line, "process", "start", node);
    if (stop && (!start || compare_times(start, stop) < 0))
        buffer_append_format(&text, " The node was shutting down in a planned stop.");
    buffer_append(&text, "", 1);
    free(node);
    free(event);
    free(status);
    free(reason);
    free(took);
    free(trail);
    free(events);
    return text.data;
}

bool explain_request(const char *logs, size_t size, const char *request,
                     struct explanation *explanation)
{
    struct line_list list = {0};
    *explanation = (struct explanation){0};
    parse_lines(logs, size, &list);
    const struct log_line *end_line = find_end_line(&list, request);
    if (end_line) {
        explanation->lines = json_array();
        for (uint32_t i = 0; i < list.count; i++)
            if (field_equals(&list.lines[i], "request", request))
                json_array_append_new(explanation->lines, line_to_json(&list.lines[i]));
        explanation->node_state = collect_node_state(&list, end_line);
        explanation->summary = format_summary(&list, end_line);
    }
    free(list.lines);
    return end_line != NULL;
}

void explanation_clear(struct explanation *explanation)
{
    json_decref(explanation->lines);
    json_decref(explanation->node_state);
    free(explanation->summary);
    *explanation = (struct explanation){0};
}

/* ---- Command line ---- */

struct explain_options {
    const char *request;
    const char *files[MAX_FILES];
    uint32_t file_count;
    bool json;
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct explain_options *options = state->input;
    switch (key) {
    case KEY_OUTPUT:
        options->json = tool_parse_output(argument, state);
        return 0;
    case ARGP_KEY_ARG:
        if (!options->request)
            options->request = argument;
        else if (options->file_count < MAX_FILES)
            options->files[options->file_count++] = argument;
        else
            argp_error(state, "at most %d log files are allowed", MAX_FILES);
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_error(state, "REQUEST-ID is required");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void read_standard_input(struct buffer *logs)
{
    char bytes[READ_SIZE];
    for (size_t size; (size = fread(bytes, 1, sizeof bytes, stdin)) > 0;)
        buffer_append(logs, bytes, size);
}

static bool read_logs(const struct explain_options *options, struct buffer *logs)
{
    if (!options->file_count)
        read_standard_input(logs);
    for (uint32_t i = 0; i < options->file_count; i++) {
        char *text;
        size_t size;
        if (tool_read_file(options->files[i], &text, &size) != STATUS_OK) {
            fprintf(stderr, "shuntrun explain: %s\n", status_message());
            return false;
        }
        buffer_append(logs, text, size);
        buffer_append(logs, "\n", 1);
        free(text);
    }
    return true;
}

static void print_list(const char *title, const json_t *list)
{
    printf("\n%s\n", title);
    for (size_t i = 0; i < json_array_size(list); i++)
        printf("  %s\n", json_string_value(json_array_get(list, i)));
}

int explain_main(int argc, char **argv)
{
    static const struct argp_option argp_options[] = {
        {"output", KEY_OUTPUT, "FORMAT", 0, "json or text (text)", 0}, {0}};
    static const struct argp argp = {argp_options,
                                     parse_option,
                                     "REQUEST-ID [LOG...]",
                                     "Explain from the logs of all processes how a request ended "
                                     "and why. Reads standard input if no LOG is given.",
                                     NULL,
                                     NULL,
                                     NULL};
    struct explain_options options = {0};
    struct explanation explanation;
    struct buffer logs = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    if (!read_logs(&options, &logs))
        return 2;
    bool found =
        explain_request(logs.data ? logs.data : "", logs.size, options.request, &explanation);
    buffer_clear(&logs);
    if (!found) {
        fprintf(stderr, "shuntrun explain: no log line names request %s\n", options.request);
        return 1;
    }
    if (options.json) {
        tool_print_json(json_pack("{s:s, s:s, s:O, s:O}", "request", options.request, "sentence",
                                  explanation.summary, "lines", explanation.lines, "beliefs",
                                  explanation.node_state));
    } else {
        printf("%s\n", explanation.summary);
        print_list("Log lines of the request:", explanation.lines);
        print_list("State known to the node at that time:", explanation.node_state);
    }
    explanation_clear(&explanation);
    return 0;
}
