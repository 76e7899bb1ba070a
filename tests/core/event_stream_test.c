/* Splitting a byte stream into complete events, for any chunking. */
#include "testing.h"

#include "core/event_stream.h"

#include <string.h>

static const char events[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

static void feed_in_chunks(size_t chunk_size)
{
    struct event_stream stream = {0};
    struct buffer complete = {0};
    for (size_t offset = 0; offset < strlen(events); offset += chunk_size) {
        size_t rest = strlen(events) - offset;
        event_stream_feed(&stream, events + offset, rest < chunk_size ? rest : chunk_size,
                          &complete);
    }
    assert_int_equal(stream.events, 3);
    assert_int_equal(complete.size, strlen(events));
    assert_memory_equal(complete.data, events, complete.size);
    assert_string_equal(stream.last_id, "3");
    assert_int_equal(stream.partial.size, 0);
    buffer_clear(&complete);
    event_stream_clear(&stream);
}

static void events_are_split_for_any_chunking(void **state)
{
    for (size_t chunk_size = 1; chunk_size < strlen(events); chunk_size++)
        feed_in_chunks(chunk_size);
}

static void partial_event_is_held_back(void **state)
{
    struct event_stream stream = {0};
    struct buffer complete = {0};
    assert_int_equal(event_stream_feed(&stream, "id: 4\ndata: x\n\nid: 5\nda", 23, &complete), 1);
    assert_int_equal(complete.size, 15);
    assert_string_equal(stream.last_id, "4");
    event_stream_drop_partial(&stream);
    assert_int_equal(event_stream_feed(&stream, "id: 5\ndata: y\n\n", 15, &complete), 1);
    assert_string_equal(stream.last_id, "5");
    buffer_clear(&complete);
    event_stream_clear(&stream);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(events_are_split_for_any_chunking),
        cmocka_unit_test(partial_event_is_held_back),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
