/* Policy programs (Lua): compiled, and each hook called once. */
#include "fuzz/fuzz.h"

#include "base/memory.h"
#include "core/policy.h"

#include <stdlib.h>
#include <string.h>

const char *const fuzz_corpus[] = {
    "function place(model, machine) if machine.accelerators < 8 then return 0 end return 1 end",
    "local t = {a = 1, b = 2} function replicas(m, f) local n = 0 for k, v in pairs(t) do n = n + "
    "v "
    "end return n end",
    "function spread(m) return math.min(0.5, #m.name / 10) end function rollout() return "
    "\"time-weighted\" end",
    NULL};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct findings findings = {0};
    struct model_config model = {.name = "m", .version = "v", .accelerators = 8};
    struct machine machine = {.name = "a", .zone = "z"};
    struct fleet_summary summary = {1, 1, 1};
    char *program = memory_calloc(size + 1, 1);
    memcpy(program, data, size);
    struct policy *policy = policy_create("p", program, &findings);
    if (policy) {
        policy_place(policy, &model, &machine, &findings);
        policy_replicas(policy, &model, &summary, &findings);
        policy_spread(policy, &model, &findings);
        policy_rollout(policy, &model, &findings);
    }
    policy_destroy(policy);
    findings_clear(&findings);
    free(program);
    return 0;
}
