/**
 * The weight versions that may still serve a model: each version named by the operator becomes the
 * minimum at a time after it was named.
 */
#ifndef SHUNTRUN_VERSION_BOUNDS_H
#define SHUNTRUN_VERSION_BOUNDS_H

#include <stdint.h>

/** Version of a model until the operator names one. */
#define INITIAL_VERSION 1
/** Size of a model name, bytes, with the terminating zero. */
#define VERSION_MODEL_SIZE 64

/** A named version and the time from which it is the minimum. */
struct version_bound {
    uint64_t version;
    uint64_t enforced_at; /**< time from which no older version may start a request */
};

/** The named versions of one model. */
struct model_versions {
    char model[VERSION_MODEL_SIZE];
    struct version_bound *bounds; /**< newest first; owned */
    uint32_t count;
};

/** The named versions of all models; begins as all zeros. */
struct version_bounds {
    struct model_versions *models; /**< owned */
    uint32_t count;
};

/** \brief Forget all versions. */
void version_bounds_clear(struct version_bounds *bounds);

/**
 * \brief Time for which older versions may serve when it is not known how long ago a version was
 * named, as after a start of all nodes.
 * \param bound_us time from the naming until no request may start on an older version
 * \param contact_us time after its start from which a node must keep this bound
 */
static inline uint64_t version_bounds_undated_us(uint64_t bound_us, uint64_t contact_us)
{
    return bound_us / 2 < contact_us ? bound_us / 2 : contact_us;
}

/**
 * \brief Add a named version; one that is not newer than all known ones is ignored. Kept are the
 * newest version that is the minimum already, and all that will be.
 * \param enforced_at time from which it is the minimum
 */
void version_bounds_add(struct version_bounds *bounds, const char *model, uint64_t version,
                        uint64_t enforced_at, uint64_t now);
/** \return the newest named version; 0: none */
uint64_t version_bounds_newest(const struct version_bounds *bounds, const char *model);
/** \return the minimum version that may start a request at `now`; 0: any */
uint64_t version_bounds_minimum(const struct version_bounds *bounds, const char *model,
                                uint64_t now);

#endif
