/**
 * The burn report as an HTML page with plots that needs nothing from outside.
 */
#ifndef SHUNTRUN_REPORT_PAGE_H
#define SHUNTRUN_REPORT_PAGE_H

#include "tool/burn.h"

#include <stdio.h>

void report_page_print(FILE *stream, const struct burn_objective *burns, uint32_t count);

#endif
