/**
 * Reads the state that the platform publishes from its store: a full snapshot once, then a watch
 * that waits for changes.
 */
#ifndef SHUNTRUN_STORE_READER_H
#define SHUNTRUN_STORE_READER_H

#include "cluster/cluster.h"

/** \return an inactive reader, or NULL after logging that the address is invalid */
struct store_reader *store_reader_create(struct cluster *cluster);
/** \brief Start or stop reading, or change the batch delay. Changes that are known are not read
 * again. */
void store_reader_set_duty(struct store_reader *reader, enum reader_duty duty);
/** \brief After a pause of the process, repeat the pending call on a new connection. */
void store_reader_reconnect(struct store_reader *reader);
/** \return whether it reads, the store has answered, and no call failed since the last answer */
bool store_reader_is_healthy(const struct store_reader *reader);

#endif
