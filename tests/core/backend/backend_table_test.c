/* Look-ups and groups of the backend table, compared with a plain list of all backends. */
#include "testing.h"

#include "core/backend/backend_table.h"
#include "core/random.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BACKENDS 3800
#define SERVICES 3

static struct backend *create_backend(uint32_t number)
{
    struct backend *backend = calloc(1, sizeof *backend);
    snprintf(backend->listing.id, sizeof backend->listing.id, "i-%u", number);
    snprintf(backend->listing.address, sizeof backend->listing.address, "10.%u.%u.%u:80",
             number >> 16, (number >> 8) & 255, number & 255);
    snprintf(backend->listing.service, sizeof backend->listing.service, "s%u", number % SERVICES);
    return backend;
}

/* Every backend is found, is at its recorded index, and is among the reported ones if it has a load
 * report. */
static void assert_consistent(const struct backend_table *table, struct backend **all,
                              uint32_t count)
{
    uint32_t present = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (!all[i])
            continue;
        const struct backend_group *group = backend_table_group(table, all[i]->listing.service);
        present++;
        assert_ptr_equal(backend_table_find_id(table, all[i]->listing.id), all[i]);
        assert_ptr_equal(backend_table_find_address(table, all[i]->listing.address), all[i]);
        assert_ptr_equal(group->items[all[i]->group_index], all[i]);
        assert_int_equal(all[i]->group_index < group->reported, all[i]->load_at != 0);
    }
    assert_int_equal(table->count, present);
}

static void backends_are_found_while_others_are_added_and_removed(void **state)
{
    static struct backend *all[4 * BACKENDS];
    struct backend_table table = {.count = 0};
    struct random_stream random = {.seed = 5};
    uint32_t made = 0;
    while (made < BACKENDS) {
        all[made] = create_backend(made);
        backend_table_add(&table, all[made++]);
    }
    for (uint32_t step = 0; step < 3 * BACKENDS; step++) {
        uint32_t index = (uint32_t)random_below(&random, made);
        if (all[index] && step % 2) {
            all[index]->load_at = !all[index]->load_at;
            backend_table_set_reported(&table, all[index], all[index]->load_at);
        } else if (all[index]) {
            backend_table_remove(&table, all[index]);
            assert_null(backend_table_find_id(&table, all[index]->listing.id));
            free(all[index]);
            all[index] = NULL;
            all[made] = create_backend(made);
            backend_table_add(&table, all[made++]);
        }
        if (step % 2000 == 0)
            assert_consistent(&table, all, made);
    }
    assert_consistent(&table, all, made);
    assert_null(backend_table_find_address(&table, "10.9.9.9:80"));
    assert_null(backend_table_group(&table, "none"));
    backend_table_clear(&table);
    for (uint32_t i = 0; i < made; i++)
        free(all[i]);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(backends_are_found_while_others_are_added_and_removed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
