#include "tool/tool.h"

#include "base/memory.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HTTP_TIMEOUT_MS 3000L

enum status tool_read_file(const char *path, char **text, size_t *size)
{
    FILE *stream = fopen(path, "r");
    if (!stream)
        return status_fail(STATUS_IO, "%s", strerror(errno));
    char response[65536];
    size_t read_size;
    *text = memory_strdup("");
    *size = 0;
    while ((read_size = fread(response, 1, sizeof response, stream)) > 0) {
        *text = memory_realloc(*text, *size + read_size + 1);
        memcpy(*text + *size, response, read_size);
        *size += read_size;
        (*text)[*size] = 0;
    }
    fclose(stream);
    return STATUS_OK;
}

struct response_text {
    char *data;
    size_t size;
};

static size_t append_response(char *data, size_t unit, size_t count, void *context)
{
    struct response_text *response = context;
    response->data = memory_realloc(response->data, response->size + unit * count + 1);
    memcpy(response->data + response->size, data, unit * count);
    response->size += unit * count;
    response->data[response->size] = 0;
    return unit * count;
}

/* \param body sent with POST; NULL: GET. \return response body that the caller frees, or NULL */
static char *send_request(const char *address, const char *path, const char *body)
{
    char url[512];
    long status = 0;
    struct response_text response = {memory_strdup(""), 0};
    CURL *easy = curl_easy_init();
    snprintf(url, sizeof url, "http://%s%s", address, path);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_response);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
    if (body)
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    CURLcode code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    if (code == CURLE_OK && status == 200)
        return response.data;
    if (code != CURLE_OK)
        status_fail(STATUS_IO, "%s: %s", url, curl_easy_strerror(code));
    else
        status_fail(STATUS_IO, "%s: status %ld %s", url, status, response.data);
    free(response.data);
    return NULL;
}

char *tool_get_text(const char *address, const char *path)
{
    return send_request(address, path, NULL);
}

char *tool_post(const char *address, const char *path)
{
    return send_request(address, path, "");
}

json_t *tool_get_json(const char *address, const char *path)
{
    char *text = tool_get_text(address, path);
    json_t *value = text ? json_loads(text, 0, NULL) : NULL;
    if (text && !value)
        status_fail(STATUS_INVALID, "%s%s: response is not JSON", address, path);
    free(text);
    return value;
}

bool tool_parse_output(const char *text, struct argp_state *state)
{
    bool json = strcmp(text, "json") == 0;
    if (!json && strcmp(text, "text") != 0)
        argp_error(state, "--output must be json or text");
    return json;
}

void tool_print_json(json_t *value)
{
    char *text = json_dumps(value, JSON_INDENT(2) | JSON_REAL_PRECISION(9));
    puts(text);
    free(text);
    json_decref(value);
}

json_t *tool_findings_json(const struct findings *findings)
{
    json_t *list = json_array();
    for (size_t i = 0; i < findings->count; i++) {
        const struct finding *finding = &findings->items[i];
        const char *severity = finding->severity == FINDING_ERROR ? "error" : "warning";
        json_array_append_new(list, json_pack("{s:s, s:s, s:s}", "place", finding->place,
                                              "severity", severity, "text", finding->text));
    }
    return list;
}

enum status tool_read_config(const char *path, struct tool_config *config,
                             struct findings *findings)
{
    char *text;
    size_t size;
    char policy_name[300];
    *config = (struct tool_config){0};
    if (tool_read_file(path, &text, &size) != STATUS_OK) {
        findings_add(findings, FINDING_ERROR, path, "%s", status_message());
        return STATUS_IO;
    }
    enum status status = fleet_config_parse(path, text, size, 1, &config->config, findings);
    char *policy_text = fleet_config_policy_text(text, size);
    free(text);
    snprintf(policy_name, sizeof policy_name, "%s(policy)", path);
    if (policy_text)
        config->policy = policy_create(policy_name, policy_text, findings);
    free(policy_text);
    if (status == STATUS_OK && !config->policy)
        status = status_fail(STATUS_INVALID, "the policy is invalid");
    return status;
}

void tool_clear_config(struct tool_config *config)
{
    fleet_config_clear(&config->config);
    policy_destroy(config->policy);
    config->policy = NULL;
}

enum status tool_read_machines(const char *path, struct fleet *fleet, struct findings *findings)
{
    char *text;
    size_t size;
    struct findings file_findings = {0};
    if (tool_read_file(path, &text, &size) != STATUS_OK) {
        findings_add(findings, FINDING_ERROR, path, "%s", status_message());
        return STATUS_IO;
    }
    enum status status = fleet_parse(text, size, fleet, &file_findings);
    free(text);
    for (size_t i = 0; i < file_findings.count; i++) {
        char place[400];
        snprintf(place, sizeof place, "%s: %s", path, file_findings.items[i].place);
        findings_add(findings, file_findings.items[i].severity, place, "%s",
                     file_findings.items[i].text);
    }
    findings_clear(&file_findings);
    return status;
}
