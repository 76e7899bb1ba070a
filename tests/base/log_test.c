/* Log lines are rate-limited, written whole, and never block, even when nobody reads the output. */
#include "testing.h"

#include "base/log.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define EVENTS 5000

/* Redirects standard output to a pipe. \return the read end */
static int redirect(int *saved_stdout)
{
    int ends[2];
    assert_int_equal(pipe(ends), 0);
    *saved_stdout = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    close(ends[1]);
    log_init("test", LOG_LEVEL_INFO);
    return ends[0];
}

static void restore(int saved_stdout, int reader)
{
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    close(reader);
}

static void event_kind_is_rate_limited_and_drops_are_counted(void **state)
{
    char text[65536];
    int saved_stdout;
    int reader = redirect(&saved_stdout);
    uint64_t before = log_dropped();
    for (int i = 0; i < EVENTS; i++)
        log_event(LOG_LEVEL_INFO, "test", "many", "number=%d", i);
    ssize_t size = read(reader, text, sizeof text - 1);
    restore(saved_stdout, reader);
    assert_true(size > 0);
    text[size] = 0;
    assert_int_equal(text[size - 1], '\n');
    uint32_t lines = 0;
    for (const char *c = text; (c = strchr(c, '\n')); c++)
        lines++;
    assert_true(lines >= 60 && lines < 200);
    assert_true(log_dropped() - before >= EVENTS - 200);
}

static void full_pipe_does_not_block_the_logger(void **state)
{
    static const char *const kinds[] = {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j",
                                        "k", "l", "m", "n", "o", "p", "q", "r", "s", "t"};
    char padding[700];
    int saved_stdout;
    int reader = redirect(&saved_stdout);
    uint64_t before = log_dropped();
    memset(padding, 'x', sizeof padding - 1);
    padding[sizeof padding - 1] = 0;
    /* 20 kinds of event with 60 lines of 0.8 KB each: far more than a pipe buffers. */
    for (int i = 0; i < 60; i++)
        for (int k = 0; k < 20; k++)
            log_event(LOG_LEVEL_INFO, "test", kinds[k], "text=%s", padding);
    assert_true(log_dropped() > before);
    restore(saved_stdout, reader);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(event_kind_is_rate_limited_and_drops_are_counted),
        cmocka_unit_test(full_pipe_does_not_block_the_logger),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
