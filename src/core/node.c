#include "core/node.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/node_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define MILLISECOND 1000ULL
#define SECOND 1000000ULL
/* Longest time for which a new node waits for its neighbours before it accepts a configuration. */
#define JOIN_TIMEOUT_US (4 * SECOND)
/* The first read of the machine list is delayed by a random time below this, as a whole fleet may
 * restart at once. */
#define START_JITTER_US (2 * SECOND)
/* A new node that is not a reader waits this long for a configuration from its peers, then reads
 * the platform itself. */
#define CONFIG_PEER_WAIT_US (3 * SECOND)
/* A document request that is unanswered for this long may be sent again, to any peer. */
#define PEER_REQUEST_TIMEOUT_US (500 * MILLISECOND)
/* Backup readers read a document that nobody has confirmed for this long ... */
#define BACKUP_READ_AGE_US (5 * SECOND)
/* ... plus this time for each rank, so that they do not all read at once. */
#define BACKUP_READ_STAGGER_US (1 * SECOND)
/* Readers and backup readers together, as a multiple of `config_readers`. */
#define BACKUP_READER_FACTOR 3
#define READ_BACKOFF_MIN_US (500 * MILLISECOND)
#define READ_BACKOFF_MAX_US (8 * SECOND)

struct node *node_create(const struct node_settings *settings, const char *name, const char *zone,
                         enum machine_role role, uint64_t seed, uint64_t now,
                         const struct node_driver *driver)
{
    struct node *node = memory_calloc(1, sizeof *node);
    node->settings = *settings;
    node->driver = *driver;
    node->random.seed = seed;
    node->role = role;
    node->first_read_at = now + random_below(&node->random, START_JITTER_US);
    snprintf(node->name, sizeof node->name, "%s", name);
    snprintf(node->zone, sizeof node->zone, "%s", zone);
    node->id = hash_name(node->name);
    return node;
}

static void clear_config(struct node *node)
{
    if (!node->config)
        return;
    fleet_config_clear(node->config);
    free(node->config);
    node->config = NULL;
    policy_destroy(node->policy);
    node->policy = NULL;
}

void node_destroy(struct node *node)
{
    if (!node)
        return;
    clear_config(node);
    placement_clear(&node->placement);
    fleet_clear(&node->fleet);
    for (int kind = 0; kind < DOCUMENT_KINDS; kind++)
        document_clear(&node->readers[kind].document);
    free(node->pending_config.body);
    free(node->peers);
    free(node->extra_links);
    free(node);
}

uint64_t node_id(const struct node *node)
{
    return node->id;
}

const struct fleet_config *node_config(const struct node *node)
{
    return node->config;
}

const struct fleet *node_fleet(const struct node *node)
{
    return &node->fleet;
}

const struct placement *node_placement(const struct node *node)
{
    return node->has_placement ? &node->placement : NULL;
}

void node_send_to(struct node *node, uint64_t id, Shuntrun__Envelope *message)
{
    int64_t index = fleet_find(&node->fleet, id);
    if (index < 0)
        return;
    message->from = node->id;
    message->from_incarnation = node->status.incarnation;
    node->driver.send(node->driver.context, &node->fleet.machines[index], message);
}

/* ---- accepting documents ---- */

static void recompute_placement(struct node *node)
{
    if (!node->config || !node->fleet.count)
        return;
    struct findings findings = {0};
    placement_clear(&node->placement);
    node->placement = placement_compute(node->config, &node->fleet, node->policy, &findings);
    node->has_placement = true;
    placement_assign_homes(&node->placement, &node->fleet, node->config);
    placement_order_tenants(node->policy, node->config, &findings);
    if (findings.count)
        node->driver.config_rejected(node->driver.context, node->config->revision, &findings);
    findings_clear(&findings);
}

/* Parse a configuration, compile its policy and compute a trial placement. \return false when there
 * are errors, which are in `findings` */
static bool validate_config(struct node *node, uint64_t revision, const char *body, size_t size,
                            struct fleet_config *config, struct policy **policy,
                            struct findings *findings)
{
    if (fleet_config_parse("configuration", body, size, revision, config, findings) != STATUS_OK)
        return false;
    *policy = policy_create("policy", config->policy, findings);
    if (!*policy)
        return false;
    struct placement trial = placement_compute(config, &node->fleet, *policy, findings);
    placement_clear(&trial);
    return findings->error_count == 0;
}

static void reject_config(struct node *node, uint64_t revision, struct fleet_config *config,
                          struct policy *policy, const struct findings *findings)
{
    document_reject(&node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG].document, revision);
    fleet_config_clear(config);
    policy_destroy(policy);
    node->driver.config_rejected(node->driver.context, revision, findings);
}

static void accept_config(struct node *node, uint64_t now, uint64_t revision, const char *body,
                          size_t size)
{
    struct reader *reader = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG];
    struct fleet_config config = {0};
    struct policy *policy = NULL;
    struct findings findings = {0};
    if (!validate_config(node, revision, body, size, &config, &policy, &findings)) {
        reject_config(node, revision, &config, policy, &findings);
        findings_clear(&findings);
        return;
    }
    findings_clear(&findings);
    enum status status = document_accept(&reader->document, revision, body, size);
    assert(status == STATUS_OK);
    clear_config(node);
    node->config = memory_duplicate(&config, sizeof config);
    node->policy = policy;
    recompute_placement(node);
    node_peers_push(node, now);
    node->driver.view_changed(node->driver.context);
}

/* Rank of this node in its zone, by rendezvous hashing, as a reader of one document. */
static uint32_t reader_rank(const struct node *node, Shuntrun__DocumentKind kind)
{
    uint64_t own = hash_pair((uint64_t)kind, node->id);
    uint32_t rank = 0;
    for (uint32_t i = 0; i < node->fleet.count; i++) {
        const struct machine *machine = &node->fleet.machines[i];
        if (strcmp(machine->zone, node->zone) == 0 && hash_pair((uint64_t)kind, machine->id) > own)
            rank++;
    }
    return rank;
}

static void accept_fleet(struct node *node, uint64_t now, uint64_t revision, const char *body,
                         size_t size)
{
    struct reader *reader = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET];
    struct findings findings = {0};
    struct fleet fleet;
    if (fleet_parse(body, size, &fleet, &findings) != STATUS_OK) {
        document_reject(&reader->document, revision);
        node->driver.config_rejected(node->driver.context, revision, &findings);
        findings_clear(&findings);
        return;
    }
    enum status status = document_accept(&reader->document, revision, body, size);
    assert(status == STATUS_OK);
    if (!node->fleet.count)
        node->fleet_received_at = now;
    fleet_clear(&node->fleet);
    node->fleet = fleet;
    for (int kind = 0; kind < DOCUMENT_KINDS; kind++)
        node->readers[kind].rank = reader_rank(node, (Shuntrun__DocumentKind)kind);
    recompute_placement(node);
    node_peers_rebuild_links(node);
    node_peers_push(node, now);
    node->driver.view_changed(node->driver.context);
}

static void store_pending_config(struct node *node, uint64_t revision, const char *body,
                                 size_t size)
{
    if (revision <= node->pending_config.revision)
        return;
    free(node->pending_config.body);
    node->pending_config = (struct document_version){revision, memory_duplicate(body, size), size};
}

static void handle_document(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
                            uint64_t revision, const char *body, size_t size)
{
    if (!document_is_new_revision(&node->readers[kind].document, revision))
        return;
    if (kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET)
        accept_fleet(node, now, revision, body, size);
    else if (node->joined)
        accept_config(node, now, revision, body, size);
    else
        store_pending_config(node, revision, body, size);
}

/* A new node accepts a configuration only when its neighbours have reported their revisions, or
 * after JOIN_TIMEOUT_US, as the platform may serve an older one. */
static void join_if_ready(struct node *node, uint64_t now)
{
    const struct reader *reader = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG];
    bool timed_out = now - node->fleet_received_at >= JOIN_TIMEOUT_US;
    bool newest = node->pending_config.revision >= reader->newest_known_revision;
    if (node->joined || !node->fleet.count || !node->pending_config.revision)
        return;
    if (!timed_out && !(node_peers_have_reported(node) && newest))
        return;
    node->joined = true;
    struct document_version pending_config = node->pending_config;
    node->pending_config = (struct document_version){0};
    handle_document(node, now, SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG, pending_config.revision,
                    pending_config.body, pending_config.size);
    free(pending_config.body);
}

/* ---- reading the platform ---- */

/* Newest revision that need not be read again: accepted, rejected, or pending until the join. */
static uint64_t newest_seen_revision(const struct node *node, Shuntrun__DocumentKind kind)
{
    const struct document *document = &node->readers[kind].document;
    uint64_t seen = document_revision(document);
    if (document->rejected_revision > seen)
        seen = document->rejected_revision;
    bool config = kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    if (config && node->pending_config.revision > seen)
        seen = node->pending_config.revision;
    return seen;
}

static bool is_read_due(const struct node *node, Shuntrun__DocumentKind kind, uint64_t now)
{
    const struct reader *reader = &node->readers[kind];
    if (reader->read_in_flight || now < reader->next_read_at)
        return false;
    if (!node->fleet.count)
        return kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET && now >= node->first_read_at;
    bool config = kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    if (config && !node->config && !node->pending_config.revision)
        return reader->rank < node->settings.config_readers ||
               now - node->fleet_received_at >= CONFIG_PEER_WAIT_US;
    uint32_t rank = reader->rank;
    uint32_t readers = node->settings.config_readers;
    if (rank < readers)
        return true;
    uint64_t age = now - reader->confirmed_at;
    return rank < BACKUP_READER_FACTOR * readers &&
           age > BACKUP_READ_AGE_US + rank * BACKUP_READ_STAGGER_US;
}

static void start_due_reads(struct node *node, uint64_t now)
{
    for (int kind = 0; kind < DOCUMENT_KINDS; kind++) {
        struct reader *reader = &node->readers[kind];
        if (!is_read_due(node, (Shuntrun__DocumentKind)kind, now))
            continue;
        reader->read_in_flight = true;
        node->driver.read_document(node->driver.context, (Shuntrun__DocumentKind)kind,
                                   newest_seen_revision(node, (Shuntrun__DocumentKind)kind));
    }
}

static uint64_t next_read_backoff(struct node *node, uint32_t failures)
{
    uint64_t limit = READ_BACKOFF_MIN_US << (failures < 5 ? failures : 5);
    if (limit > READ_BACKOFF_MAX_US)
        limit = READ_BACKOFF_MAX_US;
    return limit / 2 + random_below(&node->random, limit);
}

void node_on_read(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
                  enum node_read_result result, uint64_t revision, const char *body, size_t size)
{
    struct reader *reader = &node->readers[kind];
    reader->read_in_flight = false;
    if (result == NODE_READ_FAILED) {
        reader->next_read_at = now + next_read_backoff(node, reader->failures++);
        return;
    }
    reader->failures = 0;
    bool stale = result == NODE_READ_NEWER && revision <= newest_seen_revision(node, kind);
    if (stale) /* a lagging replica of the platform: confirms nothing, so read again later */
        reader->next_read_at = now + READ_BACKOFF_MIN_US;
    else
        reader->confirmed_at = now;
    if (result == NODE_READ_NEWER)
        handle_document(node, now, kind, revision, body, size);
    join_if_ready(node, now);
}

/* ---- documents from peers ---- */

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

void node_process_revisions(struct node *node, uint64_t now, uint64_t from,
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
uint64_t node_stored_config_revision(const struct node *node)
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

static void reply_to_document_request(struct node *node, uint64_t from,
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

static void handle_document_reply(struct node *node, uint64_t now,
                                  const Shuntrun__DocumentReply *reply)
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
    handle_document(node, now, reply->kind, reply->revision, body, size);
    free(body);
    join_if_ready(node, now);
}

void node_on_message(struct node *node, uint64_t now, const Shuntrun__Envelope *message)
{
    switch (message->body_case) {
    case SHUNTRUN__ENVELOPE__BODY_UPDATE:
        node_peers_on_update(node, now, message);
        join_if_ready(node, now);
        break;
    case SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REQUEST:
        reply_to_document_request(node, message->from, message->document_request);
        break;
    case SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REPLY:
        handle_document_reply(node, now, message->document_reply);
        break;
    default:
        break; /* requests and answers are not sent over control links */
    }
}

void node_on_tick(struct node *node, uint64_t now)
{
    start_due_reads(node, now);
    node_peers_poll(node, now);
    join_if_ready(node, now);
}
