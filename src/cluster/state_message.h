/**
 * Items of the state as they travel between nodes.
 */
#ifndef SHUNTRUN_STATE_MESSAGE_H
#define SHUNTRUN_STATE_MESSAGE_H

#include "core/state_cache.h"
#include "generated/messages.pb-c.h"

/** \brief Write an item, with its age. `out` points into the item. */
void state_message_write_item(const struct state_item *item, uint64_t now,
                              Shuntrun__StateItem *out);
/** \return whether the operator wrote the item, not a back end */
bool state_message_is_operator_item(const struct state_item *item);

#endif
