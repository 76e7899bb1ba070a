/**
 * Shared functions of the operator tools: file input, HTTP requests, JSON output.
 */
#ifndef SHUNTRUN_TOOL_H
#define SHUNTRUN_TOOL_H

#include "base/findings.h"
#include "base/status.h"
#include "core/fleet.h"
#include "core/fleet_config.h"
#include "core/policy.h"

#include <argp.h>
#include <jansson.h>

/** \brief Read a whole file. \param text set to zero-terminated text that the caller frees */
enum status tool_read_file(const char *path, char **text, size_t *size);

/** \brief GET http://ADDRESSPATH and parse JSON. \return new reference, or NULL with a status
 * message */
json_t *tool_get_json(const char *address, const char *path);
/** \brief GET text. \return text that the caller frees, or NULL with a status message */
char *tool_get_text(const char *address, const char *path);
/** \brief POST without a body. \return response that the caller frees, or NULL with a status
 * message */
char *tool_post(const char *address, const char *path);

/** \brief Parse `--output`: true for json, false for text; any other value is a usage error. */
bool tool_parse_output(const char *text, struct argp_state *state);

/** \brief Print indented JSON to standard output and release the reference. */
void tool_print_json(json_t *value);

/** \brief Findings as a JSON array of {place, severity, text}. */
json_t *tool_findings_json(const struct findings *findings);

/** A configuration with its compiled policy. */
struct tool_config {
    struct fleet_config config;
    struct policy *policy;
};

/** \brief Read and check a fleet configuration file; the place of a finding starts with the file.
 */
enum status tool_read_config(const char *path, struct tool_config *config,
                             struct findings *findings);
void tool_clear_config(struct tool_config *config);

/** \brief Read and check a machine list file. */
enum status tool_read_machines(const char *path, struct fleet *fleet, struct findings *findings);

#endif
