#include "cluster/state_message.h"

#include "platform/platform.h"

void state_message_write_item(const struct state_item *item, uint64_t now, Shuntrun__StateItem *out)
{
    shuntrun__state_item__init(out);
    out->key = item->key;
    out->value.data = (uint8_t *)item->value;
    out->value.len = item->size;
    out->revision = item->revision;
    out->gone = item->gone;
    out->age_ms = (now - item->learned) / 1000;
    out->from_outage = item->from_outage;
    out->undated = item->undated;
    out->lost_in_copy = item->lost_in_copy;
}

bool state_message_is_operator_item(const struct state_item *item)
{
    char name[PLATFORM_TEXT_SIZE];
    return platform_item_kind(item->key, name, sizeof name) != ITEM_BACKEND;
}
