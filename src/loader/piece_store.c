#include "loader/piece_store.h"

#include "base/log.h"
#include "base/memory.h"
#include "core/swarm/bitmap.h"
#include "weights/piece_fetch.h"
#include "weights/piece_server.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Connections to each source. Two keep the link busy: one carries a piece while the other one's
 * call is on its way. Each piece in flight delays requests for the engine by its transfer time. */
#define CONNECTIONS_EXCLUSIVE 3
#define CONNECTIONS_SHARED 2
#define CONNECTIONS_SLOW 1
/** Fraction of the link's rate for pieces sent to other nodes; the rest is for engine responses. */
#define UPLOAD_LINK_FRACTION 0.3

struct piece_store {
    struct piece_store_callbacks callbacks;
    struct piece_set *set;
    struct piece_fetch *fetch;
    struct piece_server *server;
    enum link_sharing link_sharing;
    bool link_is_slow;
};

static void on_manifest_changed(void *context)
{
    struct piece_store *store = context;
    piece_server_answer_waiting(store->server, cluster_now());
}

static void on_piece_held(void *context, uint32_t piece)
{
    struct piece_store *store = context;
    store->callbacks.piece_held(store->callbacks.context, store);
}

struct piece_store *piece_store_create(struct cluster *cluster, const char *model,
                                       const struct sockaddr_in *origin, uint64_t version,
                                       const struct piece_store_callbacks *callbacks)
{
    struct piece_store *store = memory_calloc(1, sizeof *store);
    struct piece_fetch_callbacks fetch_callbacks = {store, on_manifest_changed, on_piece_held};
    double link = strtod(cluster->settings->link_mbit, NULL);
    store->callbacks = *callbacks;
    store->set = piece_set_create(model, version);
    store->server = piece_server_create(cluster->loop, store->set, UPLOAD_LINK_FRACTION * link, 0);
    store->fetch = piece_fetch_create(cluster, store->set, PIECE_ROLE_LOADER, &fetch_callbacks);
    piece_fetch_set_origin(store->fetch, origin);
    return store;
}

void piece_store_destroy(struct piece_store *store)
{
    if (!store)
        return;
    piece_server_destroy(store->server);
    piece_fetch_destroy(store->fetch);
    piece_set_destroy(store->set);
    free(store);
}

void piece_store_set_link_sharing(struct piece_store *store, enum link_sharing sharing)
{
    store->link_sharing = sharing;
}

bool piece_store_link_is_slow(const struct piece_store *store)
{
    return store->link_is_slow;
}

void piece_store_pause_fetch(struct piece_store *store, bool held_back)
{
    piece_fetch_set_paused(store->fetch, held_back);
}

bool piece_store_half_held(const struct piece_store *store)
{
    const struct piece_manifest *manifest = piece_set_manifest(store->set);
    return manifest && 2 * piece_set_held(store->set) >= manifest->count;
}

static uint32_t connections_per_source(const struct piece_store *store)
{
    if (store->link_sharing == LINK_EXCLUSIVE)
        return CONNECTIONS_EXCLUSIVE;
    return store->link_is_slow || store->link_sharing == LINK_LOW_PRIORITY ? CONNECTIONS_SLOW
                                                                           : CONNECTIONS_SHARED;
}

static void update_link_state(struct piece_store *store)
{
    const struct link_rate *rate = piece_fetch_link(store->fetch);
    bool slow = link_rate_is_slow(rate);
    if (slow != store->link_is_slow)
        log_event(LOG_LEVEL_INFO, "pieces", slow ? "link-slow" : "link-sound",
                  "version=%" PRIu64 " mbit=%.2f nominal_mbit=%.2f", piece_set_version(store->set),
                  rate->estimated, rate->nominal);
    store->link_is_slow = slow;
    piece_fetch_set_connections(store->fetch, connections_per_source(store));
}

uint64_t piece_store_last_piece_at(const struct piece_store *store)
{
    return piece_fetch_last_progress(store->fetch);
}

void piece_store_tick(struct piece_store *store, uint64_t now)
{
    update_link_state(store);
    piece_fetch_tick(store->fetch, now);
    piece_server_tick(store->server, now);
}

uint64_t piece_store_version(const struct piece_store *store)
{
    return piece_set_version(store->set);
}

void piece_store_expect(struct piece_store *store, uint32_t pieces)
{
    piece_fetch_expect(store->fetch, pieces);
}

uint32_t piece_store_manifest_changes(const struct piece_store *store)
{
    return piece_set_manifest_changes(store->set);
}

const struct piece_manifest *piece_store_manifest(const struct piece_store *store)
{
    return piece_set_manifest(store->set);
}

const uint8_t *piece_store_data(const struct piece_store *store, uint32_t piece, size_t *size)
{
    return piece_set_data(store->set, piece, size);
}

bool piece_store_add(struct piece_store *store, uint32_t piece, const void *bytes, size_t size)
{
    uint64_t wanted[PIECE_BITMAP_WORDS] = {0};
    uint32_t number;
    struct received_piece received = {.sender = MANIFEST_SENDER_NODE,
                                      .wanted = wanted,
                                      .wanted_bits = PIECE_MAX_COUNT,
                                      .bytes = bytes,
                                      .size = size};
    if (piece >= PIECE_MAX_COUNT)
        return false;
    bitmap_set(wanted, piece);
    return piece_set_add(store->set, &received, &number) == PIECE_ADDED;
}

uint32_t piece_store_held(const struct piece_store *store)
{
    return piece_set_held(store->set);
}

bool piece_store_complete(const struct piece_store *store)
{
    return piece_set_complete(store->set);
}

bool piece_store_serve(struct piece_store *store, struct service_call *call,
                       const struct piece_call *wanted)
{
    if (wanted->version != piece_set_version(store->set) ||
        strcmp(wanted->model, piece_set_model(store->set)) != 0)
        return false;
    piece_server_handle(store->server, call, wanted, cluster_now());
    return true;
}
