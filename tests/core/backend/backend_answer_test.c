/* Classes of backend answers, and the backoff that an answer sets. */
#include "testing.h"

#include "core/backend/backend_answer.h"

static struct answer_properties answer(unsigned status, bool sealed, bool not_executed)
{
    return (struct answer_properties){
        .status = status, .sealed = sealed, .not_executed = not_executed};
}

static void status_and_headers_decide_the_class_of_an_answer(void **state)
{
    static const struct {
        unsigned status;
        bool sealed;
        bool not_executed;
        enum answer_class expected;
    } table[] = {
        {200, true, false, ANSWER_SUCCEEDED},   {204, true, false, ANSWER_SUCCEEDED},
        {200, false, false, ANSWER_UNVERIFIED}, {500, true, false, ANSWER_FAILED},
        {404, true, false, ANSWER_FAILED},      {500, false, false, ANSWER_UNVERIFIED},
        {503, false, true, ANSWER_NOT_RUN},     {503, true, true, ANSWER_NOT_RUN},
        {503, true, false, ANSWER_FAILED},      {503, false, false, ANSWER_UNVERIFIED},
        {429, false, true, ANSWER_NOT_RUN},     {421, false, false, ANSWER_MISDIRECTED},
        {421, true, true, ANSWER_MISDIRECTED},
    };
    for (size_t i = 0; i < sizeof table / sizeof table[0]; i++) {
        struct answer_properties properties =
            answer(table[i].status, table[i].sealed, table[i].not_executed);
        assert_int_equal(classify_answer(&properties), table[i].expected);
    }
}

static void an_unrequested_content_encoding_makes_an_answer_unverified(void **state)
{
    struct answer_properties properties = answer(200, true, false);
    properties.encoded = true;
    assert_int_equal(classify_answer(&properties), ANSWER_UNVERIFIED);
}

static void only_a_503_answer_sets_a_backoff(void **state)
{
    struct answer_properties properties = answer(503, false, true);
    properties.retry_after_ms = 700;
    assert_int_equal(answer_backoff_us(&properties), 700000);
    properties.status = 429;
    assert_int_equal(answer_backoff_us(&properties), 0);
    properties.status = 200;
    assert_int_equal(answer_backoff_us(&properties), 0);
    properties.status = 500;
    assert_int_equal(answer_backoff_us(&properties), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(status_and_headers_decide_the_class_of_an_answer),
        cmocka_unit_test(an_unrequested_content_encoding_makes_an_answer_unverified),
        cmocka_unit_test(only_a_503_answer_sets_a_backoff),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
