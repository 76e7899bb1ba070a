/**
 * Settings of the daemons from flags, SHUNTRUN_* environment variables and a settings file, in this
 * order of precedence. All are validated against the generated schema, and all errors are reported.
 */
#ifndef SHUNTRUN_SETTINGS_H
#define SHUNTRUN_SETTINGS_H

#include "base/findings.h"
#include "base/status.h"
#include "generated/settings_schema.h"

#include <stddef.h>

enum setting_type {
    SETTING_STRING,
    SETTING_URL,
    SETTING_CHOICE,
    SETTING_UINT,
    SETTING_MOST,  /**< upper bound; a fraction is rounded down to whole units */
    SETTING_LEAST, /**< lower bound; a fraction is rounded up to whole units */
    SETTING_BOOL,
    SETTING_ENDPOINT, /**< "IP:PORT" */
    SETTING_NUMBER,   /**< number >= 0, may have a fraction; kept as text */
};
/** Daemons, as bits of setting_descriptor.roles. */
enum setting_role {
    SETTING_ROLE_GATEWAY = 1,
    SETTING_ROLE_AGENT = 2,
    SETTING_ROLE_EDGE = 4,
    SETTING_ROLE_LOADER = 8
};

struct setting_descriptor {
    const char *name;
    enum setting_type type;
    size_t offset;            /**< of the member in struct settings, bytes */
    const char *default_text; /**< NULL: none */
    uint64_t minimum;
    uint64_t maximum;
    const char *unit;
    const char *choices; /**< separated by '|' */
    unsigned roles;
    bool required;
    bool reloadable; /**< settings_reload() applies a change */
    const char *help;
};

extern const struct setting_descriptor setting_descriptors[SETTING_COUNT];

/**
 * \brief Read settings for one role.
 *
 * \param settings filled; release it with settings_clear(), also after an error
 * \param findings all errors and warnings, located by flag, variable or file line
 * \return STATUS_OK, or STATUS_INVALID when there is at least one error. `--help` and `--version`
 *         end the process with status 0, as argp does.
 */
enum status settings_read(enum setting_role role, int argc, char **argv, struct settings *settings,
                          struct findings *findings);

/** Settings whose values differ from those in use, by name. */
struct settings_changes {
    const char *applied[SETTING_COUNT];
    uint32_t applied_count;
    const char *kept[SETTING_COUNT]; /**< these need a restart */
    uint32_t kept_count;
};

/**
 * \brief Read the settings again, from the same sources, and apply changes of reloadable ones.
 * \param changes filled
 * \return STATUS_INVALID if there are errors: nothing was changed
 */
enum status settings_reload(enum setting_role role, int argc, char **argv,
                            struct settings *settings, struct settings_changes *changes,
                            struct findings *findings);

/** \brief Free the strings and zero all settings. */
void settings_clear(struct settings *settings);

#endif
