#include "base/findings.h"

#include "base/memory.h"

#include <stdarg.h>
#include <stdlib.h>

void findings_add(struct findings *findings, enum finding_severity severity, const char *place,
                  const char *format, ...)
{
    char text[512];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);

    findings->items =
        memory_realloc(findings->items, (findings->count + 1) * sizeof *findings->items);
    struct finding *finding = &findings->items[findings->count++];
    finding->severity = severity;
    finding->place = memory_strdup(place);
    finding->text = memory_strdup(text);
    if (severity == FINDING_ERROR)
        findings->error_count++;
}

void findings_print(const struct findings *findings, FILE *stream)
{
    for (size_t i = 0; i < findings->count; i++) {
        const struct finding *finding = &findings->items[i];
        fprintf(stream, "%s: %s: %s\n", finding->place,
                finding->severity == FINDING_ERROR ? "error" : "warning", finding->text);
    }
}

void findings_clear(struct findings *findings)
{
    for (size_t i = 0; i < findings->count; i++) {
        free(findings->items[i].place);
        free(findings->items[i].text);
    }
    free(findings->items);
    *findings = (struct findings){0};
}
