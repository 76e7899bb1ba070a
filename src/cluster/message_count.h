/**
 * Counts the datagrams between nodes by what they carry, and whether they leave the region: in a
 * large fleet bytes between regions are the first thing to look at.
 */
#ifndef SHUNTRUN_MESSAGE_COUNT_H
#define SHUNTRUN_MESSAGE_COUNT_H

#include "generated/messages.pb-c.h"

#include <stdbool.h>
#include <stddef.h>

/** \brief Count a message that is sent. \param size bytes \param far to another region */
void message_count_sent(const Shuntrun__MemberMessage *message, size_t size, bool far);

#endif
