/**
 * Pushes changes of the platform state to other nodes at once. Small changes are contained in the
 * message; for larger ones it announces the revision, and receivers fetch them (state_sync).
 *
 * A gateway that reads the store updates the gateways of its region that do not. Changes by the
 * operator are forwarded by every gateway to the nodes that core/membership/update_targets selects.
 */
#ifndef SHUNTRUN_UPDATE_PUSH_H
#define SHUNTRUN_UPDATE_PUSH_H

#include "cluster/cluster.h"

/** \brief Push what this node has learned since the last call. */
void update_push(struct cluster *cluster);

#endif
