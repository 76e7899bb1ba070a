/* Documents that a node requests from peers and sends to them. */
#include "core/node.h"

#include "core/node_internal.h"

#include <stdlib.h>

#define MILLISECOND 1000ULL
/* A document request that is unanswered for this long may be sent again, to any peer. */
#define PEER_REQUEST_TIMEOUT_US (500 * MILLISECOND)

static void request_document_if_newer(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
                                      uint64_t from, uint64_t revision)
{
    struct reader *reader = &node->readers[kind];
    bool config = kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    if (revision > reader->newest_known_revision)
        reader->newest_known_revision = revision;
    if (!document_is_new_revision(&reader->document, revision))
        return;
    if (config && revision <= node->pending_config.revision)
        return;
    if (reader->peer_request_sent_at &&
        now - reader->peer_request_sent_at < PEER_REQUEST_TIMEOUT_US)
        return;
    reader->peer_request_sent_at = now;
    Shuntrun__DocumentRequest request = SHUNTRUN__DOCUMENT_REQUEST__INIT;
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    request.kind = kind;
    request.known_revision = document_revision(&reader->document);
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REQUEST;
    envelope.document_request = &request;
    node_send_to(node, from, &envelope);
}

static void update_confirmation(struct reader *reader, uint64_t now, uint32_t age_ms)
{
    uint64_t age = age_ms * MILLISECOND;
    if (age_ms == UINT32_MAX || age > now)
        return;
    if (now - age > reader->confirmed_at)
        reader->confirmed_at = now - age;
}

void node_sync_on_revisions(struct node *node, uint64_t now, uint64_t from,
                            const Shuntrun__NodeUpdate *update)
{
    const Shuntrun__DocumentKind config = SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    const Shuntrun__DocumentKind fleet = SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET;
    update_confirmation(&node->readers[config], now, update->config_age_ms);
    update_confirmation(&node->readers[fleet], now, update->fleet_age_ms);
    request_document_if_newer(node, now, config, from, update->config_revision);
    request_document_if_newer(node, now, fleet, from, update->fleet_revision);
}

/* A node that has not joined passes on its pending configuration, so that a new revision reaches
 * all new nodes in time. */
uint64_t node_sync_stored_config_revision(const struct node *node)
{
    const struct reader *reader = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG];
    uint64_t revision = document_revision(&reader->document);
    return node->pending_config.revision > revision ? node->pending_config.revision : revision;
}

static enum status encode_stored_document(const struct node *node,
                                          const Shuntrun__DocumentRequest *request,
                                          Shuntrun__DocumentReply *reply)
{
    const struct document *document = &node->readers[request->kind].document;
    bool pending_config = request->kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG &&
                          node->pending_config.revision > document_revision(document);
    if (!pending_config)
        return document_encode(document, request->known_revision, reply);
    struct document alone = {.versions = {node->pending_config}};
    return document_encode(&alone, request->known_revision, reply);
}

void node_sync_on_request(struct node *node, uint64_t from,
                          const Shuntrun__DocumentRequest *request)
{
    if (request->kind >= DOCUMENT_KINDS)
        return;
    Shuntrun__DocumentReply reply = SHUNTRUN__DOCUMENT_REPLY__INIT;
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    reply.kind = request->kind;
    if (encode_stored_document(node, request, &reply) != STATUS_OK)
        return;
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REPLY;
    envelope.document_reply = &reply;
    node_send_to(node, from, &envelope);
    free(reply.body.data);
    free(reply.digest.data);
}

void node_sync_on_reply(struct node *node, uint64_t now, const Shuntrun__DocumentReply *reply)
{
    if (reply->kind >= DOCUMENT_KINDS)
        return;
    struct reader *reader = &node->readers[reply->kind];
    char *body;
    size_t size;
    reader->peer_request_sent_at = 0;
    if (!document_is_new_revision(&reader->document, reply->revision))
        return;
    if (document_decode(&reader->document, reply, &body, &size) != STATUS_OK)
        return;
    node_accept_document(node, now, reply->kind, reply->revision, body, size);
    free(body);
    node_join_if_ready(node, now);
}
