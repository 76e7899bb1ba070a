#include "base/setting_check.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

static bool choice_allowed(const char *choices, const char *text)
{
    size_t length = strlen(text);
    for (const char *choice = choices; choice; choice = strchr(choice, '|')) {
        choice += *choice == '|';
        if (strncmp(choice, text, length) == 0 && (choice[length] == '|' || !choice[length]))
            return length > 0;
    }
    return false;
}

static void check_range(const struct setting_descriptor *descriptor, const char *place,
                        uint64_t number, struct findings *findings)
{
    if (number < descriptor->minimum || number > descriptor->maximum)
        findings_add(findings, FINDING_ERROR, place, "%llu is outside %llu to %llu",
                     (unsigned long long)number, (unsigned long long)descriptor->minimum,
                     (unsigned long long)descriptor->maximum);
}

static void check_uint(const struct setting_descriptor *descriptor,
                       const struct setting_value *value, uint64_t *target,
                       struct findings *findings)
{
    char *end = NULL;
    errno = 0;
    unsigned long long number = strtoull(value->text, &end, 10);
    bool malformed = errno || end == value->text || *end || strchr(value->text, '-');
    if (malformed)
        findings_add(findings, FINDING_ERROR, value->place, "`%s` is not a whole number",
                     value->text);
    else
        check_range(descriptor, value->place, number, findings);
    *target = number;
}

/* Whether the text is an IPv4 address and a port, as "10.0.0.1:80". */
static bool is_endpoint(const char *text)
{
    char address[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    size_t length = colon ? (size_t)(colon - text) : sizeof address;
    struct in_addr ip;
    char *end = NULL;
    if (length >= sizeof address)
        return false;
    memcpy(address, text, length);
    address[length] = 0;
    unsigned long port = strtoul(colon + 1, &end, 10);
    return inet_pton(AF_INET, address, &ip) == 1 && isdigit((unsigned char)colon[1]) && !*end &&
           port >= 1 && port <= 65535;
}

static bool is_number(const char *text)
{
    char *end = NULL;
    double number = strtod(text, &end);
    return end != text && !*end && number >= 0 && number < 1e12;
}

/* Platforms may specify a bound as a fraction; it is rounded so that the bound still holds. */
static void check_bound(const struct setting_descriptor *descriptor,
                        const struct setting_value *value, uint64_t *target,
                        struct findings *findings)
{
    *target = 0;
    if (!is_number(value->text)) {
        findings_add(findings, FINDING_ERROR, value->place,
                     "`%s` of %s is not a number of 0 or more", value->text, descriptor->name);
        return;
    }
    double number = strtod(value->text, NULL);
    *target = (uint64_t)(descriptor->type == SETTING_LEAST ? ceil(number) : floor(number));
    check_range(descriptor, value->place, *target, findings);
}

void setting_check(const struct setting_descriptor *descriptor, const struct setting_value *value,
                   void *target, struct findings *findings)
{
    bool is_true = strcmp(value->text, "true") == 0;
    switch (descriptor->type) {
    case SETTING_UINT:
        check_uint(descriptor, value, target, findings);
        return;
    case SETTING_MOST:
    case SETTING_LEAST:
        check_bound(descriptor, value, target, findings);
        return;
    case SETTING_BOOL:
        if (!is_true && strcmp(value->text, "false") != 0)
            findings_add(findings, FINDING_ERROR, value->place, "`%s` is neither true nor false",
                         value->text);
        *(bool *)target = is_true;
        return;
    case SETTING_URL:
        if (strncmp(value->text, "http://", 7) != 0 && strncmp(value->text, "https://", 8) != 0)
            findings_add(findings, FINDING_ERROR, value->place, "`%s` is not an http(s) URL",
                         value->text);
        break;
    case SETTING_CHOICE:
        if (!choice_allowed(descriptor->choices, value->text))
            findings_add(findings, FINDING_ERROR, value->place, "`%s` is not one of %s",
                         value->text, descriptor->choices);
        break;
    case SETTING_ENDPOINT:
        if (!is_endpoint(value->text))
            findings_add(findings, FINDING_ERROR, value->place, "`%s` of %s is not IP:PORT",
                         value->text, descriptor->name);
        break;
    case SETTING_NUMBER:
        if (!is_number(value->text))
            findings_add(findings, FINDING_ERROR, value->place,
                         "`%s` of %s is not a number of 0 or more", value->text, descriptor->name);
        break;
    case SETTING_STRING:
        if (!value->text[0])
            findings_add(findings, FINDING_ERROR, value->place, "%s must not be empty",
                         descriptor->name);
        break;
    }
    *(const char **)target = value->text;
}
