/**
 * What the requests of `shuntrun load` to one system came to: verdicts, versions and latencies.
 */
#ifndef SHUNTRUN_LOAD_RESULT_H
#define SHUNTRUN_LOAD_RESULT_H

#include "base/histogram.h"
#include "tool/answer_check.h"
#include "tool/load_options.h"

#include <jansson.h>

struct tenant_counts {
    uint64_t verdicts[ANSWER_VERDICTS];
};

struct load_result {
    uint64_t requests;
    uint64_t verdicts[ANSWER_VERDICTS];
    struct tenant_counts tenants[LOAD_MAX_TENANTS]; /**< in the order of the options */
    json_t *versions; /**< object: version -> number of completed answers */
    uint64_t tokens;
    struct histogram first_token; /**< us, as the next two */
    struct histogram between_tokens;
    struct histogram whole; /**< until the end of the answer */
};

void load_result_init(struct load_result *result);
void load_result_clear(struct load_result *result);

/** \brief Count an answer. \param took_us since the scheduled arrival of the request */
void load_result_add_answer(struct load_result *result, uint32_t tenant,
                            enum answer_verdict verdict, const char *version, uint64_t took_us);

/** \return whether an answer was lost, cut, doubled or mixed */
bool load_result_has_violation(const struct load_result *result);

/** \brief A system's results, by tenant too; latencies in milliseconds. */
json_t *load_result_to_json(const struct load_result *result, const struct load_options *options);

/** \brief Both results, and the ratios of the first to the second. Both systems are measured in the
 * same run, so that a busy machine slows both alike. */
json_t *load_result_comparison_to_json(const struct load_result *left,
                                       const struct load_result *right,
                                       const struct load_options *options);

#endif
