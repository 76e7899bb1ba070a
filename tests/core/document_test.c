#include "testing.h"

#include "core/document.h"
#include "core/random.h"

#include <stdlib.h>
#include <string.h>

static void older_or_equal_revisions_are_not_accepted(void **state)
{
    struct document document = {0};
    assert_int_equal(document_accept(&document, 5, "five", 4), STATUS_OK);
    assert_int_equal(document_accept(&document, 4, "four", 4), STATUS_STALE);
    assert_int_equal(document_accept(&document, 5, "FIVE", 4), STATUS_STALE);
    assert_int_equal(document_revision(&document), 5);
    document_reject(&document, 6);
    assert_false(document_is_new_revision(&document, 6));
    assert_true(document_is_new_revision(&document, 7));
    document_clear(&document);
}

static void a_delta_is_small_and_restores_the_exact_body(void **state)
{
    struct random_stream random = {.seed = 3};
    size_t size = 1 << 20;
    char *body = malloc(size);
    for (size_t i = 0; i < size; i++)
        body[i] = (char)random_below(&random, 256);
    struct document sender = {0};
    struct document receiver = {0};
    document_accept(&sender, 1, body, size);
    document_accept(&receiver, 1, body, size);
    memcpy(body + 1000, "changed", 7);
    document_accept(&sender, 2, body, size);

    Shuntrun__DocumentReply reply = SHUNTRUN__DOCUMENT_REPLY__INIT;
    assert_int_equal(document_encode(&sender, 1, &reply), STATUS_OK);
    assert_int_equal(reply.base_revision, 1);
    assert_true(reply.body.len < 2000);
    char *decoded;
    size_t decoded_size;
    assert_int_equal(document_decode(&receiver, &reply, &decoded, &decoded_size), STATUS_OK);
    assert_int_equal(decoded_size, size);
    assert_memory_equal(decoded, body, size);
    free(decoded);

    struct document receiver_without_base = {0};
    assert_int_equal(document_decode(&receiver_without_base, &reply, &decoded, &decoded_size),
                     STATUS_NOT_FOUND);
    reply.body.data[reply.body.len / 2] ^= 1;
    assert_int_not_equal(document_decode(&receiver, &reply, &decoded, &decoded_size), STATUS_OK);
    free(reply.body.data);
    free(reply.digest.data);
    free(body);
    document_clear(&sender);
    document_clear(&receiver);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(older_or_equal_revisions_are_not_accepted),
        cmocka_unit_test(a_delta_is_small_and_restores_the_exact_body),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
