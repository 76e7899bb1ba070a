/**
 * Weighted admission by tenant: a bound on requests in progress, shared so that a large tenant
 * cannot starve a small one. Used by gateways and agents alike.
 *
 * A tenant below its share (limit x weight / sum of weights) is admitted while the limit holds.
 * Above its share it may borrow what is idle, except for the part of other tenants' unused shares
 * that is kept free for them. One owner.
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
    uint32_t active;
    double order; /**< of the policy; smaller goes first */
};

struct admission {
    uint32_t limit;
    uint32_t active;
    uint64_t weight_sum;
    struct admission_tenant *tenants; /**< owned */
    uint32_t tenant_count;
};

/** \brief Take tenants over from a configuration; counts of known tenants are kept. */
void admission_configure(struct admission *admission, uint32_t limit,
                         const struct tenant_config *tenants, uint32_t count);

/** \return index of a tenant, or ADMISSION_UNKNOWN_TENANT */
uint32_t admission_find(const struct admission *admission, const char *tenant);

/** \brief Count one request in, or refuse it. */
bool admission_enter(struct admission *admission, uint32_t tenant);
void admission_leave(struct admission *admission, uint32_t tenant);

/** \return requests that the tenant may always have in progress, at least 1 */
uint32_t admission_share(const struct admission *admission, uint32_t tenant);

void admission_clear(struct admission *admission);

#endif
