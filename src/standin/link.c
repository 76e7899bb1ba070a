/**
 * Stand-in for a network link: a TCP relay. SIGUSR1 toggles a stall, in which connections stay open
 * and transfer nothing. SIGUSR2 toggles a cut, which closes all connections and each new one.
 */
#include "standin/standin.h"

#include "base/memory.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define BUFFER_SIZE 65536
#define POLL_MS 20

static uint32_t stalled;
static uint32_t cut;

struct relay {
    struct sockaddr_in target;
    int client;
};

static void toggle(int number)
{
    uint32_t *flag = number == SIGUSR1 ? &stalled : &cut;
    ck_pr_store_32(flag, !ck_pr_load_32(flag));
}

static bool write_all(int descriptor, const char *data, ssize_t size)
{
    while (size > 0) {
        ssize_t written = write(descriptor, data, (size_t)size);
        if (written <= 0)
            return false;
        data += written;
        size -= written;
    }
    return true;
}

/* \return false when either connection has ended */
static bool forward_bytes(int from, int to, char *buffer)
{
    ssize_t size = read(from, buffer, BUFFER_SIZE);
    return size > 0 && write_all(to, buffer, size);
}

static void relay_connection(int client, int server)
{
    char *buffer = memory_calloc(BUFFER_SIZE, 1);
    struct pollfd descriptors[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
    bool open = true;
    while (open && !ck_pr_load_32(&cut)) {
        if (ck_pr_load_32(&stalled)) {
            standin_sleep_us(POLL_MS * 1000);
            continue;
        }
        if (poll(descriptors, 2, POLL_MS) <= 0)
            continue;
        if (descriptors[0].revents)
            open = forward_bytes(client, server, buffer);
        if (open && descriptors[1].revents)
            open = forward_bytes(server, client, buffer);
    }
    free(buffer);
}

static void *run_relay(void *context)
{
    struct relay *relay = context;
    int server = socket(AF_INET, SOCK_STREAM, 0);
    bool connected = connect(server, (struct sockaddr *)&relay->target, sizeof relay->target) == 0;
    if (connected)
        relay_connection(relay->client, server);
    close(server);
    close(relay->client);
    free(relay);
    return NULL;
}

static void accept_connection(int listener, const struct sockaddr_in *target)
{
    pthread_t thread;
    struct relay *relay = memory_calloc(1, sizeof *relay);
    relay->target = *target;
    relay->client = accept(listener, NULL, NULL);
    if (relay->client < 0 || ck_pr_load_32(&cut) ||
        pthread_create(&thread, NULL, run_relay, relay) != 0) {
        if (relay->client >= 0)
            close(relay->client);
        free(relay);
        return;
    }
    pthread_detach(thread);
}

int link_main(int argc, char **argv)
{
    struct standin_options options;
    uint64_t target_port = 0;
    const struct standin_option extra[] = {
        {"target-port", &target_port, "port, at the same address, that connections are relayed to"},
        {NULL, NULL, NULL}};
    standin_parse_options(argc, argv, "Stand-in for a network link.", &options, extra);
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)options.port)};
    inet_pton(AF_INET, options.address, &address.sin_addr);
    struct sockaddr_in target = address;
    target.sin_port = htons((uint16_t)target_port);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    struct sigaction action = {.sa_handler = toggle, .sa_flags = SA_RESTART};
    sigaction(SIGUSR1, &action, NULL);
    sigaction(SIGUSR2, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (bind(listener, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(listener, 64) != 0) {
        perror(options.address);
        return 1;
    }
    for (;;)
        accept_connection(listener, &target);
}
