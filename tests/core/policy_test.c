#include "testing.h"

#include "core/placement.h"
#include "core/policy.h"

#include <string.h>

static void expect_error(const char *program, const char *place, const char *text)
{
    struct findings findings = {0};
    struct policy *policy = policy_create("p", program, &findings);
    struct model_config model = {.name = "m"};
    struct machine machine = {.name = "a"};
    if (policy)
        policy_place(policy, &model, &machine, &findings);
    assert_int_equal(findings.count, 1);
    assert_string_equal(findings.items[0].place, place);
    assert_non_null(strstr(findings.items[0].text, text));
    findings_clear(&findings);
    policy_destroy(policy);
}

static void programs_cannot_escape_the_sandbox(void **state)
{
    expect_error("os.exit()", "p:1", "os");
    expect_error("\nio.open('x')", "p:2", "io");
    expect_error("load('return 1')()", "p:1", "load");
    expect_error("local x = math.random()", "p:1", "random");
    expect_error("setmetatable({}, {})", "p:1", "setmetatable");
    expect_error("local t = tostring({})", "p:1", "tostring");
    expect_error("require('x')", "p:1", "require");
}

static void programs_have_instruction_and_memory_limits(void **state)
{
    expect_error("while true do end", "p:1", "too long");
    expect_error("function place() while true do end end", "p:1", "too long");
    expect_error("local t = 'x' while true do t = t .. t end", "p", "memory");
}

static void invalid_results_are_reported_as_findings(void **state)
{
    expect_error("function place() return 'yes' end", "p", "`place` must return");
    expect_error("function place() return -1 end", "p", "`place` must return");
    expect_error("function place() return 0/0 end", "p", "`place` must return");
    expect_error("function place(model, machine)\n return machine.x.y end", "p:2", "nil");
    expect_error("not lua", "p:1", "near");
}

static void pairs_iterates_in_sorted_key_order(void **state)
{
    static const char program[] = "local order = ''\n"
                                  "for key in pairs({z=1, a=2, m=3, [2]=4, [1]=5}) do\n"
                                  "  order = order .. key\n"
                                  "end\n"
                                  "function place() return order == '12amz' end\n";
    struct findings findings = {0};
    struct policy *policy = policy_create("p", program, &findings);
    struct model_config model = {.name = "m"};
    struct machine machine = {.name = "a"};
    assert_non_null(policy);
    assert_true(policy_place(policy, &model, &machine, &findings) == 1);
    assert_int_equal(findings.count, 0);
    policy_destroy(policy);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(programs_cannot_escape_the_sandbox),
        cmocka_unit_test(programs_have_instruction_and_memory_limits),
        cmocka_unit_test(invalid_results_are_reported_as_findings),
        cmocka_unit_test(pairs_iterates_in_sorted_key_order),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
