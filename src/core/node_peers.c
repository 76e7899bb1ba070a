#include "base/memory.h"
#include "core/swarm/bitmap.h"
#include "core/hash.h"
#include "core/node_internal.h"
#include "core/overlay.h"

#include <stdlib.h>
#include <string.h>

/* Joined links that must have reported before a new node joins, if there are as many. */
#define JOIN_MIN_PEERS 3
/* Changes are pushed to peers that have polled this node within this time. */
#define POLL_INTEREST_US 5000000ULL
/* Bound of the peer table; further peers are ignored. */
#define MAX_PEERS 1024

static struct peer *find_peer(const struct node *node, uint64_t id)
{
    for (uint32_t i = 0; i < node->peer_count; i++)
        if (node->peers[i].id == id)
            return &node->peers[i];
    return NULL;
}

static struct peer *add_peer(struct node *node, uint64_t id)
{
    struct peer *known = find_peer(node, id);
    if (known || node->peer_count == MAX_PEERS)
        return known;
    node->peers = memory_realloc(node->peers, (node->peer_count + 1) * sizeof *node->peers);
    struct peer *peer = &node->peers[node->peer_count++];
    *peer = (struct peer){.id = id};
    return peer;
}

const struct peer *node_peer(const struct node *node, uint64_t id)
{
    return find_peer(node, id);
}

const struct peer *node_peer_at(const struct node *node, uint32_t index)
{
    return &node->peers[index];
}

uint32_t node_peer_count(const struct node *node)
{
    return node->peer_count;
}

bool node_peer_alive(const struct node *node, const struct peer *peer, uint64_t now)
{
    return peer && peer->last_heard && now - peer->last_heard < node->settings.suspect_us;
}

uint32_t node_alive_link_count(const struct node *node, uint64_t now)
{
    uint32_t alive = 0;
    for (uint32_t i = 0; i < node->peer_count; i++)
        alive += node->peers[i].linked && node_peer_alive(node, &node->peers[i], now);
    return alive;
}

/* Peers that have not joined do not count: they know no more than this node. */
bool node_peers_have_reported(const struct node *node)
{
    uint32_t links = 0;
    uint32_t heard = 0;
    for (uint32_t i = 0; i < node->peer_count; i++) {
        links += node->peers[i].linked;
        heard += node->peers[i].linked && node->peers[i].last_heard && node->peers[i].joined;
    }
    return heard >= JOIN_MIN_PEERS || heard == links;
}

/* ---- links ---- */

/* A region is identified by the index of its first machine in the machine list. */
static uint16_t region_index(const struct fleet *fleet, const char *region)
{
    for (uint32_t i = 0; i < fleet->count; i++)
        if (strcmp(fleet->machines[i].region, region) == 0)
            return (uint16_t)i;
    return UINT16_MAX;
}

static bool is_neighbour(const void *context, uint64_t id)
{
    const struct peer *peer = find_peer(context, id);
    return peer && peer->neighbour;
}

static void select_neighbours(struct node *node)
{
    struct member *members = memory_calloc(node->fleet.count, sizeof *members);
    int64_t self = fleet_find(&node->fleet, node->id);
    uint16_t region = 0;
    for (uint32_t i = 0; i < node->fleet.count; i++) {
        members[i].id = node->fleet.machines[i].id;
        members[i].region = region_index(&node->fleet, node->fleet.machines[i].region);
    }
    if (self >= 0)
        region = members[self].region;
    for (uint32_t i = 0; i < node->settings.neighbours; i++) {
        struct overlay_query query = {members,    node->fleet.count, node->id, region,
                                      i % 2 == 0, is_neighbour,      node};
        uint64_t id = overlay_select_neighbour(&query);
        struct peer *peer = id ? add_peer(node, id) : NULL;
        if (!peer)
            break;
        peer->linked = true;
        peer->neighbour = true;
    }
    free(members);
}

static void remove_unlisted_peers(struct node *node)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < node->peer_count; i++)
        if (fleet_find(&node->fleet, node->peers[i].id) >= 0)
            node->peers[kept++] = node->peers[i];
    node->peer_count = kept;
}

void node_peers_rebuild_links(struct node *node)
{
    remove_unlisted_peers(node);
    for (uint32_t i = 0; i < node->peer_count; i++) {
        node->peers[i].linked = false;
        node->peers[i].neighbour = false;
    }
    select_neighbours(node);
    for (uint32_t i = 0; i < node->extra_link_count; i++) {
        uint64_t id = node->extra_links[i];
        struct peer *peer = fleet_find(&node->fleet, id) >= 0 ? add_peer(node, id) : NULL;
        if (peer)
            peer->linked = true;
    }
}

void node_set_extra_links(struct node *node, const uint64_t *ids, uint32_t count)
{
    free(node->extra_links);
    node->extra_links = memory_duplicate(ids, count * sizeof *ids);
    node->extra_link_count = count;
    node_peers_rebuild_links(node);
}

/* ---- sending ---- */

static uint32_t age_ms(const struct reader *reader, uint64_t now)
{
    return reader->confirmed_at ? (uint32_t)((now - reader->confirmed_at) / 1000) : UINT32_MAX;
}

static void fill_status(const struct node *node, uint64_t now, Shuntrun__NodeUpdate *update)
{
    const struct reader *config = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG];
    const struct reader *fleet = &node->readers[SHUNTRUN__DOCUMENT_KIND__DOCUMENT_FLEET];
    update->name = (char *)node->name;
    update->role = node->role == MACHINE_AGENT ? "agent" : "gateway";
    update->incarnation = node->status.incarnation;
    update->pause_epoch = node->status.pause_epoch;
    update->ticket_epoch = node->status.ticket_epoch;
    update->draining = node->status.draining;
    update->active_requests = node->status.active_requests;
    update->capacity = node->status.capacity;
    update->config_revision = node_sync_stored_config_revision(node);
    update->joined = node->joined;
    update->fleet_revision = document_revision(&fleet->document);
    update->config_age_ms = age_ms(config, now);
    update->fleet_age_ms = age_ms(fleet, now);
}

static void fill_swarm_update(const struct swarm_update *swarm, const char *rollout,
                              Shuntrun__NodeUpdate *update)
{
    update->rollout = (char *)rollout;
    update->sequence = swarm->sequence;
    update->upload_queue = swarm->upload_queue;
    update->want_full = swarm->want_full;
    update->n_have_new = swarm->new_count;
    update->have_new = (uint32_t *)swarm->have_new;
    if (swarm->have_all) {
        update->have_all.data = (uint8_t *)swarm->have_all;
        update->have_all.len = swarm->have_words * sizeof(uint64_t);
    }
}

static void send_update(struct node *node, uint64_t now, struct peer *peer, bool reply,
                        const struct swarm_update *swarm, const char *rollout)
{
    Shuntrun__ReadyModel models[NODE_MAX_READY_MODELS];
    Shuntrun__ReadyModel *pointers[NODE_MAX_READY_MODELS];
    Shuntrun__NodeUpdate update = SHUNTRUN__NODE_UPDATE__INIT;
    Shuntrun__Envelope envelope = SHUNTRUN__ENVELOPE__INIT;
    for (uint32_t i = 0; i < node->status.ready_count; i++) {
        models[i] = (Shuntrun__ReadyModel)SHUNTRUN__READY_MODEL__INIT;
        models[i].model = node->status.ready[i].model;
        models[i].version = node->status.ready[i].version;
        models[i].digest = node->status.ready[i].digest;
        pointers[i] = &models[i];
    }
    fill_status(node, now, &update);
    update.ready = pointers;
    update.n_ready = node->status.ready_count;
    update.reply = reply;
    if (swarm)
        fill_swarm_update(swarm, rollout, &update);
    envelope.body_case = SHUNTRUN__ENVELOPE__BODY_UPDATE;
    envelope.update = &update;
    peer->last_sent = now;
    node_send_to(node, peer->id, &envelope);
}

void node_send_update(struct node *node, uint64_t now, uint64_t id,
                      const struct swarm_update *swarm, const char *rollout)
{
    struct peer *peer = add_peer(node, id);
    if (peer)
        send_update(node, now, peer, swarm != NULL, swarm, rollout);
}

void node_peers_poll(struct node *node, uint64_t now)
{
    for (uint32_t i = 0; i < node->peer_count; i++) {
        struct peer *peer = &node->peers[i];
        bool due = !peer->last_sent || now - peer->last_sent >= node->settings.update_us;
        if (peer->linked && due)
            send_update(node, now, peer, false, NULL, NULL);
    }
}

/* Push an update to the links and to the peers that poll this node, without waiting for a poll. */
void node_peers_push(struct node *node, uint64_t now)
{
    for (uint32_t i = 0; i < node->peer_count; i++) {
        struct peer *peer = &node->peers[i];
        bool polls_this_node =
            peer->last_polled_by && now - peer->last_polled_by < POLL_INTEREST_US;
        if (peer->linked || polls_this_node)
            send_update(node, now, peer, !peer->linked, NULL, NULL);
    }
}

static bool same_ready_models(const struct node_status *left, const struct node_status *right)
{
    if (left->ready_count != right->ready_count)
        return false;
    for (uint32_t i = 0; i < left->ready_count; i++)
        if (strcmp(left->ready[i].digest, right->ready[i].digest) != 0)
            return false;
    return true;
}

void node_set_status(struct node *node, uint64_t now, const struct node_status *status)
{
    bool changed = status->draining != node->status.draining ||
                   status->pause_epoch != node->status.pause_epoch ||
                   !same_ready_models(status, &node->status);
    node->status = *status;
    if (changed)
        node_peers_push(node, now);
}

/* ---- receiving ---- */

static void copy_ready_models(struct node_status *status, const Shuntrun__NodeUpdate *update)
{
    status->ready_count = 0;
    for (size_t i = 0; i < update->n_ready && i < NODE_MAX_READY_MODELS; i++) {
        struct ready_model *ready = &status->ready[status->ready_count++];
        snprintf(ready->model, sizeof ready->model, "%s", update->ready[i]->model);
        snprintf(ready->version, sizeof ready->version, "%s", update->ready[i]->version);
        snprintf(ready->digest, sizeof ready->digest, "%s", update->ready[i]->digest);
    }
}

static void copy_peer_status(struct peer *peer, uint64_t now, const Shuntrun__NodeUpdate *update)
{
    peer->status.incarnation = update->incarnation;
    peer->status.pause_epoch = update->pause_epoch;
    peer->status.ticket_epoch = update->ticket_epoch;
    peer->status.draining = update->draining;
    peer->status.active_requests = update->active_requests;
    peer->status.capacity = update->capacity;
    peer->config_revision = update->config_revision;
    peer->joined = update->joined;
    peer->fleet_revision = update->fleet_revision;
    peer->last_heard = now;
    copy_ready_models(&peer->status, update);
}

void node_peers_on_update(struct node *node, uint64_t now, const Shuntrun__Envelope *message)
{
    const Shuntrun__NodeUpdate *update = message->update;
    if (message->from == node->id)
        return;
    bool listed = fleet_find(&node->fleet, message->from) >= 0;
    struct peer *peer = listed ? add_peer(node, message->from) : NULL;
    if (!peer || update->incarnation < peer->status.incarnation)
        return;
    copy_peer_status(peer, now, update);
    if (!update->reply) {
        peer->last_polled_by = now;
        send_update(node, now, peer, true, NULL, NULL);
    }
    node_sync_on_revisions(node, now, message->from, update);
    if (node->driver.update_received)
        node->driver.update_received(node->driver.context, peer, update);
}
