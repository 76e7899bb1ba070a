/**
 * Findings: validation errors and warnings of an input, collected with their location and reported
 * together.
 */
#ifndef SHUNTRUN_FINDINGS_H
#define SHUNTRUN_FINDINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

enum finding_severity { FINDING_ERROR, FINDING_WARNING };

struct finding {
    enum finding_severity severity;
    char *place; /**< "file:line", "--flag" or "VARIABLE" */
    char *text;
};

struct findings {
    struct finding *items;
    size_t count;
    size_t error_count;
};

/** \brief Add one finding; place and text are copied. */
void findings_add(struct findings *findings, enum finding_severity severity, const char *place,
                  const char *format, ...) __attribute__((format(printf, 4, 5)));

/** \brief Print one line `place: severity: text` per finding. */
void findings_print(const struct findings *findings, FILE *stream);

/** \brief Free all findings and make the list empty. */
void findings_clear(struct findings *findings);

#endif
