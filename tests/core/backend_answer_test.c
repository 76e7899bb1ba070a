/* What an answer of a back end means. */
#include "testing.h"

#include "core/backend_answer.h"

static struct answer_facts answer(unsigned status, bool sealed, bool not_executed)
{
    return (struct answer_facts){.status = status, .sealed = sealed, .not_executed = not_executed};
}

static void an_answer_has_one_meaning_for_its_request(void **state)
{
    static const struct {
        unsigned status;
        bool sealed;
        bool not_executed;
        enum answer_meaning meaning;
    } table[] = {
        {200, true, false, ANSWER_DELIVERED}, {204, true, false, ANSWER_DELIVERED},
        {200, false, false, ANSWER_UNPROVEN}, {500, true, false, ANSWER_FAILED},
        {404, true, false, ANSWER_FAILED},    {500, false, false, ANSWER_UNPROVEN},
        {503, false, true, ANSWER_NOT_RUN},   {503, true, true, ANSWER_NOT_RUN},
        {503, true, false, ANSWER_FAILED},    {503, false, false, ANSWER_UNPROVEN},
        {429, false, true, ANSWER_NOT_RUN},   {421, false, false, ANSWER_ELSEWHERE},
        {421, true, true, ANSWER_ELSEWHERE},
    };
    for (size_t i = 0; i < sizeof table / sizeof table[0]; i++) {
        struct answer_facts facts = answer(table[i].status, table[i].sealed, table[i].not_executed);
        assert_int_equal(answer_meaning(&facts), table[i].meaning);
    }
}

static void an_encoding_that_nobody_asked_for_proves_nothing(void **state)
{
    struct answer_facts facts = answer(200, true, false);
    facts.encoded = true;
    assert_int_equal(answer_meaning(&facts), ANSWER_UNPROVEN);
}

static void only_a_back_end_that_turns_away_asks_for_a_time_without_requests(void **state)
{
    struct answer_facts facts = answer(503, false, true);
    facts.retry_after_ms = 700;
    assert_int_equal(answer_backoff_us(&facts), 700000);
    facts.status = 429;
    assert_int_equal(answer_backoff_us(&facts), 0);
    facts.status = 200;
    assert_int_equal(answer_backoff_us(&facts), 0);
    facts.status = 500;
    assert_int_equal(answer_backoff_us(&facts), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(an_answer_has_one_meaning_for_its_request),
        cmocka_unit_test(an_encoding_that_nobody_asked_for_proves_nothing),
        cmocka_unit_test(only_a_back_end_that_turns_away_asks_for_a_time_without_requests),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
