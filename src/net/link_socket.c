#include "net/link_socket.h"

#include "base/metrics.h"

#include <zmq.h>

#define QUEUE_LENGTH 1000
#define MAX_MESSAGE (4 * 1024 * 1024)
#define HEARTBEAT_MS 1000
#define HEARTBEAT_TIMEOUT_MS 3000
#define KEY_DOMAIN "shuntrun"

void link_socket_set_int(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof value);
}

void link_socket_prepare(void *socket)
{
    int64_t most = MAX_MESSAGE;
    link_socket_set_int(socket, ZMQ_LINGER, 0);
    link_socket_set_int(socket, ZMQ_SNDHWM, QUEUE_LENGTH);
    link_socket_set_int(socket, ZMQ_RCVHWM, QUEUE_LENGTH);
    link_socket_set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
    link_socket_set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &most, sizeof most);
}

void link_socket_serve_keys(void *socket, const struct key_ring *keys, unsigned slot)
{
    if (!keys->enabled)
        return;
    link_socket_set_int(socket, ZMQ_CURVE_SERVER, 1);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, keys->slots[slot].secret_key, KEY_TEXT_SIZE);
    zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, KEY_DOMAIN, sizeof KEY_DOMAIN - 1);
}

void link_socket_client_keys(void *socket, const struct key_ring *keys)
{
    const struct key_slot *slot = &keys->slots[keys->use];
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

Shuntrun__Envelope *link_socket_take(void *socket)
{
    zmq_msg_t packed;
    zmq_msg_init(&packed);
    if (zmq_msg_recv(&packed, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&packed);
        return NULL;
    }
    Shuntrun__Envelope *message =
        shuntrun__envelope__unpack(NULL, zmq_msg_size(&packed), zmq_msg_data(&packed));
    zmq_msg_close(&packed);
    return message;
}

enum status link_socket_send(void *socket, const Shuntrun__Envelope *message)
{
    size_t size = shuntrun__envelope__get_packed_size(message);
    zmq_msg_t packed;
    zmq_msg_init_size(&packed, size);
    shuntrun__envelope__pack(message, zmq_msg_data(&packed));
    if (zmq_msg_send(&packed, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&packed);
        return status_fail(STATUS_IO, "%s", zmq_strerror(zmq_errno()));
    }
    metric_add(METRIC_UPDATE_BYTES, size);
    return STATUS_OK;
}
