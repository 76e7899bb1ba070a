/* Control messages from untrusted senders: decoded, then handled by a node, an executor and a
 * router. */
#include "fuzz/fuzz.h"

#include "core/executor.h"
#include "core/hash.h"
#include "core/node.h"
#include "core/routing/router.h"

#include <stdlib.h>
#include <string.h>

/* Field 10 (from), then an update, a document request, a forward and an answer. */
const char *const fuzz_corpus[] = {
    "\x50\x07\x0a\x0c\x0a\x01\x61\x10\x05\x18\x02\x20\x01\x38\x03\x60\x01",
    "\x50\x07\x12\x02\x10\x05",
    "\x50\x07\x22\x10\x08\x01\x10\x02\x18\x09\x22\x01\x73\x32\x01\x74\x5a\x02\x7b\x7d",
    "\x50\x07\x2a\x0e\x08\x01\x10\x01\x18\x03\x38\x02\x40\x01\x4a\x02\x68\x69",
    "\x50\x07\x1a\x0a\x10\x09\x1a\x02\x28\xb5\x28\x04\x32\x00",
    NULL};

static void send_control(void *context, const struct machine *to, Shuntrun__Envelope *message)
{
}

static void read_document(void *context, Shuntrun__DocumentKind kind, uint64_t known)
{
}

static void view_changed(void *context)
{
}

static void config_rejected(void *context, uint64_t revision, const struct findings *findings)
{
}

static void send_answer(void *context, uint64_t route, Shuntrun__Answer *answer)
{
}

static void start_run(void *context, uint64_t run, const Shuntrun__Forward *forward,
                      const struct ready_model *model, const struct fence *fence)
{
}

static void cancel_run(void *context, uint64_t run)
{
}

static enum router_send_result forward(void *context, const struct machine *agent,
                                       Shuntrun__Forward *message)
{
    return ROUTER_NOT_SENT;
}

static void cancel(void *context, const struct machine *agent, Shuntrun__Cancel *message)
{
}

static void begin(void *context, uint64_t caller, const struct ready_model *model)
{
}

static void take(void *context, uint64_t caller, uint64_t offset, uint32_t count,
                 const uint8_t *data, size_t size)
{
}

static void end(void *context, uint64_t caller, uint64_t tokens,
                const struct router_result *verdict)
{
}

static void deliver(const Shuntrun__Envelope *message)
{
    static const char list[] = "{\"machines\":[{\"name\":\"a\",\"role\":\"agent\",\"zone\":\"z\","
                               "\"region\":\"r\",\"address\":\"10.0.0.1\"}]}";
    struct node_settings settings = {4, 2, 1000, 1000};
    struct node_driver node_driver = {NULL,         send_control,    read_document,
                                      view_changed, config_rejected, NULL};
    struct executor_settings limits = {4, 1000000, 10, 1000000};
    struct executor_driver executor_driver = {NULL, send_answer, start_run, cancel_run};
    struct router_settings router_settings = {10, 10, 1000000, NULL};
    struct router_driver router_driver = {NULL, forward, cancel, begin, take, end};
    struct node *node = node_create(&settings, "b", "z", MACHINE_AGENT, 1, 1, &node_driver);
    struct executor *executor = executor_create(&limits, 1, 9, 1, &executor_driver);
    struct router *router = router_create(&router_settings, 1, 1, &router_driver);
    node_on_read(node, 2, SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET, NODE_READ_NEWER, 1, list,
                 sizeof list - 1);
    node_on_message(node, 3, message);
    if (message->body_case == SHUNTRUN__ENVELOPE__BODY_FORWARD)
        executor_on_forward(executor, 3, 0, message->forward);
    if (message->body_case == SHUNTRUN__ENVELOPE__BODY_CANCEL)
        executor_on_cancel(executor, 3, message->cancel);
    if (message->body_case == SHUNTRUN__ENVELOPE__BODY_ANSWER)
        router_on_answer(router, 3, 7, message->answer);
    node_destroy(node);
    executor_destroy(executor);
    router_destroy(router);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Shuntrun__Envelope *message = shuntrun__envelope__unpack(NULL, size, data);
    if (!message)
        return 0;
    message->from = hash_name("a");
    deliver(message);
    shuntrun__envelope__free_unpacked(message, NULL);
    return 0;
}
