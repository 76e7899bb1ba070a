#include "base/settings.h"

#include "base/memory.h"
#include "base/setting_check.h"

#include <argp.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define OPTION_KEY_FIRST_SETTING 1000
#define OPTION_KEY_SETTINGS_FILE 999

struct settings_reader {
    enum setting_role role;
    struct setting_value values[SETTING_COUNT];
    const char *file;
    struct findings *findings;
};

static int find_setting(const char *name, unsigned role)
{
    for (int i = 0; i < SETTING_COUNT; i++)
        if ((setting_descriptors[i].roles & role) && strcmp(setting_descriptors[i].name, name) == 0)
            return i;
    return -1;
}

static void set_value(struct settings_reader *reader, int index, const char *text,
                      const char *place)
{
    struct setting_value *value = &reader->values[index];
    free(value->text);
    value->text = memory_strdup(text);
    snprintf(value->place, sizeof value->place, "%s", place);
}

static void format_variable_name(const char *setting, char *variable, size_t size)
{
    int used = snprintf(variable, size, "SHUNTRUN_");
    for (const char *c = setting; *c && (size_t)used + 1 < size; c++)
        variable[used++] = *c == '-' ? '_' : (char)toupper((unsigned char)*c);
    variable[used] = 0;
}

static char *trim(char *text)
{
    while (isspace((unsigned char)*text))
        text++;
    size_t length = strlen(text);
    while (length && isspace((unsigned char)text[length - 1]))
        text[--length] = 0;
    return text;
}

static void read_file_line(struct settings_reader *reader, char *line, const char *place)
{
    char *text = trim(line);
    if (!*text || *text == '#')
        return;
    char *equals = strchr(text, '=');
    if (!equals) {
        findings_add(reader->findings, FINDING_ERROR, place, "expected `name = value`");
        return;
    }
    *equals = 0;
    const char *name = trim(text);
    int index = find_setting(name, reader->role);
    if (index >= 0)
        set_value(reader, index, trim(equals + 1), place);
    else if (find_setting(name, ~0U) < 0)
        findings_add(reader->findings, FINDING_ERROR, place, "unknown setting `%s`", name);
}

static void read_file(struct settings_reader *reader)
{
    FILE *stream = fopen(reader->file, "r");
    if (!stream) {
        findings_add(reader->findings, FINDING_ERROR, reader->file, "%s", strerror(errno));
        return;
    }
    char line[1024];
    char place[256];
    for (int number = 1; fgets(line, sizeof line, stream); number++) {
        snprintf(place, sizeof place, "%s:%d", reader->file, number);
        read_file_line(reader, line, place);
    }
    fclose(stream);
}

static void read_environment(struct settings_reader *reader)
{
    for (int i = 0; i < SETTING_COUNT; i++) {
        char variable[128];
        format_variable_name(setting_descriptors[i].name, variable, sizeof variable);
        const char *text = getenv(variable);
        if (text && (setting_descriptors[i].roles & reader->role))
            set_value(reader, i, text, variable);
    }
}

/* Flags are collected first and applied last, because they override variables and the file. */
struct flags {
    struct settings_reader *reader;
    const char *flag_values[SETTING_COUNT];
};

static error_t parse_flag(int key, char *argument, struct argp_state *state)
{
    struct flags *flags = state->input;
    if (key == OPTION_KEY_SETTINGS_FILE) {
        flags->reader->file = argument;
        return 0;
    }
    if (key >= OPTION_KEY_FIRST_SETTING && key < OPTION_KEY_FIRST_SETTING + SETTING_COUNT) {
        flags->flag_values[key - OPTION_KEY_FIRST_SETTING] = argument;
        return 0;
    }
    if (key == ARGP_KEY_ARG) {
        findings_add(flags->reader->findings, FINDING_ERROR, argument, "unexpected argument");
        return 0;
    }
    return ARGP_ERR_UNKNOWN;
}

static void apply_flags(const struct flags *flags)
{
    for (int i = 0; i < SETTING_COUNT; i++) {
        if (!flags->flag_values[i])
            continue;
        char place[128];
        snprintf(place, sizeof place, "--%s", setting_descriptors[i].name);
        set_value(flags->reader, i, flags->flag_values[i], place);
    }
}

static const char *role_description(enum setting_role role)
{
    switch (role) {
    case SETTING_ROLE_AGENT:
        return "Run the agent of one back-end machine.";
    case SETTING_ROLE_EDGE:
        return "Run a gateway of the users' platform: it serves client requests and relays "
               "weights.";
    case SETTING_ROLE_LOADER:
        return "Run a loader beside one model engine: it keeps the engine at the requested "
               "version.";
    case SETTING_ROLE_GATEWAY:
        break;
    }
    return "Run a gateway that serves client requests.";
}

static void parse_flags(struct flags *flags, int argc, char **argv)
{
    struct argp_option options[SETTING_COUNT + 2] = {
        {"settings", OPTION_KEY_SETTINGS_FILE, "FILE", 0, "file of `name = value` lines", 0}};
    int count = 1;
    for (int i = 0; i < SETTING_COUNT; i++) {
        const struct setting_descriptor *descriptor = &setting_descriptors[i];
        if (!(descriptor->roles & flags->reader->role))
            continue;
        options[count++] = (struct argp_option){descriptor->name,
                                                OPTION_KEY_FIRST_SETTING + i,
                                                descriptor->unit ? descriptor->unit : "VALUE",
                                                0,
                                                descriptor->help,
                                                0};
    }
    struct argp argp = {options, parse_flag, NULL, role_description(flags->reader->role),
                        NULL,    NULL,       NULL};
    argp_parse(&argp, argc, argv, 0, NULL, flags);
}

static bool is_string_type(const struct setting_descriptor *descriptor)
{
    switch (descriptor->type) {
    case SETTING_UINT:
    case SETTING_MOST:
    case SETTING_LEAST:
    case SETTING_BOOL:
        return false;
    default:
        return true;
    }
}

static void store_value(const struct setting_descriptor *descriptor, struct setting_value *value,
                        void *target, struct findings *findings)
{
    setting_check(descriptor, value, target, findings);
    if (!is_string_type(descriptor))
        free(value->text);
    value->text = NULL;
}

static void check_all(struct settings_reader *reader, struct settings *settings)
{
    for (int i = 0; i < SETTING_COUNT; i++) {
        const struct setting_descriptor *descriptor = &setting_descriptors[i];
        struct setting_value *value = &reader->values[i];
        if (!(descriptor->roles & reader->role))
            continue;
        void *target = (char *)settings + descriptor->offset;
        bool may_be_empty = descriptor->default_text && !descriptor->default_text[0];
        if (may_be_empty && (!value->text || !value->text[0])) { /* empty is not validated */
            *(const char **)target = value->text ? value->text : memory_strdup("");
            continue;
        }
        if (!value->text && descriptor->default_text)
            set_value(reader, i, descriptor->default_text, descriptor->name);
        if (value->text)
            store_value(descriptor, value, target, reader->findings);
        else if (descriptor->required)
            findings_add(reader->findings, FINDING_ERROR, descriptor->name,
                         "required setting is missing");
    }
}

enum status settings_read(enum setting_role role, int argc, char **argv, struct settings *settings,
                          struct findings *findings)
{
    struct settings_reader reader = {.role = role, .findings = findings};
    struct flags flags = {.reader = &reader};
    *settings = (struct settings){0};
    parse_flags(&flags, argc, argv);
    if (reader.file)
        read_file(&reader);
    read_environment(&reader);
    apply_flags(&flags);
    check_all(&reader, settings);
    if (findings->error_count)
        return status_fail(STATUS_INVALID, "%zu errors in the settings", findings->error_count);
    return STATUS_OK;
}

void settings_clear(struct settings *settings)
{
    for (int i = 0; i < SETTING_COUNT; i++)
        if (is_string_type(&setting_descriptors[i]))
            free(*(char **)((char *)settings + setting_descriptors[i].offset));
    *settings = (struct settings){0};
}

static bool are_equal(const struct setting_descriptor *descriptor, const void *left,
                      const void *right)
{
    if (is_string_type(descriptor)) {
        const char *a = *(const char *const *)left, *b = *(const char *const *)right;
        return a == b || (a && b && strcmp(a, b) == 0);
    }
    if (descriptor->type == SETTING_BOOL)
        return *(const bool *)left == *(const bool *)right;
    return *(const uint64_t *)left == *(const uint64_t *)right;
}

/* The present value is released with the settings that were read. */
static void exchange_values(const struct setting_descriptor *descriptor, void *left, void *right)
{
    char saved[sizeof(uint64_t)];
    size_t size = descriptor->type == SETTING_BOOL ? sizeof(bool) : sizeof(uint64_t);
    memcpy(saved, left, size);
    memcpy(left, right, size);
    memcpy(right, saved, size);
}

enum status settings_reload(enum setting_role role, int argc, char **argv,
                            struct settings *settings, struct settings_changes *changes,
                            struct findings *findings)
{
    struct settings read;
    enum status status = settings_read(role, argc, argv, &read, findings);
    *changes = (struct settings_changes){0};
    for (int i = 0; status == STATUS_OK && i < SETTING_COUNT; i++) {
        const struct setting_descriptor *descriptor = &setting_descriptors[i];
        void *present = (char *)settings + descriptor->offset;
        void *next = (char *)&read + descriptor->offset;
        if (are_equal(descriptor, present, next))
            continue;
        if (descriptor->reloadable) {
            exchange_values(descriptor, present, next);
            changes->applied[changes->applied_count++] = descriptor->name;
        } else {
            changes->kept[changes->kept_count++] = descriptor->name;
        }
    }
    settings_clear(&read);
    return status;
}
