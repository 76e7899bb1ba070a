/**
 * What the tools share: whole files, HTTP reads, JSON output.
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

/** \brief Read a file. \param text owned by the caller, closed by a zero */
enum status tool_read_file(const char *path, char **text, size_t *size);

/** \brief GET http://ADDRESS/PATH and parse JSON. \return NULL with a status message */
json_t *tool_get_json(const char *address, const char *path);
/** \brief GET text. \return owned text, or NULL with a status message */
char *tool_get_text(const char *address, const char *path);
/** \brief POST without a body. \return owned text of the answer, or NULL with a status message */
char *tool_post(const char *address, const char *path);

/** \brief Value of `--output`: true for json, false for text; any other ends with a usage error. */
bool tool_parse_output(const char *text, struct argp_state *state);

/** \brief Print indented JSON and release it. */
void tool_print_json(json_t *value);

/** \brief Findings as a JSON array of {place, severity, text}. */
json_t *tool_findings_json(const struct findings *findings);

/** A configuration with its compiled policy. */
struct tool_config {
    struct fleet_config config;
    struct policy *policy;
};

/** \brief Read and check a fleet configuration file; findings are placed as `file: place`. */
enum status tool_read_config(const char *path, struct tool_config *config,
                             struct findings *findings);
void tool_clear_config(struct tool_config *config);

/** \brief Read and check a machine list file. */
enum status tool_read_machines(const char *path, struct fleet *fleet, struct findings *findings);

#endif
