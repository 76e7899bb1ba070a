#include "cluster/update_push.h"

#include "cluster/state_message.h"
#include "core/membership/update_targets.h"

#include <stdlib.h>
#include <string.h>

/** Larger changes are not put into a message; sizes are packed bytes and items. */
#define MAX_PUSH_BYTES 4000
#define MAX_PUSH_ITEMS 24

/** Changes as part of a message; they point into the state cache. */
struct pushed_changes {
    Shuntrun__StateChanges changes;
    Shuntrun__StateItem items[MAX_PUSH_ITEMS];
    Shuntrun__StateItem *pointers[MAX_PUSH_ITEMS];
    bool fits; /* a delta is available, and within the limits */
};

static void add_item(struct pushed_changes *pushed, const struct state_item *item, uint64_t now)
{
    if (pushed->changes.n_items == MAX_PUSH_ITEMS) {
        pushed->fits = false;
        return;
    }
    Shuntrun__StateItem *out = &pushed->items[pushed->changes.n_items];
    state_message_write_item(item, now, out);
    pushed->pointers[pushed->changes.n_items++] = out;
}

static void collect_changes(const struct cluster *cluster, uint64_t after, uint64_t revision,
                            bool operator_only, struct pushed_changes *pushed)
{
    const struct state_cache *state = cluster->state;
    uint64_t now = cluster_now();
    shuntrun__state_changes__init(&pushed->changes);
    pushed->changes.items = pushed->pointers;
    pushed->changes.after = after;
    pushed->changes.revision = revision;
    pushed->changes.operator_only = operator_only;
    pushed->fits = after && (operator_only ? state_cache_retains_since(state, after)
                                           : state_cache_has_delta_since(state, after));
    for (uint32_t i = 0; pushed->fits && i < state_cache_count(state); i++) {
        const struct state_item *item = state_cache_at(state, i);
        if (item->revision > after && (!operator_only || state_message_is_operator_item(item)))
            add_item(pushed, item, now);
    }
    if (pushed->fits)
        pushed->fits = shuntrun__state_changes__get_packed_size(&pushed->changes) <= MAX_PUSH_BYTES;
}

static void send_changes(struct cluster *cluster, uint32_t address, struct pushed_changes *pushed)
{
    membership_send_changes(cluster->membership, address, pushed->fits ? &pushed->changes : NULL);
}

/* Sends to the gateways of the own region that do not read the store and lack the revision. */
static void send_to_region(struct cluster *cluster, uint64_t revision,
                           struct pushed_changes *pushed)
{
    const struct member_state *self = membership_self(cluster->membership);
    for (uint32_t i = 0; i < membership_count(cluster->membership); i++) {
        const struct member_state *member = membership_at(cluster->membership, i);
        if (member->role == MEMBER_GATEWAY && member_is_alive(member) && !member->store_sound &&
            member->state_revision < revision && strcmp(member->region, self->region) == 0)
            send_changes(cluster, member->address, pushed);
    }
}

static void push_state(struct cluster *cluster)
{
    struct pushed_changes pushed;
    uint64_t revision = state_cache_revision(cluster->state);
    uint64_t before = cluster->pushed_revision;
    cluster->pushed_revision = revision;
    if (revision <= before || !cluster_reads_store(cluster))
        return;
    collect_changes(cluster, before, revision, false, &pushed);
    send_to_region(cluster, revision, &pushed);
}

static void push_operator_change(struct cluster *cluster)
{
    struct pushed_changes pushed;
    uint64_t revision = cluster->operator_revision;
    uint64_t before = cluster->pushed_operator_revision;
    cluster->pushed_operator_revision = revision;
    if (revision <= before)
        return;
    collect_changes(cluster, before, revision, true, &pushed);
    uint32_t count;
    uint32_t *addresses = update_targets(cluster->membership, revision, &cluster->random, &count);
    for (uint32_t i = 0; i < count; i++)
        send_changes(cluster, addresses[i], &pushed);
    free(addresses);
}

void update_push(struct cluster *cluster)
{
    push_state(cluster);
    push_operator_change(cluster);
}
