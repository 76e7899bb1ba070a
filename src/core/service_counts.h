/**
 * Counters of a gateway for each service and tenant, for the report on error-budget burn rates. The
 * number of rows is bounded: what does not fit is counted under the service and tenant "other". Not
 * thread-safe.
 */
#ifndef SHUNTRUN_SERVICE_COUNTS_H
#define SHUNTRUN_SERVICE_COUNTS_H

#include "core/fleet_config.h"
#include "core/outcome.h"

#include <stdint.h>

#define SERVICE_COUNTS_ROWS 256

/** Upper bounds of the buckets for the time to first token, milliseconds; one more bucket counts
 *  greater times. */
#define FIRST_TOKEN_BUCKETS 12
extern const uint32_t first_token_bounds_ms[FIRST_TOKEN_BUCKETS];

struct service_row {
    char service[CONFIG_NAME_SIZE];
    char tenant[CONFIG_NAME_SIZE];
    uint64_t outcomes[3];                          /**< indexed by enum outcome */
    uint64_t first_token[FIRST_TOKEN_BUCKETS + 1]; /**< not cumulative */
};

struct service_counts {
    struct service_row rows[SERVICE_COUNTS_ROWS];
    uint32_t count;
};

/** \return the row of a service and tenant, which is added if missing, or the row "other" */
struct service_row *service_counts_row(struct service_counts *counts, const char *service,
                                       const char *tenant);
/** \brief Count one time to first token. */
void service_row_add_first_token(struct service_row *row, uint64_t microseconds);

/** \brief Format the rows as Prometheus text. \return text that the caller frees */
char *service_counts_format(const struct service_counts *counts);

#endif
