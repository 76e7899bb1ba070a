/* Strict check of /metrics output against the Prometheus text format. */
#include "testing.h"

#include "base/metrics.h"

#include <ctype.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* \return whether a line is `name{labels} value` with a valid name */
static bool is_sample(const char *line)
{
    size_t name = strspn(line, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_:0123456789");
    if (!name || isdigit((unsigned char)line[0]))
        return false;
    const char *rest = line + name;
    if (*rest == '{') {
        rest = strchr(rest, '}');
        if (!rest)
            return false;
        rest++;
    }
    char *end;
    if (*rest != ' ')
        return false;
    strtod(rest + 1, &end);
    return *end == 0;
}

static void every_line_is_a_comment_or_a_sample(void **state)
{
    size_t size;
    char *text = metrics_format_prometheus(&size);
    assert_int_equal(text[size - 1], '\n');
    for (char *rest = text, *line = strsep(&rest, "\n"); line && *line; line = strsep(&rest, "\n"))
        assert_true(strncmp(line, "# HELP ", 7) == 0 || strncmp(line, "# TYPE ", 7) == 0 ||
                    is_sample(line));
    free(text);
}

static void histogram_buckets_are_cumulative_and_end_with_the_count(void **state)
{
    size_t size;
    metric_observe(METRIC_FIRST_EVENT, 900);
    metric_observe(METRIC_FIRST_EVENT, 90000);
    metric_observe(METRIC_FIRST_EVENT, 60000000);
    char *text = metrics_format_prometheus(&size);
    assert_non_null(strstr(text, "shuntrun_first_event_seconds_bucket{le=\"0.001\"} 1\n"));
    assert_non_null(strstr(text, "shuntrun_first_event_seconds_bucket{le=\"0.1\"} 2\n"));
    assert_non_null(strstr(text, "shuntrun_first_event_seconds_bucket{le=\"6\"} 2\n"));
    assert_non_null(strstr(text, "shuntrun_first_event_seconds_bucket{le=\"+Inf\"} 3\n"));
    assert_non_null(strstr(text, "shuntrun_first_event_seconds_count 3\n"));
    assert_non_null(strstr(text, "shuntrun_first_event_seconds_sum 60.090900\n"));
    free(text);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_line_is_a_comment_or_a_sample),
        cmocka_unit_test(histogram_buckets_are_cumulative_and_end_with_the_count),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
