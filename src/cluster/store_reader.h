/**
 * Reads what the platform publishes: once whole, then by a watch that waits for changes.
 */
#ifndef SHUNTRUN_STORE_READER_H
#define SHUNTRUN_STORE_READER_H

#include "cluster/cluster.h"

struct store_reader *store_reader_create(struct cluster *cluster);
/** \brief Begin to read, or stop, or change the pace; what is known already is not read again. */
void store_reader_set_duty(struct store_reader *reader, enum reader_duty duty);
/** \brief Ask anew on fresh connections, after the process stood still. */
void store_reader_reconnect(struct store_reader *reader);
/** \return whether the last call to the store had its answer, or waits for it without a failure */
bool store_reader_is_healthy(const struct store_reader *reader);

#endif
