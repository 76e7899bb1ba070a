#include "tool/suspects.h"

#include "tool/tool.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define KEY_LIFT 'l'
#define KEY_OUTPUT 1000
#define TARGET_SIZE 128 /* bytes of a request target with the terminator */
#define MS_PER_SECOND 1000

struct suspects_options {
    const char *address;
    const char *lift_identity; /* identity whose block is lifted; NULL: list all */
    bool json;
};

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
    struct suspects_options *options = state->input;
    switch (key) {
    case KEY_LIFT:
        options->lift_identity = argument;
        break;
    case KEY_OUTPUT:
        options->json = tool_parse_output(argument, state);
        break;
    case ARGP_KEY_ARG:
        if (options->address)
            argp_error(state, "exactly one ADDRESS is allowed");
        options->address = argument;
        break;
    case ARGP_KEY_END:
        if (!options->address)
            argp_error(state, "ADDRESS is required");
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static json_int_t get_seconds(const json_t *suspect, const char *name)
{
    return json_integer_value(json_object_get(suspect, name)) / MS_PER_SECOND;
}

static void print_suspect(const json_t *suspect)
{
    printf("%-34s %-16s %-8s %4d %12" JSON_INTEGER_FORMAT " %11" JSON_INTEGER_FORMAT
           " %13" JSON_INTEGER_FORMAT "\n",
           json_string_value(json_object_get(suspect, "identity")),
           json_string_value(json_object_get(suspect, "part")),
           json_string_value(json_object_get(suspect, "verdict")),
           (int)json_integer_value(json_object_get(suspect, "ends")),
           get_seconds(suspect, "first_end_ms_ago"), get_seconds(suspect, "last_end_ms_ago"),
           get_seconds(suspect, "blocked_for_ms"));
}

static void print_suspects(const json_t *list)
{
    size_t index;
    json_t *suspect;
    printf("%-34s %-16s %-8s %4s %12s %11s %13s\n", "IDENTITY", "PART", "VERDICT", "ENDS",
           "FIRST S AGO", "LAST S AGO", "BLOCKED FOR S");
    json_array_foreach(list, index, suspect)
    {
        print_suspect(suspect);
    }
}

static int list_suspects(const struct suspects_options *options)
{
    json_t *list = tool_get_json(options->address, "/suspects");
    if (!list) {
        fprintf(stderr, "shuntrun suspects: %s\n", status_message());
        return 1;
    }
    if (options->json) {
        tool_print_json(list);
        return 0;
    }
    print_suspects(list);
    json_decref(list);
    return 0;
}

static int lift_block(const struct suspects_options *options)
{
    char path[TARGET_SIZE];
    snprintf(path, sizeof path, "/suspects/lift?identity=%s", options->lift_identity);
    char *response = tool_post(options->address, path);
    if (!response) {
        fprintf(stderr, "shuntrun suspects: %s\n", status_message());
        return 1;
    }
    fputs(response, stdout);
    free(response);
    return 0;
}

int suspects_main(int argc, char **argv)
{
    static const struct argp_option list[] = {
        {"lift", KEY_LIFT, "IDENTITY", 0,
         "allow this request, or requests with this part, to run again, on all gateways", 0},
        {"output", KEY_OUTPUT, "FORMAT", 0, "json or text (text)", 0},
        {0}};
    static const char doc[] =
        "List the requests that were running when backends crashed, and the parts that their "
        "prompts "
        "share with others, as known to one node. A gateway "
        "knows all that were present at more than one crash, a loader a part of them.\vADDRESS is "
        "the IP:PORT of the metrics of a gateway or loader. `event=run-lost identity=...` in the "
        "logs names the request ids of an identity. Exit status: 0 success, 1 the node does not "
        "respond or has no entry for the identity, 2 usage error.";
    struct suspects_options options = {0};
    struct argp argp = {list, parse_option, "ADDRESS", doc, NULL, NULL, NULL};
    argp_err_exit_status = 2;
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    int exit_status = options.lift_identity ? lift_block(&options) : list_suspects(&options);
    curl_global_cleanup();
    return exit_status;
}
