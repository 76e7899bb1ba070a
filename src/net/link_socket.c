#include "net/link_socket.h"

#include "base/metrics.h"

#include <zmq.h>

#define HIGH_WATER_MARK_MESSAGES 1000
#define MAX_MESSAGE_BYTES (4 * 1024 * 1024)
#define HEARTBEAT_MS 1000
#define HEARTBEAT_TIMEOUT_MS 3000
#define ZAP_DOMAIN "shuntrun"

void link_socket_set_int(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof value);
}

void link_socket_set_common_options(void *socket)
{
    int64_t max_size = MAX_MESSAGE_BYTES;
    link_socket_set_int(socket, ZMQ_LINGER, 0);
    link_socket_set_int(socket, ZMQ_SNDHWM, HIGH_WATER_MARK_MESSAGES);
    link_socket_set_int(socket, ZMQ_RCVHWM, HIGH_WATER_MARK_MESSAGES);
    link_socket_set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
    link_socket_set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_size, sizeof max_size);
}

void link_socket_set_server_keys(void *socket, const struct key_ring *keys, unsigned slot)
{
    if (!keys->enabled)
        return;
    link_socket_set_int(socket, ZMQ_CURVE_SERVER, 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->slots[slot].secret_key, KEY_TEXT_SIZE);
    zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, sizeof ZAP_DOMAIN - 1);
}

void link_socket_set_client_keys(void *socket, const struct key_ring *keys)
{
    const struct key_slot *slot = &keys->slots[keys->active_slot];
    if (!keys->enabled)
        return;
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, slot->public_key, KEY_TEXT_SIZE);
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, slot->public_key, KEY_TEXT_SIZE);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, slot->secret_key, KEY_TEXT_SIZE);
}

bool link_socket_readable(void *socket)
{
    int events = 0;
    size_t size = sizeof events;
    zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
    return events & ZMQ_POLLIN;
}

Shuntrun__Envelope *link_socket_receive(void *socket)
{
    zmq_msg_t zmq_message;
    zmq_msg_init(&zmq_message);
    if (zmq_msg_recv(&zmq_message, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&zmq_message);
        return NULL;
    }
    Shuntrun__Envelope *message =
        shuntrun__envelope__unpack(NULL, zmq_msg_size(&zmq_message), zmq_msg_data(&zmq_message));
    zmq_msg_close(&zmq_message);
    return message;
}

enum status link_socket_send(void *socket, const Shuntrun__Envelope *message)
{
    size_t size = shuntrun__envelope__get_packed_size(message);
    zmq_msg_t zmq_message;
    zmq_msg_init_size(&zmq_message, size);
    shuntrun__envelope__pack(message, zmq_msg_data(&zmq_message));
    if (zmq_msg_send(&zmq_message, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&zmq_message);
        return status_fail(STATUS_IO, "%s", zmq_strerror(zmq_errno()));
    }
    metric_add(METRIC_UPDATE_BYTES, size);
    return STATUS_OK;
}
