#include "tool/load_result.h"

void load_result_init(struct load_result *result)
{
    *result = (struct load_result){.versions = json_object()};
}

void load_result_clear(struct load_result *result)
{
    json_decref(result->versions);
}

void load_result_add_answer(struct load_result *result, uint32_t tenant,
                            enum answer_verdict verdict, const char *version, uint64_t took_us)
{
    result->verdicts[verdict]++;
    result->tenants[tenant].verdicts[verdict]++;
    if (verdict != ANSWER_DONE)
        return;
    histogram_add(&result->whole, took_us);
    json_int_t count = json_integer_value(json_object_get(result->versions, version));
    json_object_set_new(result->versions, version, json_integer(count + 1));
}

bool load_result_has_violation(const struct load_result *result)
{
    const uint64_t *verdicts = result->verdicts;
    return verdicts[ANSWER_LOST] || verdicts[ANSWER_CUT] || verdicts[ANSWER_DOUBLED] ||
           verdicts[ANSWER_MIXED];
}

static json_t *histogram_to_json(const struct histogram *histogram)
{
    return json_pack("{s:I, s:f, s:f, s:f, s:f}", "count", (json_int_t)histogram->total, "p50",
                     (double)histogram_quantile(histogram, 0.5) / 1000, "p95",
                     (double)histogram_quantile(histogram, 0.95) / 1000, "p99",
                     (double)histogram_quantile(histogram, 0.99) / 1000, "max",
                     (double)histogram->maximum / 1000);
}

static json_t *verdicts_to_json(const uint64_t verdicts[ANSWER_VERDICTS])
{
    json_t *object = json_object();
    for (int i = 0; i < ANSWER_VERDICTS; i++)
        json_object_set_new(object, answer_verdict_name((enum answer_verdict)i),
                            json_integer((json_int_t)verdicts[i]));
    return object;
}

json_t *load_result_to_json(const struct load_result *result, const struct load_options *options)
{
    json_t *tenants = json_object();
    for (uint32_t i = 0; i < options->tenant_count; i++)
        json_object_set_new(tenants, options->tenants[i],
                            verdicts_to_json(result->tenants[i].verdicts));
    return json_pack(
        "{s:I, s:o, s:o, s:O, s:I, s:o, s:o, s:o}", "requests", (json_int_t)result->requests,
        "outcomes", verdicts_to_json(result->verdicts), "tenants", tenants, "versions",
        result->versions, "tokens", (json_int_t)result->tokens, "first_token_ms",
        histogram_to_json(&result->first_token), "between_tokens_ms",
        histogram_to_json(&result->between_tokens), "whole_ms", histogram_to_json(&result->whole));
}

static double quantile_ratio(const struct histogram *left, const struct histogram *right,
                             double share)
{
    double below = (double)histogram_quantile(right, share);
    return below > 0 ? (double)histogram_quantile(left, share) / below : 0;
}

json_t *load_result_comparison_to_json(const struct load_result *left,
                                       const struct load_result *right,
                                       const struct load_options *options)
{
    return json_pack(
        "{s:o, s:o, s:{s:f, s:f, s:f, s:f}}", "gateways", load_result_to_json(left, options),
        "against", load_result_to_json(right, options), "ratios", "first_token_p50",
        quantile_ratio(&left->first_token, &right->first_token, 0.5), "first_token_p95",
        quantile_ratio(&left->first_token, &right->first_token, 0.95), "whole_p50",
        quantile_ratio(&left->whole, &right->whole, 0.5), "whole_p95",
        quantile_ratio(&left->whole, &right->whole, 0.95));
}
