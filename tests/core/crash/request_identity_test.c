/* Request identity: equal for equal content, different otherwise. */
#include "testing.h"

#include "core/crash/request_identity.h"

#include <string.h>

static struct request_content content_of(const char *caller, const char *target, const char *body)
{
    return (struct request_content){.caller = caller,
                                    .method = "POST",
                                    .target = target,
                                    .target_length = strlen(target),
                                    .body = body,
                                    .body_size = strlen(body)};
}

static bool are_same(const struct request_content *left, const struct request_content *right)
{
    struct request_identity left_identity = request_identity_of(left);
    struct request_identity right_identity = request_identity_of(right);
    return request_identity_equal(&left_identity, &right_identity);
}

static void equal_content_gives_equal_identity(void **state)
{
    struct request_content first = content_of("studio", "/brief?x=1", "words");
    struct request_content again = content_of("studio", "/brief?x=1", "words");
    assert_true(are_same(&first, &again));
}

static void each_part_changes_the_identity(void **state)
{
    struct request_content first = content_of("studio", "/brief", "words");
    struct request_content others[] = {
        content_of("rival", "/brief", "words"), content_of("studio", "/brief2", "words"),
        content_of("studio", "/brief", "word"), content_of("studio", "/brief", ""),
        content_of("", "/brief", "words"),      content_of("studio", "/brief", "words")};
    others[5].method = "PUT";
    for (size_t i = 0; i < sizeof others / sizeof others[0]; i++)
        assert_false(are_same(&first, &others[i]));
}

/* A caller chooses its target and body, and must not be able to forge another caller's identity by
 * moving bytes between the parts. */
static void parts_are_delimited(void **state)
{
    struct request_content first = content_of("studio", "/brief", "words");
    struct request_content moved = content_of("studio/", "brief", "words");
    struct request_content longer = content_of("studio", "/briefw", "ords");
    assert_false(are_same(&first, &moved));
    assert_false(are_same(&first, &longer));
}

static void hex_round_trip_covers_all_bytes(void **state)
{
    struct request_identity identity = {{0}};
    char hex[REQUEST_IDENTITY_HEX_SIZE];
    identity.bytes[0] = 0xab;
    identity.bytes[REQUEST_IDENTITY_SIZE - 1] = 0x01;
    request_identity_to_hex(&identity, hex);
    assert_string_equal(hex, "ab000000000000000000000000000001");
    struct request_identity read;
    assert_true(request_identity_from_hex(hex, &read));
    assert_true(request_identity_equal(&read, &identity));
}

static void malformed_hex_is_rejected(void **state)
{
    static const char *const texts[] = {"", "ab", "ab00000000000000000000000000000g",
                                        "ab0000000000000000000000000000011",
                                        "AB000000000000000000000000000001"};
    struct request_identity read;
    for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
        assert_false(request_identity_from_hex(texts[i], &read));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(equal_content_gives_equal_identity),
        cmocka_unit_test(each_part_changes_the_identity),
        cmocka_unit_test(parts_are_delimited),
        cmocka_unit_test(hex_round_trip_covers_all_bytes),
        cmocka_unit_test(malformed_hex_is_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
