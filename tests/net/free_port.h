/**
 * Finds a free loopback port for tests that open a server.
 */
#ifndef SHUNTRUN_TEST_FREE_PORT_H
#define SHUNTRUN_TEST_FREE_PORT_H

#include "testing.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** \brief Set `address` to a loopback port that was free when checked. */
static inline void find_free_port(struct sockaddr_in *address)
{
    socklen_t size = sizeof *address;
    int probe = socket(AF_INET, SOCK_STREAM, 0);
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(bind(probe, (struct sockaddr *)address, size), 0);
    getsockname(probe, (struct sockaddr *)address, &size);
    close(probe);
}

#endif
