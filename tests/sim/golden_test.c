/*
 * Replays the golden sessions: recorded events of small fleets, at least one for each invariant.
 * Guards against unintended changes of behaviour, which show as a text diff. To record a session
 * again: `shuntrun simulate --scenario S --fleet small --seeds N..N --record FILE`.
 */
#include "testing.h"

#include "sim/scenario_run.h"
#include "sim/session.h"

#include <dirent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *read_file(const char *path, size_t *size)
{
    FILE *stream = fopen(path, "r");
    assert_non_null(stream);
    fseek(stream, 0, SEEK_END);
    *size = (size_t)ftell(stream);
    rewind(stream);
    char *text = malloc(*size + 1);
    assert_int_equal(fread(text, 1, *size, stream), *size);
    text[*size] = 0;
    fclose(stream);
    return text;
}

static void replay_golden(const char *path)
{
    char scenario[64];
    uint64_t seed;
    uint64_t keep;
    size_t size;
    char *recorded = read_file(path, &size);
    assert_int_equal(sscanf(recorded,
                            "shuntrun-session scenario=%63s fleet=small seed=%" SCNu64
                            " mutation=none keep-faults=%" SCNx64,
                            scenario, &seed, &keep),
                     3);
    struct scenario_run run = {.fleet = "small", .enabled_faults = keep};
    char *text = NULL;
    size_t again_size = 0;
    FILE *stream = open_memstream(&text, &again_size);
    struct fleet_sim_result result = session_record(&run, scenario, seed, stream);
    fclose(stream);
    assert_int_equal(result.violation_count, 0);
    if (strcmp(recorded, text) != 0)
        print_error("%s differs; see the comment at the top of this file\n", path);
    assert_string_equal(recorded, text);
    free(recorded);
    free(text);
}

static void every_golden_session_is_the_same(void **state)
{
    DIR *directory = opendir(GOLDEN_DIRECTORY);
    assert_non_null(directory);
    int count = 0;
    for (struct dirent *entry; (entry = readdir(directory));) {
        char path[1024];
        if (!strstr(entry->d_name, ".session"))
            continue;
        snprintf(path, sizeof path, "%s/%s", GOLDEN_DIRECTORY, entry->d_name);
        replay_golden(path);
        count++;
    }
    closedir(directory);
    assert_true(count >= 7);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_golden_session_is_the_same),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
