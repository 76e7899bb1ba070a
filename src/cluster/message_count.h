/**
 * Counts the datagrams between nodes by the kind of their content and by whether they leave the
 * region: in a large fleet the bytes sent between regions are the first figure to check.
 */
#ifndef SHUNTRUN_MESSAGE_COUNT_H
#define SHUNTRUN_MESSAGE_COUNT_H

#include "generated/messages.pb-c.h"

#include <stdbool.h>
#include <stddef.h>

/** \brief Count a sent message. \param size bytes \param far whether to another region */
void message_count_sent(const Shuntrun__MemberMessage *message, size_t size, bool far);

#endif
