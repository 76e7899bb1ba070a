#include "net/authenticator.h"

#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "net/link_socket.h"

#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
#define MAX_FRAMES 8
#define FRAME_SIZE 256
#define CURVE_KEY_BYTES 32

enum zap_frame {
    ZAP_FRAME_VERSION,
    ZAP_FRAME_ID,
    ZAP_FRAME_DOMAIN,
    ZAP_FRAME_ADDRESS,
    ZAP_FRAME_IDENTITY,
    ZAP_FRAME_MECHANISM,
    ZAP_FRAME_KEY
};

struct authenticator {
    void *socket;
    struct loop *loop;
    struct key_ring keys;
};

struct zap_request {
    char frames[MAX_FRAMES][FRAME_SIZE];
    size_t sizes[MAX_FRAMES];
    unsigned count;
};

static bool receive_request(void *socket, struct zap_request *request)
{
    int more = 1;
    size_t size = sizeof more;
    request->count = 0;
    while (more && request->count < MAX_FRAMES) {
        char *frame = request->frames[request->count];
        int length = zmq_recv(socket, frame, FRAME_SIZE - 1, ZMQ_DONTWAIT);
        if (length < 0)
            return false;
        request->sizes[request->count] = (size_t)length < FRAME_SIZE ? (size_t)length : FRAME_SIZE;
        frame[length < FRAME_SIZE ? length : FRAME_SIZE - 1] = 0;
        request->count++;
        zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
    }
    return request->count > ZAP_FRAME_MECHANISM;
}

static bool is_authorized(const struct authenticator *authenticator,
                          const struct zap_request *request)
{
    char key[KEY_TEXT_SIZE];
    bool curve = strcmp(request->frames[ZAP_FRAME_MECHANISM], "CURVE") == 0 &&
                 request->count > ZAP_FRAME_KEY && request->sizes[ZAP_FRAME_KEY] == CURVE_KEY_BYTES;
    if (!curve)
        return false;
    zmq_z85_encode(key, (const uint8_t *)request->frames[ZAP_FRAME_KEY], CURVE_KEY_BYTES);
    return key_ring_contains(&authenticator->keys, key);
}

static void send_frame(void *socket, const void *bytes, size_t size, bool more)
{
    zmq_send(socket, bytes, size, ZMQ_DONTWAIT | (more ? ZMQ_SNDMORE : 0));
}

static void send_zap_reply(void *socket, const struct zap_request *request, bool authorized)
{
    const char *code = authorized ? "200" : "400";
    const char *text = authorized ? "OK" : "unknown key";
    send_frame(socket, ZAP_VERSION, strlen(ZAP_VERSION), true);
    send_frame(socket, request->frames[ZAP_FRAME_ID], request->sizes[ZAP_FRAME_ID], true);
    send_frame(socket, code, strlen(code), true);
    send_frame(socket, text, strlen(text), true);
    send_frame(socket, "", 0, true);
    send_frame(socket, "", 0, false);
}

static void on_request(void *context)
{
    struct authenticator *authenticator = context;
    struct zap_request request;
    while (link_socket_readable(authenticator->socket) &&
           receive_request(authenticator->socket, &request)) {
        bool authorized = is_authorized(authenticator, &request);
        if (!authorized) {
            metric_add(METRIC_LINKS_REJECTED, 1);
            log_event(LOG_LEVEL_WARN, "links", "link_rejected", "address=%s",
                      request.frames[ZAP_FRAME_ADDRESS]);
        }
        send_zap_reply(authenticator->socket, &request, authorized);
    }
}

struct authenticator *authenticator_open(void *zmq, struct loop *loop, const struct key_ring *keys)
{
    struct authenticator *authenticator = memory_calloc(1, sizeof *authenticator);
    authenticator->loop = loop;
    authenticator->keys = *keys;
    authenticator->socket = zmq_socket(zmq, ZMQ_REP);
    if (zmq_bind(authenticator->socket, ZAP_ENDPOINT) != 0) {
        status_fail(STATUS_IO, "%s: %s", ZAP_ENDPOINT, zmq_strerror(zmq_errno()));
        zmq_close(authenticator->socket);
        free(authenticator);
        return NULL;
    }
    loop_watch_socket(loop, authenticator->socket, on_request, authenticator);
    return authenticator;
}

void authenticator_set_keys(struct authenticator *authenticator, const struct key_ring *keys)
{
    authenticator->keys = *keys;
}

void authenticator_close(struct authenticator *authenticator)
{
    if (!authenticator)
        return;
    loop_unwatch_socket(authenticator->loop, authenticator->socket);
    zmq_close(authenticator->socket);
    free(authenticator);
}
