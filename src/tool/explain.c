#include "tool/explain.h"

#include "tool/log_line.h"
#include "tool/tool.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define KEY_OUTPUT 1000
#define MAX_FILES 64
#define READ_SIZE 65536

/* ---- State of the node ---- */

static json_t *line_to_json(const struct log_line *line)
{
    return json_stringn(line->start, line->length);
}

static void append_line(json_t *node_state, const struct log_line *line)
{
    if (line)
        json_array_append_new(node_state, line_to_json(line));
}

/* Collects what the node knew when the request ended: configuration, version of the weights,
 * members, store, and the backends in the request's trail. */
static json_t *collect_node_state(const struct log_line_list *list, const struct log_line *end_line)
{
    static const char *const kinds[][2] = {
        {"config", "accepted"}, {"weights", "version-named"}, {"cluster", "members"},
        {"store", "lost"},      {"store", "regained"},        {"process", "start"},
        {"process", "stop"},    {"cluster", "woke"},          {"crash", "ended"},
        {"backend", "leaving"}, {"backend", "backs-off"},     {"zone", "evacuated"},
        {"zone", "restored"},
    };
    json_t *node_state = json_array();
    char *node = log_line_copy_field(end_line, "node");
    for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
        append_line(node_state,
                    log_line_list_find_last(list, end_line, kinds[i][0], kinds[i][1], node));
    const struct log_field *trail = log_line_find_field(end_line, "trail");
    for (uint32_t i = 0; trail && i < list->count; i++) {
        const struct log_line *line = &list->lines[i];
        const struct log_field *id = log_line_find_field(line, "id");
        if (log_line_compare_times(line, end_line) > 0)
            break;
        if (id && id->value_length && log_line_field_equals(line, "subsystem", "backend") &&
            log_line_field_equals(line, "node", node) &&
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

static const struct log_line *find_end_line(const struct log_line_list *list, const char *request)
{
    const struct log_line *end_line = NULL;
    for (uint32_t i = 0; i < list->count; i++)
        if (log_line_field_equals(&list->lines[i], "request", request))
            end_line = &list->lines[i];
    return end_line;
}

static char *format_summary(const struct log_line_list *list, const struct log_line *end_line)
{
    struct buffer text = {0};
    char *node = log_line_copy_field(end_line, "node"),
         *event = log_line_copy_field(end_line, "event");
    char *status = log_line_copy_field(end_line, "status"),
         *reason = log_line_copy_field(end_line, "reason");
    char *took = log_line_copy_field(end_line, "took_ms"),
         *trail = log_line_copy_field(end_line, "trail");
    char *events = log_line_copy_field(end_line, "events");
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
    const struct log_line *stop = log_line_list_find_last(list, end_line, "process", "stop", node);
    const struct log_line *start =
        log_line_list_find_last(list, end_line, "process", "start", node);
    if (stop && (!start || log_line_compare_times(start, stop) < 0))
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
    struct log_line_list list = {0};
    *explanation = (struct explanation){0};
    log_line_list_parse(logs, size, &list);
    const struct log_line *end_line = find_end_line(&list, request);
    if (end_line) {
        explanation->lines = json_array();
        for (uint32_t i = 0; i < list.count; i++)
            if (log_line_field_equals(&list.lines[i], "request", request))
                json_array_append_new(explanation->lines, line_to_json(&list.lines[i]));
        explanation->node_state = collect_node_state(&list, end_line);
        explanation->summary = format_summary(&list, end_line);
    }
    log_line_list_clear(&list);
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
