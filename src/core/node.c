#include "core/node.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/node_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define MILLISECOND 1000ULL
#define SECOND 1000000ULL
#define JOIN_TIMEOUT (4 * SECOND)          /* longest wait for neighbours of a new node */
#define BOOT_SPREAD (2 * SECOND)           /* first reads of restarted nodes lie so far apart */
#define CONFIG_FROM_PEERS (3 * SECOND)     /* a new node that is no reader waits for peers */
#define ASK_PEER_AGAIN (500 * MILLISECOND) /* a peer's answer to a document request is late */
#define STAND_IN_AGE (5 * SECOND)          /* unconfirmed for so long: stand-ins read */
#define STAND_IN_STEP (1 * SECOND)         /* and each later rank so much later */
#define STAND_IN_FACTOR 3                  /* ranks that may ever read, in readers */
#define READ_BACKOFF_LEAST (500 * MILLISECOND)
#define READ_BACKOFF_MOST (8 * SECOND)

struct node *node_create(const struct node_settings *settings, const char *name, const char *zone,
                         enum machine_role role, uint64_t seed, uint64_t now,
                         const struct node_driver *driver)
{
    struct node *node = memory_calloc(1, sizeof *node);
    node->settings = *settings;
    node->driver = *driver;
    node->random.seed = seed;
    node->role = role;
    node->first_read = now + random_below(&node->random, BOOT_SPREAD);
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
    free(node->parked.body);
    free(node->peers);
    free(node->wanted_links);
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
    return node->placed ? &node->placement : NULL;
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

/* ---- acceptance ---- */

static void place_again(struct node *node)
{
    if (!node->config || !node->fleet.count)
        return;
    struct findings findings = {0};
    placement_clear(&node->placement);
    node->placement = placement_compute(node->config, &node->fleet, node->policy, &findings);
    node->placed = true;
    placement_assign_homes(&node->placement, &node->fleet, node->config);
    placement_order_tenants(node->policy, node->config, &findings);
    if (findings.count)
        node->driver.config_refused(node->driver.context, node->config->revision, &findings);
    findings_clear(&findings);
}

/* Parse, compile and try out a configuration. \return false with findings */
static bool config_is_good(struct node *node, uint64_t revision, const char *body, size_t size,
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

static void refuse_config(struct node *node, uint64_t revision, struct fleet_config *config,
                          struct policy *policy, const struct findings *findings)
{
    document_reject(&node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG].document, revision);
    fleet_config_clear(config);
    policy_destroy(policy);
    node->driver.config_refused(node->driver.context, revision, findings);
}

static void accept_config(struct node *node, uint64_t now, uint64_t revision, const char *body,
                          size_t size)
{
    struct reader *reader = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG];
    struct fleet_config config = {0};
    struct policy *policy = NULL;
    struct findings findings = {0};
    if (!config_is_good(node, revision, body, size, &config, &policy, &findings)) {
        refuse_config(node, revision, &config, policy, &findings);
        findings_clear(&findings);
        return;
    }
    findings_clear(&findings);
    enum status status = document_accept(&reader->document, revision, body, size);
    assert(status == STATUS_OK);
    clear_config(node);
    node->config = memory_duplicate(&config, sizeof config);
    node->policy = policy;
    place_again(node);
    node_peers_flush(node, now);
    node->driver.view_changed(node->driver.context);
}

/* Place of this node among its zone for reading one document. */
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
        node->driver.config_refused(node->driver.context, revision, &findings);
        findings_clear(&findings);
        return;
    }
    enum status status = document_accept(&reader->document, revision, body, size);
    assert(status == STATUS_OK);
    if (!node->fleet.count)
        node->fleet_known = now;
    fleet_clear(&node->fleet);
    node->fleet = fleet;
    for (int kind = 0; kind < DOCUMENT_KINDS; kind++)
        node->readers[kind].rank = reader_rank(node, (Shuntrun__DocumentKind)kind);
    place_again(node);
    node_peers_rebuild(node);
    node_peers_flush(node, now);
    node->driver.view_changed(node->driver.context);
}

static void park_config(struct node *node, uint64_t revision, const char *body, size_t size)
{
    if (revision <= node->parked.revision)
        return;
    free(node->parked.body);
    node->parked = (struct document_version){revision, memory_duplicate(body, size), size};
}

static void take_document(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
                          uint64_t revision, const char *body, size_t size)
{
    if (!document_is_news(&node->readers[kind].document, revision))
        return;
    if (kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET)
        accept_fleet(node, now, revision, body, size);
    else if (node->joined)
        accept_config(node, now, revision, body, size);
    else
        park_config(node, revision, body, size);
}

/* A new node waits until its neighbours told their revisions, as the platform may be stale. */
static void try_join(struct node *node, uint64_t now)
{
    const struct reader *reader = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG];
    bool late = now - node->fleet_known >= JOIN_TIMEOUT;
    bool newest = node->parked.revision >= reader->news_revision;
    if (node->joined || !node->fleet.count || !node->parked.revision)
        return;
    if (!late && !(node_peers_heard(node) && newest))
        return;
    node->joined = true;
    struct document_version parked = node->parked;
    node->parked = (struct document_version){0};
    take_document(node, now, SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG, parked.revision, parked.body,
                  parked.size);
    free(parked.body);
}

/* ---- reading the platform ---- */

/* Newest revision that need not be read again: held, refused, or waiting for the join. */
static uint64_t seen_revision(const struct node *node, Shuntrun__DocumentKind kind)
{
    const struct document *document = &node->readers[kind].document;
    uint64_t seen = document_revision(document);
    if (document->rejected_revision > seen)
        seen = document->rejected_revision;
    bool config = kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    if (config && node->parked.revision > seen)
        seen = node->parked.revision;
    return seen;
}

static bool should_read(const struct node *node, Shuntrun__DocumentKind kind, uint64_t now)
{
    const struct reader *reader = &node->readers[kind];
    if (reader->reading || now < reader->next_read)
        return false;
    if (!node->fleet.count)
        return kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET && now >= node->first_read;
    bool config = kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    if (config && !node->config && !node->parked.revision)
        return reader->rank < node->settings.config_readers ||
               now - node->fleet_known >= CONFIG_FROM_PEERS;
    uint32_t rank = reader->rank;
    uint32_t readers = node->settings.config_readers;
    if (rank < readers)
        return true;
    uint64_t age = now - reader->confirmed_at;
    return rank < STAND_IN_FACTOR * readers && age > STAND_IN_AGE + rank * STAND_IN_STEP;
}

static void read_documents(struct node *node, uint64_t now)
{
    for (int kind = 0; kind < DOCUMENT_KINDS; kind++) {
        struct reader *reader = &node->readers[kind];
        if (!should_read(node, (Shuntrun__DocumentKind)kind, now))
            continue;
        reader->reading = true;
        node->driver.read_document(node->driver.context, (Shuntrun__DocumentKind)kind,
                                   seen_revision(node, (Shuntrun__DocumentKind)kind));
    }
}

static uint64_t read_backoff(struct node *node, uint32_t failures)
{
    uint64_t limit = READ_BACKOFF_LEAST << (failures < 5 ? failures : 5);
    if (limit > READ_BACKOFF_MOST)
        limit = READ_BACKOFF_MOST;
    return limit / 2 + random_below(&node->random, limit);
}

void node_on_read(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
                  enum node_read_result result, uint64_t revision, const char *body, size_t size)
{
    struct reader *reader = &node->readers[kind];
    reader->reading = false;
    if (result == NODE_READ_FAILED) {
        reader->next_read = now + read_backoff(node, reader->failures++);
        return;
    }
    reader->failures = 0;
    bool stale = result == NODE_READ_NEWER && revision <= seen_revision(node, kind);
    if (stale) /* a replica of the service that lags; ask again later, it confirms nothing */
        reader->next_read = now + READ_BACKOFF_LEAST;
    else
        reader->confirmed_at = now;
    if (result == NODE_READ_NEWER)
        take_document(node, now, kind, revision, body, size);
    try_join(node, now);
}

/* ---- documents from peers ---- */

static void ask_peer(struct node *node, uint64_t now, Shuntrun__DocumentKind kind, uint64_t from,
                     uint64_t revision)
{
    struct reader *reader = &node->readers[kind];
    bool config = kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    if (revision > reader->news_revision)
        reader->news_revision = revision;
    if (!document_is_news(&reader->document, revision))
        return;
    if (config && revision <= node->parked.revision)
        return;
    if (reader->asked_peer_at && now - reader->asked_peer_at < ASK_PEER_AGAIN)
        return;
    reader->asked_peer_at = now;
    Shuntrun__DocumentRequest request = SHUNTRUN__DOCUMENT_REQUEST__INIT;
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    request.kind = kind;
    request.known_revision = document_revision(&reader->document);
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REQUEST;
    envelope.document_request = &request;
    node_send_to(node, from, &envelope);
}

static void learn_confirmation(struct reader *reader, uint64_t now, uint32_t age_ms)
{
    uint64_t age = age_ms * MILLISECOND;
    if (age_ms == UINT32_MAX || age > now)
        return;
    if (now - age > reader->confirmed_at)
        reader->confirmed_at = now - age;
}

void node_learn_revisions(struct node *node, uint64_t now, uint64_t from,
                          const Shuntrun__NodeUpdate *update)
{
    const Shuntrun__DocumentKind config = SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG;
    const Shuntrun__DocumentKind fleet = SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET;
    learn_confirmation(&node->readers[config], now, update->config_age_ms);
    learn_confirmation(&node->readers[fleet], now, update->fleet_age_ms);
    ask_peer(node, now, config, from, update->config_revision);
    ask_peer(node, now, fleet, from, update->fleet_revision);
}

/* A node that has not joined passes on what it holds, so that news reach all new nodes in time. */
uint64_t node_held_revision(const struct node *node)
{
    const struct reader *reader = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG];
    uint64_t revision = document_revision(&reader->document);
    return node->parked.revision > revision ? node->parked.revision : revision;
}

static enum status encode_held(const struct node *node, const Shuntrun__DocumentRequest *request,
                               Shuntrun__DocumentReply *reply)
{
    const struct document *document = &node->readers[request->kind].document;
    bool parked = request->kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG &&
                  node->parked.revision > document_revision(document);
    if (!parked)
        return document_encode(document, request->known_revision, reply);
    struct document alone = {.versions = {node->parked}};
    return document_encode(&alone, request->known_revision, reply);
}

static void answer_document_request(struct node *node, uint64_t from,
                                    const Shuntrun__DocumentRequest *request)
{
    if (request->kind >= DOCUMENT_KINDS)
        return;
    Shuntrun__DocumentReply reply = SHUNTRUN__DOCUMENT_REPLY__INIT;
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    reply.kind = request->kind;
    if (encode_held(node, request, &reply) != STATUS_OK)
        return;
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REPLY;
    envelope.document_reply = &reply;
    node_send_to(node, from, &envelope);
    free(reply.body.data);
    free(reply.digest.data);
}

static void take_document_reply(struct node *node, uint64_t now,
                                const Shuntrun__DocumentReply *reply)
{
    if (reply->kind >= DOCUMENT_KINDS)
        return;
    struct reader *reader = &node->readers[reply->kind];
    char *body;
    size_t size;
    reader->asked_peer_at = 0;
    if (!document_is_news(&reader->document, reply->revision))
        return;
    if (document_decode(&reader->document, reply, &body, &size) != STATUS_OK)
        return;
    take_document(node, now, reply->kind, reply->revision, body, size);
    free(body);
    try_join(node, now);
}

void node_on_message(struct node *node, uint64_t now, const Shuntrun__Envelope *message)
{
    switch (message->body_case) {
    case SHUNTRUN__ENVELOPE__BODY_UPDATE:
        node_peers_update(node, now, message);
        try_join(node, now);
        break;
    case SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REQUEST:
        answer_document_request(node, message->from, message->document_request);
        break;
    case SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REPLY:
        take_document_reply(node, now, message->document_reply);
        break;
    default:
        break; /* requests and answers do not come over control links */
    }
}

void node_on_tick(struct node *node, uint64_t now)
{
    read_documents(node, now);
    node_peers_poll(node, now);
    try_join(node, now);
}
