/* Fleet configurations, and the policy program that they contain. */
#include "fuzz/fuzz.h"

#include "core/fleet_config.h"
#include "core/policy.h"

#include <stdlib.h>

const char *const fuzz_corpus[] = {
    "{\"models\":[{\"name\":\"m\",\"version\":\"v\",\"manifest\":"
    "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\",\"replicas\":3}],"
    "\"services\":[{\"name\":\"s\",\"kind\":\"model\",\"model\":\"m\"},"
    "{\"name\":\"p\",\"kind\":\"plain\",\"machines\":[\"a\",\"b\"]}],"
    "\"tenants\":[{\"name\":\"t\",\"weight\":3}],"
    "\"objectives\":[{\"service\":\"s\",\"availability\":0.99}],"
    "\"policy\":[\"function place(m, h) return 1 end\"]}",
    NULL};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct findings findings = {0};
    struct fleet_config config;
    if (fleet_config_parse("fuzz", (const char *)data, size, 1, &config, &findings) == STATUS_OK) {
        struct policy *policy = policy_create("p", config.policy, &findings);
        policy_destroy(policy);
        fleet_config_clear(&config);
    }
    findings_clear(&findings);
    return 0;
}
