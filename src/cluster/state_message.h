/**
 * Encoding of platform state items in messages between nodes.
 */
#ifndef SHUNTRUN_STATE_MESSAGE_H
#define SHUNTRUN_STATE_MESSAGE_H

#include "core/store/state_cache.h"
#include "generated/messages.pb-c.h"

/**
 * \brief Encode an item with its age at `now`, microseconds.
 * \param out points into the item afterwards
 */
void state_message_write_item(const struct state_item *item, uint64_t now,
                              Shuntrun__StateItem *out);
/** \return whether the item was written by the operator, not by a backend */
bool state_message_is_operator_item(const struct state_item *item);

#endif
