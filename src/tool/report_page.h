/**
 * The burn-rate report as a self-contained HTML page with plots.
 */
#ifndef SHUNTRUN_REPORT_PAGE_H
#define SHUNTRUN_REPORT_PAGE_H

#include "tool/burn.h"

#include <stdio.h>

/** \brief Write the page, with one section for each of `count` objectives. */
void report_page_print(FILE *stream, const struct burn_objective *burns, uint32_t count);

#endif
