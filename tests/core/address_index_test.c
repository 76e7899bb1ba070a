/* Look-ups of table positions by address. */
#include "testing.h"

#include "core/address_index.h"

#define ENTRIES 5000

static uint32_t address_of(uint32_t entry)
{
    return 0x0a000001U + entry * 256;
}

static void every_address_keeps_its_position(void **state)
{
    struct address_index index = {0};
    assert_int_equal(address_index_find(&index, address_of(0)), ADDRESS_INDEX_NONE);
    for (uint32_t i = 0; i < ENTRIES; i++)
        address_index_put(&index, address_of(i), i);
    for (uint32_t i = 0; i < ENTRIES; i++)
        assert_int_equal(address_index_find(&index, address_of(i)), i);
    assert_int_equal(address_index_find(&index, address_of(ENTRIES)), ADDRESS_INDEX_NONE);
    address_index_destroy(&index);
}

static void a_position_can_be_replaced_and_all_can_be_cleared(void **state)
{
    struct address_index index = {0};
    address_index_put(&index, 7, 1);
    address_index_put(&index, 7, 2);
    assert_int_equal(index.count, 1);
    assert_int_equal(address_index_find(&index, 7), 2);
    address_index_clear(&index);
    assert_int_equal(address_index_find(&index, 7), ADDRESS_INDEX_NONE);
    address_index_destroy(&index);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_address_keeps_its_position),
        cmocka_unit_test(a_position_can_be_replaced_and_all_can_be_cleared),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
