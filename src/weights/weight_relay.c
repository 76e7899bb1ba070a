#include "weights/weight_relay.h"

#include "base/log.h"
#include "base/memory.h"
#include "core/weights/fetch_order.h"
#include "weights/piece_fetch.h"
#include "weights/piece_server.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/** Versions held at a time, over all models: the one in use, one being fetched, and one announced
 * during the fetch. Limits the memory for weights. */
#define RELAY_MAX_VERSIONS 3
/** Maximum time that a call waits for data that is not held yet. Callers abort calls that are
 * silent for longer. */
#define PIECE_WAIT_US 300000
/** Fraction of the machine's link that pieces may use; the rest is for client requests. */
#define PIECE_LINK_FRACTION 0.7
/** Two, so that one request is in flight while the response to another is received. */
#define CONNECTIONS_PER_SOURCE 2

/* A version that is held or being fetched. */
struct relayed_version {
    struct piece_set *set;
    struct piece_fetch *fetch;
    struct piece_server *server;
    uint64_t wanted_at;    /* time of the first call for this version (us) */
    uint64_t requested_at; /* time of the last call (us) */
};

/* Number of pieces in each version of a model, as configured. */
struct expected_pieces {
    char model[BACKEND_NAME_SIZE];
    uint32_t pieces;
};

struct weight_relay {
    struct cluster *cluster;
    struct expected_pieces *expected;
    uint32_t expected_count;
    struct sockaddr_in origin;
    bool has_origin;
    struct relayed_version *versions[RELAY_MAX_VERSIONS];
    uint32_t count;
};

struct weight_relay *weight_relay_create(struct cluster *cluster)
{
    struct weight_relay *relay = memory_calloc(1, sizeof *relay);
    relay->cluster = cluster;
    return relay;
}

void weight_relay_set_origin(struct weight_relay *relay, const struct sockaddr_in *origin)
{
    relay->origin = *origin;
    relay->has_origin = true;
    for (uint32_t i = 0; i < relay->count; i++)
        piece_fetch_set_origin(relay->versions[i]->fetch, origin);
}

static struct expected_pieces *find_expected(const struct weight_relay *relay, const char *model)
{
    for (uint32_t i = 0; i < relay->expected_count; i++)
        if (strcmp(relay->expected[i].model, model) == 0)
            return &relay->expected[i];
    return NULL;
}

static struct expected_pieces *add_expected(struct weight_relay *relay, const char *model)
{
    relay->expected =
        memory_realloc(relay->expected, (relay->expected_count + 1) * sizeof *relay->expected);
    struct expected_pieces *added = &relay->expected[relay->expected_count++];
    *added = (struct expected_pieces){0};
    snprintf(added->model, sizeof added->model, "%s", model);
    return added;
}

void weight_relay_expect(struct weight_relay *relay, const char *model, uint32_t pieces)
{
    struct expected_pieces *expected = find_expected(relay, model);
    if (!expected)
        expected = add_expected(relay, model);
    expected->pieces = pieces;
    for (uint32_t i = 0; i < relay->count; i++)
        if (strcmp(piece_set_model(relay->versions[i]->set), model) == 0)
            piece_fetch_expect(relay->versions[i]->fetch, pieces);
}

static void on_manifest_changed(void *context)
{
    struct relayed_version *version = context;
    piece_server_answer_waiting(version->server, cluster_now());
}

static void on_piece_received(void *context, uint32_t piece)
{
    struct relayed_version *version = context;
    piece_server_answer_waiting(version->server, cluster_now());
}

static void remove_version(struct weight_relay *relay, uint32_t index)
{
    struct relayed_version *version = relay->versions[index];
    log_event(LOG_LEVEL_INFO, "relay", "version-dropped", "model=%s version=%" PRIu64,
              piece_set_model(version->set), piece_set_version(version->set));
    piece_server_destroy(version->server);
    piece_fetch_destroy(version->fetch);
    piece_set_destroy(version->set);
    free(version);
    relay->versions[index] = relay->versions[--relay->count];
}

/* Evicts the least recently requested version when the limit is reached. */
static void evict_version(struct weight_relay *relay)
{
    uint32_t oldest = 0;
    if (relay->count < RELAY_MAX_VERSIONS)
        return;
    for (uint32_t i = 1; i < relay->count; i++)
        if (relay->versions[i]->requested_at < relay->versions[oldest]->requested_at)
            oldest = i;
    remove_version(relay, oldest);
}

static struct relayed_version *add_version(struct weight_relay *relay, const char *model,
                                           uint64_t number)
{
    evict_version(relay);
    struct relayed_version *version = memory_calloc(1, sizeof *version);
    struct piece_fetch_callbacks callbacks = {version, on_manifest_changed, on_piece_received};
    double link = strtod(relay->cluster->settings->link_mbit, NULL);
    version->wanted_at = cluster_now();
    version->set = piece_set_create(model, number);
    version->server = piece_server_create(relay->cluster->loop, version->set,
                                          PIECE_LINK_FRACTION * link, PIECE_WAIT_US);
    version->fetch = piece_fetch_create(relay->cluster, version->set, PIECE_ROLE_RELAY, &callbacks);
    piece_fetch_set_connections(version->fetch, CONNECTIONS_PER_SOURCE);
    const struct expected_pieces *expected = find_expected(relay, model);
    if (expected)
        piece_fetch_expect(version->fetch, expected->pieces);
    if (relay->has_origin)
        piece_fetch_set_origin(version->fetch, &relay->origin);
    relay->versions[relay->count++] = version;
    log_event(LOG_LEVEL_INFO, "relay", "version-wanted", "model=%s version=%" PRIu64, model,
              number);
    return version;
}

static struct relayed_version *find_version(struct weight_relay *relay, const char *model,
                                            uint64_t number)
{
    for (uint32_t i = 0; i < relay->count; i++)
        if (piece_set_version(relay->versions[i]->set) == number &&
            strcmp(piece_set_model(relay->versions[i]->set), model) == 0)
            return relay->versions[i];
    return NULL;
}

bool weight_relay_serve(struct weight_relay *relay, struct service_call *call,
                        const struct service_request *request)
{
    struct piece_call wanted;
    uint64_t now = cluster_now();
    piece_wire_read(request, &wanted);
    if (wanted.kind == PIECE_CALL_OTHER)
        return false;
    struct relayed_version *version = find_version(relay, wanted.model, wanted.version);
    bool is_new = !version;
    if (is_new)
        version = add_version(relay, wanted.model, wanted.version);
    version->requested_at = now;
    piece_server_handle(version->server, call, &wanted, now);
    if (is_new)
        piece_fetch_tick(version->fetch, now);
    return true;
}

static struct fetch_state fetch_state_of(const struct relayed_version *version)
{
    const struct piece_manifest *manifest = piece_set_manifest(version->set);
    return (struct fetch_state){
        .version = piece_set_version(version->set),
        .complete = piece_set_complete(version->set),
        .half_fetched = manifest && 2 * piece_set_held(version->set) >= manifest->count,
        .wanted_at = version->wanted_at,
        .progress_at = piece_fetch_last_progress(version->fetch),
    };
}

/* \return whether another version of its model is fetched first */
static bool yields_to_another(const struct weight_relay *relay,
                              const struct relayed_version *version, uint64_t now)
{
    struct fetch_state states[RELAY_MAX_VERSIONS];
    uint32_t count = 0, own = 0;
    for (uint32_t i = 0; i < relay->count; i++) {
        const struct relayed_version *other = relay->versions[i];
        if (strcmp(piece_set_model(other->set), piece_set_model(version->set)) != 0)
            continue;
        if (other == version)
            own = count;
        states[count++] = fetch_state_of(other);
    }
    uint32_t first = fetch_order_select(states, count, FETCH_STALL_TIMEOUT_US, now);
    return first != FETCH_ORDER_NONE && first != own;
}

void weight_relay_tick(struct weight_relay *relay, uint64_t now)
{
    for (uint32_t i = 0; i < relay->count; i++) {
        struct relayed_version *version = relay->versions[i];
        piece_fetch_set_paused(version->fetch, yields_to_another(relay, version, now));
        piece_fetch_tick(version->fetch, now);
        piece_server_tick(version->server, now);
    }
}
