/** Translates what is known of a backend's stated rate to messages between nodes and back. */
#ifndef SHUNTRUN_RATE_MESSAGE_H
#define SHUNTRUN_RATE_MESSAGE_H

#include "core/rate/stated_rate.h"
#include "generated/messages.pb-c.h"

/** \brief Initialize a message, without the backend's address. \param born start of the backend */
void rate_message_write(const struct stated_rate *rate, uint64_t born, uint64_t now,
                        Shuntrun__RateStatement *message);
/** \return what the sender knows, by the clock of this node */
struct stated_rate rate_message_read(const Shuntrun__RateStatement *message, uint64_t now);

#endif
