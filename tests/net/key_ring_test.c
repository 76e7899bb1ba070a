/* Key files: slots, the active slot, and findings that never reveal keys. */
#include "testing.h"

#include "net/key_ring.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

static enum status read_text(const char *text, struct key_ring *ring, struct findings *findings)
{
    char path[] = "/tmp/key_ring_test_XXXXXX";
    int descriptor = mkstemp(path);
    assert_int_equal(write(descriptor, text, strlen(text)), (ssize_t)strlen(text));
    close(descriptor);
    enum status status = key_ring_read(path, ring, findings);
    unlink(path);
    return status;
}

static void both_slots_are_accepted_and_one_is_active(void **state)
{
    char keys[4][KEY_TEXT_SIZE];
    char text[512];
    struct key_ring ring;
    struct findings findings = {0};
    zmq_curve_keypair(keys[0], keys[1]);
    zmq_curve_keypair(keys[2], keys[3]);
    snprintf(text, sizeof text, "# fleet\na %s %s\nb %s %s\nuse b\n", keys[0], keys[1], keys[2],
             keys[3]);
    assert_int_equal(read_text(text, &ring, &findings), STATUS_OK);
    assert_int_equal(ring.active_slot, 1);
    assert_true(key_ring_contains(&ring, keys[0]));
    assert_true(key_ring_contains(&ring, keys[2]));
    assert_false(key_ring_contains(&ring, keys[1]));
}

static void findings_give_lines_and_never_keys(void **state)
{
    char keys[4][KEY_TEXT_SIZE];
    char text[512];
    struct key_ring ring;
    struct findings findings = {0};
    zmq_curve_keypair(keys[0], keys[1]);
    zmq_curve_keypair(keys[2], keys[3]);
    snprintf(text, sizeof text, "a %s %s\nb short x\nwhat\nuse b\n", keys[0], keys[3]);
    assert_int_equal(read_text(text, &ring, &findings), STATUS_INVALID);
    assert_int_equal(findings.error_count, 4);
    assert_non_null(strstr(findings.items[0].place, ":1"));
    assert_non_null(strstr(findings.items[2].place, ":3"));
    for (size_t i = 0; i < findings.count; i++)
        assert_null(strstr(findings.items[i].text, keys[3]));
    findings_clear(&findings);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(both_slots_are_accepted_and_one_is_active),
        cmocka_unit_test(findings_give_lines_and_never_keys),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
