/**
 * What a gateway counts for each service and tenant, for the report on service-level burn.
 * Bounded in rows; what does not fit is counted under the tenant "other". One owner.
 */
#ifndef SHUNTRUN_SERVICE_COUNTS_H
#define SHUNTRUN_SERVICE_COUNTS_H

#include "core/fleet_config.h"
#include "core/outcome.h"

#include <stdint.h>

#define SERVICE_COUNTS_ROWS 256

/** Upper bounds of the first-token buckets, milliseconds; one more bucket holds the rest. */
#define FIRST_TOKEN_BUCKETS 12
extern const uint32_t first_token_bounds_ms[FIRST_TOKEN_BUCKETS];

struct service_row {
    char service[CONFIG_NAME_SIZE];
    char tenant[CONFIG_NAME_SIZE];
    uint64_t outcomes[3];                          /**< by enum outcome */
    uint64_t first_token[FIRST_TOKEN_BUCKETS + 1]; /**< not cumulative */
};

struct service_counts {
    struct service_row rows[SERVICE_COUNTS_ROWS];
    uint32_t count;
};

struct service_row *service_counts_row(struct service_counts *counts, const char *service,
                                       const char *tenant);
void service_row_add_first_token(struct service_row *row, uint64_t microseconds);

/** \brief Append the rows in the Prometheus text format. \return owned text */
char *service_counts_format(const struct service_counts *counts);

#endif
