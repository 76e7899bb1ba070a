#include "core/node.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/node_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define SECOND 1000000ULL
/* Longest time for which a new node waits for its neighbours before it accepts a configuration. */
#define JOIN_TIMEOUT_US (4 * SECOND)
/* The first read of the machine list is delayed by a random time below this, as a whole fleet may
 * restart at once. */
#define START_JITTER_US (2 * SECOND)

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

void node_accept_document(struct node *node, uint64_t now, Shuntrun__DocumentKind kind,
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
void node_join_if_ready(struct node *node, uint64_t now)
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
    node_accept_document(node, now, SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG,
                         pending_config.revision, pending_config.body, pending_config.size);
    free(pending_config.body);
}

/* ---- events ---- */

void node_on_message(struct node *node, uint64_t now, const Shuntrun__Envelope *message)
{
    switch (message->body_case) {
    case SHUNTRUN__ENVELOPE__BODY_UPDATE:
        node_peers_on_update(node, now, message);
        node_join_if_ready(node, now);
        break;
    case SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REQUEST:
        node_sync_on_request(node, message->from, message->document_request);
        break;
    case SHUNTRUN__ENVELOPE__BODY_DOCUMENT_REPLY:
        node_sync_on_reply(node, now, message->document_reply);
        break;
    default:
        break; /* requests and answers are not sent over control links */
    }
}

void node_on_tick(struct node *node, uint64_t now)
{
    node_read_start_due(node, now);
    node_peers_poll(node, now);
    node_join_if_ready(node, now);
}
