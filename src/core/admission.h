/**
 * Weighted admission control by tenant: a limit on requests in progress, shared so that a large
 * tenant cannot starve a small one. Used by gateways and agents.
 *
 * A tenant below its share (limit x weight / sum of weights) is admitted while the total is below
 * the limit. Above its share it may borrow idle slots, except for a part of other tenants' unused
 * shares, which is reserved for them. Not thread-safe: one owner.
 */
#ifndef SHUNTRUN_ADMISSION_H
#define SHUNTRUN_ADMISSION_H

#include "core/fleet_config.h"

#include <stdbool.h>
#include <stdint.h>

#define ADMISSION_UNKNOWN_TENANT UINT32_MAX

struct admission_tenant {
    char name[CONFIG_NAME_SIZE];
    uint32_t weight;
    uint32_t active; /**< requests in progress */
    double order;    /**< priority set by the policy; smaller goes first */
};

/** All zero before the first configuration. */
struct admission {
    uint32_t limit;  /**< on requests in progress, of all tenants together */
    uint32_t active; /**< requests in progress, of all tenants together */
    uint64_t weight_sum;
    struct admission_tenant *tenants; /**< owned */
    uint32_t tenant_count;
};

/** \brief Apply a tenant configuration; tenants that remain keep their active counts. */
void admission_configure(struct admission *admission, uint32_t limit,
                         const struct tenant_config *tenants, uint32_t count);

/** \return index of a tenant, or ADMISSION_UNKNOWN_TENANT */
uint32_t admission_find(const struct admission *admission, const char *tenant);

/** \brief Admit one request, unless that exceeds a limit. \return false: refuse the request */
bool admission_enter(struct admission *admission, uint32_t tenant);
/** \brief An admitted request has ended. */
void admission_leave(struct admission *admission, uint32_t tenant);

/** \return the tenant's share of the limit, in requests, at least 1; the tenant can always reach it
 * as requests of other tenants end */
uint32_t admission_share(const struct admission *admission, uint32_t tenant);

/** \brief Free the tenants and reset to zero. */
void admission_clear(struct admission *admission);

#endif
