#include "testing.h"

#include "core/fleet_config.h"

#include <string.h>

#define DIGEST "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static enum status parse(const char *text, struct fleet_config *config, struct findings *findings)
{
    return fleet_config_parse("c.json", text, strlen(text), 7, config, findings);
}

static void a_valid_configuration_is_parsed(void **state)
{
    static const char text[] =
        "{\"models\": [{\"name\": \"m\", \"version\": \"v\", \"manifest\": \"" DIGEST "\"}],"
        " \"services\": [{\"name\": \"s\", \"kind\": \"model\", \"model\": \"m\"},"
        "   {\"name\": \"p\", \"kind\": \"plain\", \"machines\": [\"b\", \"a\"]}],"
        " \"tenants\": [{\"name\": \"t\", \"weight\": 3}], \"policy\": [\"-- one\", \"-- two\"]}";
    struct fleet_config config;
    struct findings findings = {0};
    assert_int_equal(parse(text, &config, &findings), STATUS_OK);
    assert_int_equal(config.revision, 7);
    assert_string_equal(config.policy, "-- one\n-- two\n");
    assert_int_equal(fleet_config_service(&config, "p")->machine_count, 2);
    assert_int_equal(fleet_config_tenant(&config, "t")->weight, 3);
    fleet_config_clear(&config);
}

static void all_errors_are_reported_in_one_pass(void **state)
{
    static const char text[] =
        "{\"models\": [{\"name\": \"\", \"version\": 3, \"manifest\": \"x\"}],"
        " \"services\": [{\"name\": \"s\", \"kind\": \"model\", \"model\": \"no\"},"
        "   {\"name\": \"s\", \"kind\": \"odd\"}],"
        " \"tenants\": [{\"name\": \"t\", \"weight\": 0}]}";
    struct fleet_config config;
    struct findings findings = {0};
    assert_int_equal(parse(text, &config, &findings), STATUS_INVALID);
    assert_int_equal(findings.error_count, 7);
    assert_string_equal(findings.items[0].place, "c.json: models[0].name");
    findings_clear(&findings);
}

static void a_json_syntax_error_reports_its_line(void **state)
{
    struct fleet_config config;
    struct findings findings = {0};
    assert_int_equal(parse("{\n\"models\": [\n", &config, &findings), STATUS_INVALID);
    assert_string_equal(findings.items[0].place, "c.json:3");
    findings_clear(&findings);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_valid_configuration_is_parsed),
        cmocka_unit_test(all_errors_are_reported_in_one_pass),
        cmocka_unit_test(a_json_syntax_error_reports_its_line),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
