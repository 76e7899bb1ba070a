/**
 * What the files of the cluster layer's head share: cluster.c (start and regular work),
 * cluster_send.c and cluster_receive.c (datagrams).
 */
#ifndef SHUNTRUN_CLUSTER_INTERNAL_H
#define SHUNTRUN_CLUSTER_INTERNAL_H

#include "cluster/cluster.h"

/* cluster.c */
/* Sets what this node reports of its copy of the state and of the store. */
void cluster_update_self(struct cluster *cluster);

/* cluster_receive.c */
/* Binds the socket and processes what it receives. \return 0, or an error of libuv */
int cluster_receive_start(struct cluster *cluster, const struct sockaddr_in *address);

#endif
