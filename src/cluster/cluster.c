#include "cluster/cluster.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "base/metrics.h"
#include "cluster/crash_sync.h"
#include "cluster/message_count.h"
#include "cluster/update_push.h"
#include "cluster/state_sync.h"
#include "cluster/store_reader.h"
#include "core/hash.h"
#include "platform/platform.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/** Time after a start for which a node reports its uptime, and other nodes report what they know of
 * its earlier process. Calls of the earlier process cannot take effect for that long. */
#define PROCESS_START_ANNOUNCE_US ((uint64_t)15000000)
#define TICK_INTERVAL_MS 100
/** Tick interval until this node knows the state and most of the members. */
#define STARTUP_TICK_INTERVAL_MS 25
#define MAX_DATAGRAM_BYTES 8192
/** Interval for logging member changes and dropping expired entries. */
#define MAINTENANCE_INTERVAL_US 500000
#define MAX_CALL_BODY_BYTES 65536
#define TOMBSTONE_RETENTION_US 60000000
/** A node that receives nothing for this time is isolated. Loaders report their load to the
 * selected gateways at least every 0.4 s, and nodes probe each other as often, so within this time
 * some message arrives even if one in ten is lost. */
#define ISOLATION_TIMEOUT_US 1200000

uint64_t cluster_now(void)
{
    return clock_monotonic_us();
}

struct sockaddr_in cluster_address(const struct cluster *cluster, uint32_t address)
{
    struct sockaddr_in result = {
        .sin_family = AF_INET, .sin_port = htons(cluster->port), .sin_addr.s_addr = htonl(address)};
    return result;
}

static void send_datagram(struct cluster *cluster, uint32_t address, const uint8_t *bytes,
                          size_t size)
{
    struct sockaddr_in to = cluster_address(cluster, address);
    uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)size);
    int sent = uv_udp_try_send(&cluster->socket, &buffer, 1, (const struct sockaddr *)&to);
    if (sent < 0) /* not retried: the protocol tolerates lost datagrams */
        log_event(LOG_LEVEL_WARN, "cluster", "not-sent", "peer=%08x error=\"%s\"", address,
                  uv_strerror(sent));
}

/* \return size of the packed message, bytes; 0: it exceeds MAX_DATAGRAM_BYTES */
static size_t pack_message(const Shuntrun__MemberMessage *message,
                           uint8_t bytes[MAX_DATAGRAM_BYTES])
{
    size_t size = shuntrun__member_message__get_packed_size(message);
    if (size > MAX_DATAGRAM_BYTES) {
        log_event(LOG_LEVEL_ERROR, "cluster", "too-large", "bytes=%zu most=%d", size,
                  MAX_DATAGRAM_BYTES);
        return 0;
    }
    return shuntrun__member_message__pack(message, bytes);
}

/* \return whether a node is known to be in another region */
static bool is_in_other_region(const struct cluster *cluster, uint32_t address)
{
    const struct member_state *member = membership_find(cluster->membership, address);
    return member && strcmp(member->region, membership_self(cluster->membership)->region) != 0;
}

/* \return the uptime while a node reports it, ms, at least 1; afterwards 0 */
static uint64_t uptime_ms(const struct cluster *cluster, uint64_t now)
{
    return now < cluster->opened_at + PROCESS_START_ANNOUNCE_US
               ? (now - cluster->opened_at) / 1000 + 1
               : 0;
}

/* Add what this node knows of an earlier process of the recipient. */
static void add_earlier_process(const struct cluster *cluster, uint32_t address, uint64_t now,
                                Shuntrun__MemberMessage *message)
{
    const struct member_state *member = membership_find(cluster->membership, address);
    if (!member || !member->earlier_heard_at ||
        now >= member->earlier_heard_at + PROCESS_START_ANNOUNCE_US)
        return;
    message->earlier_age_ms = (now - member->earlier_heard_at) / 1000 + 1;
    message->earlier_born = member->earlier_born;
}

void cluster_send(struct cluster *cluster, uint32_t address, const Shuntrun__MemberMessage *message)
{
    uint8_t bytes[MAX_DATAGRAM_BYTES];
    uint64_t now = cluster_now();
    Shuntrun__MemberMessage with_process_times = *message;
    with_process_times.uptime_ms = uptime_ms(cluster, now);
    add_earlier_process(cluster, address, now, &with_process_times);
    size_t size = pack_message(&with_process_times, bytes);
    if (!size)
        return;
    message_count_sent(message, size, is_in_other_region(cluster, address));
    send_datagram(cluster, address, bytes, size);
}

/* Sets the rank of a recipient. A node that does not know most members yet ranks none: it might
 * rank few of them, and soon afterwards all. */
static void set_rate_rank(struct cluster *cluster, uint32_t recipient, uint64_t window_us,
                          Shuntrun__EngineLoad *load)
{
    struct rate_ranking *ranking = &cluster->rate_ranking;
    uint32_t own = membership_self(cluster->membership)->address;
    if (!cluster->started)
        return;
    rate_ranking_refresh(ranking, &cluster->load_targets, own, window_us, cluster_now());
    struct rate_rank rank = rate_ranking_find(ranking, recipient);
    load->rate_rank = rank.rank;
    load->ranked_gateways = rank.gateways;
}

void cluster_send_load(struct cluster *cluster, Shuntrun__EngineLoad *load, bool far,
                       uint64_t rate_window_us)
{
    uint8_t bytes[MAX_DATAGRAM_BYTES];
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    struct load_targets *targets = &cluster->load_targets;
    load_targets_refresh(targets, cluster->membership);
    load->near_gateways = targets->near_count;
    load->far_gateways = targets->far_count;
    message.load = load;
    message.uptime_ms = uptime_ms(cluster, cluster_now());
    size_t size = rate_window_us ? 0 : pack_message(&message, bytes);
    uint32_t count = targets->near_count + (far ? targets->far_count : 0);
    for (uint32_t i = 0; i < count; i++) {
        if (rate_window_us) {
            set_rate_rank(cluster, targets->addresses[i], rate_window_us, load);
            size = pack_message(&message, bytes);
        }
        if (!size)
            return;
        message_count_sent(&message, size, i >= targets->near_count);
        send_datagram(cluster, targets->addresses[i], bytes, size);
    }
}

bool cluster_reads_store(const struct cluster *cluster)
{
    return cluster->role.duty != READER_INACTIVE;
}

bool cluster_store_is_healthy(const struct cluster *cluster)
{
    /* A node that the store refuses receives the state from other nodes: the health that these
     * report counts, not the failures of the own calls. */
    return reader_role_any_reader_is_healthy(cluster->membership);
}

static void update_self(struct cluster *cluster)
{
    struct member_state *self = membership_self(cluster->membership);
    /* Peers must not take a partial copy for the full state. */
    self->state_revision = cluster->holds_full_state ? state_cache_revision(cluster->state) : 0;
    self->operator_revision = cluster->operator_revision;
    self->store_sound = cluster->reader && store_reader_is_healthy(cluster->reader);
}

static void on_membership_send(void *context, uint32_t address,
                               const Shuntrun__MemberMessage *message)
{
    struct cluster *cluster = context;
    Shuntrun__MemberMessage with_digest = *message;
    with_digest.suspects_digest = crash_sync_digest(cluster->crashes);
    cluster_send(cluster, address, &with_digest);
}

void cluster_propagate_changes(struct cluster *cluster)
{
    update_self(cluster);
    update_push(cluster);
}

static void announce_to_gateways(struct cluster *cluster)
{
    for (uint32_t i = 0; i < membership_count(cluster->membership); i++) {
        const struct member_state *member = membership_at(cluster->membership, i);
        if (member_is_alive(member) && member->role == MEMBER_GATEWAY)
            membership_send_update(cluster->membership, member->address);
    }
}

void cluster_announce_draining(struct cluster *cluster)
{
    membership_self(cluster->membership)->draining = true;
    membership_self_changed(cluster->membership);
    announce_to_gateways(cluster);
}

static void update_reader_role(struct cluster *cluster, uint64_t now)
{
    if (!cluster->reader)
        return;
    reader_role_update(&cluster->role, cluster->membership, now);
    store_reader_set_duty(cluster->reader, cluster->role.duty);
    update_self(cluster);
    /* The own health is also updated before each message, so only the reader role knows which
     * value the others were sent. */
    if (reader_role_must_announce(&cluster->role,
                                  membership_self(cluster->membership)->store_sound))
        announce_to_gateways(cluster);
}

static void log_member_changes(struct cluster *cluster)
{
    uint32_t alive = membership_alive_count(cluster->membership, MEMBER_GATEWAY) +
                     membership_alive_count(cluster->membership, MEMBER_LOADER);
    metric_gauge_set(METRIC_LIVE_PEERS, alive);
    if (alive != cluster->last_alive_count)
        log_event(LOG_LEVEL_INFO, "cluster", "members", "alive=%u before=%u known=%u", alive,
                  cluster->last_alive_count, membership_count(cluster->membership));
    cluster->last_alive_count = alive;
}

/* Record the times at which the state and the members became known, to explain a slow start. */
static void check_startup(struct cluster *cluster, uint64_t now)
{
    bool has_state = cluster->operator_revision != 0;
    bool is_converged = membership_is_converged(cluster->membership);
    if (cluster->started)
        return;
    uint64_t took_ms = (now - cluster->opened_at) / 1000;
    if (has_state && !cluster->has_operator_state) {
        cluster->has_operator_state = true;
        metric_gauge_set(METRIC_STATE_MS, took_ms);
    }
    if (!has_state || !is_converged)
        return;
    cluster->started = true;
    metric_gauge_set(METRIC_SETTLED_MS, took_ms);
    log_event(LOG_LEVEL_INFO, "cluster", "settled", "members=%u took_ms=%llu",
              membership_count(cluster->membership) + 1, (unsigned long long)took_ms);
}

/* Runs in each loop iteration before it waits for events, so that a pause is detected in the
 * iteration in which the process runs again. */
static void on_clock_check(uv_prepare_t *prepare)
{
    struct cluster *cluster = prepare->data;
    struct wake wake =
        wake_watch_check(&cluster->wake_watch, clock_monotonic_us(), clock_timer_us());
    if (wake.kind == WAKE_NONE)
        return;
    metric_add(METRIC_WAKES, 1);
    log_event(LOG_LEVEL_WARN, "cluster", "woke", "kind=%s pause_ms=%llu", wake_kind_name(wake.kind),
              (unsigned long long)(wake.pause_us / 1000));
    cluster->callbacks.resumed_after_pause(cluster->callbacks.context, &wake);
    if (cluster->reader && wake.pause_us > WAKE_LONG_PAUSE_US)
        store_reader_reconnect(cluster->reader);
}

static void on_tick(uv_timer_t *timer)
{
    struct cluster *cluster = timer->data;
    uint64_t now = cluster_now();
    update_reader_role(cluster, now);
    update_self(cluster);
    membership_tick(cluster->membership, now);
    if (now >= cluster->next_maintenance_at) {
        cluster->next_maintenance_at = now + MAINTENANCE_INTERVAL_US;
        log_member_changes(cluster);
        state_cache_trim(cluster->state,
                         now > TOMBSTONE_RETENTION_US ? now - TOMBSTONE_RETENTION_US : 0);
        crash_sync_trim(cluster->crashes, now);
    }
    state_sync_tick(cluster->sync, now);
    check_startup(cluster, now);
    uv_timer_start(timer, on_tick, cluster->started ? TICK_INTERVAL_MS : STARTUP_TICK_INTERVAL_MS,
                   0);
}

static void handle_sender(struct cluster *cluster, const Shuntrun__MemberMessage *message,
                          uint32_t sender, uint64_t now)
{
    update_self(cluster);
    membership_receive(cluster->membership, sender, message, now);
    if (message->changes)
        state_sync_apply(cluster->sync, message->changes);
    /* A node that copies only the operator's items needs no other changes. */
    bool sender_is_newer =
        cluster->holds_full_state
            ? message->sender->state_revision > state_cache_revision(cluster->state)
            : message->sender->operator_revision > cluster->operator_revision;
    if (!sender_is_newer)
        return;
    const char *region = membership_self(cluster->membership)->region;
    bool near = strcmp(message->sender->region, region) == 0;
    state_sync_record_newer_peer(cluster->sync, sender, message->sender->state_revision, near, now);
}

static void record_contact(struct cluster *cluster, uint64_t now)
{
    if (cluster->heard_at && now > cluster->heard_at + ISOLATION_TIMEOUT_US) {
        log_event(LOG_LEVEL_WARN, "cluster", "contact-regained", "silence_ms=%llu",
                  (unsigned long long)(now - cluster->heard_at) / 1000);
        cluster->isolated_until = now;
    }
    cluster->heard_at = now;
}

bool cluster_was_isolated(const struct cluster *cluster, uint64_t since)
{
    bool isolated_now =
        cluster->heard_at && cluster_now() > cluster->heard_at + ISOLATION_TIMEOUT_US;
    return isolated_now || cluster->isolated_until > since;
}

/* Records start times of the sender's process and engine, and reports what the sender knows of an
 * earlier process of this node. A new process of the sender is sent an update at once, with what is
 * known of its earlier process. */
static void record_start_times(struct cluster *cluster, const Shuntrun__MemberMessage *message,
                               uint32_t sender, uint64_t now)
{
    uint64_t uptime_us = message->uptime_ms * 1000;
    if (message->uptime_ms && now > uptime_us &&
        membership_record_process_start(cluster->membership, sender, now - uptime_us)) {
        membership_send_update(cluster->membership, sender);
        if (message->sender && message->sender->role == MEMBER_GATEWAY)
            crash_sync_send_recent(cluster->crashes, sender);
    }
    if (message->load)
        membership_record_engine_start(cluster->membership, sender, message->load->born);
    uint64_t age_us = message->earlier_age_ms * 1000;
    if (message->earlier_age_ms && now > age_us && cluster->callbacks.predecessor_reported)
        cluster->callbacks.predecessor_reported(cluster->callbacks.context, now - age_us + 1000,
                                                message->earlier_born);
}

static void on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *buffer,
                        const struct sockaddr *from, unsigned flags)
{
    struct cluster *cluster = socket->data;
    if (size <= 0 || !from) /* no more data, or an ICMP error for an earlier datagram */
        return;
    Shuntrun__MemberMessage *message =
        shuntrun__member_message__unpack(NULL, (size_t)size, (const uint8_t *)buffer->base);
    uint64_t now = cluster_now();
    uint32_t sender = ntohl(((const struct sockaddr_in *)from)->sin_addr.s_addr);
    if (!message) {
        log_event(LOG_LEVEL_WARN, "cluster", "unreadable", "peer=%08x bytes=%zd", sender, size);
        return;
    }
    record_contact(cluster, now);
    record_start_times(cluster, message, sender, now);
    crash_sync_receive(cluster->crashes, message, sender, now);
    if (message->sender && message->sender->address == sender)
        handle_sender(cluster, message, sender, now);
    else
        membership_record_contact(cluster->membership, sender, now);
    if (message->load && cluster->callbacks.load_received)
        cluster->callbacks.load_received(cluster->callbacks.context, message->load);
    if (message->rate && cluster->callbacks.rate_received)
        cluster->callbacks.rate_received(cluster->callbacks.context, sender, message->rate);
    shuntrun__member_message__free_unpacked(message, NULL);
}

static void on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[65536];
    *buffer = uv_buf_init(bytes, sizeof bytes);
}

static void on_call(void *context, struct service_call *call, const struct service_request *request)
{
    struct cluster *cluster = context;
    if (state_sync_serve(cluster->sync, call, request))
        return;
    if (cluster->callbacks.call_received)
        cluster->callbacks.call_received(cluster->callbacks.context, call, request);
    else
        service_reply(call, 404, NULL, NULL, 0);
}

static void on_item(void *context, const struct state_item *item)
{
    struct cluster *cluster = context;
    char name[PLATFORM_TEXT_SIZE];
    enum item_kind kind = platform_item_kind(item->key, name, sizeof name);
    if (kind != ITEM_BACKEND && kind != ITEM_OTHER && item->revision > cluster->operator_revision)
        cluster->operator_revision = item->revision;
    if (item->kept) /* only its position has changed */
        return;
    if (cluster->started)
        metric_observe(METRIC_STATE_AGE, cluster_now() - item->learned);
    cluster->callbacks.item_changed(cluster->callbacks.context, item);
}

static void add_seeds(struct cluster *cluster)
{
    char *seeds = memory_strdup(cluster->settings->seeds);
    char *rest = seeds;
    for (char *seed = strsep(&rest, ","); seed; seed = strsep(&rest, ",")) {
        struct sockaddr_in address;
        if (tcp_address_parse(seed, &address))
            membership_add_seed(cluster->membership, ntohl(address.sin_addr.s_addr));
        else if (seed[0])
            log_event(LOG_LEVEL_ERROR, "cluster", "bad-seed", "seed=\"%s\"", seed);
    }
    free(seeds);
}

static void init_self(struct member_state *self, const struct settings *settings,
                      enum member_role role)
{
    struct in_addr ip = {0};
    inet_pton(AF_INET, settings->address, &ip);
    self->address = ntohl(ip.s_addr);
    self->incarnation = clock_incarnation();
    self->role = role;
    snprintf(self->zone, sizeof self->zone, "%s", settings->zone);
    snprintf(self->region, sizeof self->region, "%s", settings->region);
    self->link_mbit = (uint32_t)(strtod(settings->link_mbit, NULL) + 0.5);
    struct sockaddr_in traffic;
    if (role == MEMBER_GATEWAY && tcp_address_parse(settings->client_address, &traffic))
        self->traffic_port = ntohs(traffic.sin_port);
}

static int open_sockets(struct cluster *cluster, uint32_t own)
{
    static const struct http_service_limits limits = {
        MAX_CALL_BODY_BYTES, HTTP_SERVICE_IDLE_TIMEOUT_MS, HTTP_SERVICE_REQUEST_TIMEOUT_MS};
    struct sockaddr_in address = cluster_address(cluster, own);
    cluster->service = http_service_start(cluster->loop, &address, &limits, on_call, cluster);
    if (!cluster->service) {
        log_event(LOG_LEVEL_ERROR, "cluster", "listen-failed", "port=%u error=\"%s\"",
                  cluster->port, status_message());
        return 1;
    }
    uv_udp_init(cluster->loop, &cluster->socket);
    cluster->socket.data = cluster;
    int error = uv_udp_bind(&cluster->socket, (const struct sockaddr *)&address, 0);
    if (!error)
        error = uv_udp_recv_start(&cluster->socket, on_allocate, on_datagram);
    if (error)
        log_event(LOG_LEVEL_ERROR, "cluster", "listen-failed", "port=%u error=\"%s\"",
                  cluster->port, uv_strerror(error));
    return error != 0;
}

int cluster_open(struct cluster *cluster, uv_loop_t *loop, const struct settings *settings,
                 enum member_role role, const struct cluster_callbacks *callbacks)
{
    struct member_state self = {0};
    memset(cluster, 0, sizeof *cluster);
    cluster->loop = loop;
    cluster->settings = settings;
    cluster->callbacks = *callbacks;
    cluster->port = (uint16_t)settings->peer_port;
    cluster->zones = zone_map_create(settings->zones);
    init_self(&self, settings, role);
    struct membership_driver driver = {cluster, on_membership_send};
    cluster->random.seed = hash_name(settings->name) ^ self.incarnation;
    cluster->membership =
        membership_create(&membership_default_settings, &self, cluster->random.seed + 1, &driver);
    add_seeds(cluster);
    struct state_cache_listener listener = {cluster, on_item};
    cluster->state = state_cache_create(&listener);
    cluster->sync = state_sync_create(cluster);
    cluster->crashes = crash_sync_create(cluster);
    if (open_sockets(cluster, self.address))
        return 1;
    cluster->holds_full_state = role == MEMBER_GATEWAY;
    if (cluster->holds_full_state)
        cluster->reader = store_reader_create(cluster);
    cluster->opened_at = cluster_now();
    uv_prepare_init(loop, &cluster->clock_check);
    cluster->clock_check.data = cluster;
    uv_prepare_start(&cluster->clock_check, on_clock_check);
    uv_timer_init(loop, &cluster->timer);
    cluster->timer.data = cluster;
    uv_timer_start(&cluster->timer, on_tick, STARTUP_TICK_INTERVAL_MS, 0);
    return 0;
}

uint64_t cluster_silence_us(const struct cluster *cluster)
{
    return cluster->heard_at ? cluster_now() - cluster->heard_at : 0;
}

uint32_t cluster_gateway_count(const struct cluster *cluster)
{
    uint32_t alive = membership_alive_count(cluster->membership, MEMBER_GATEWAY);
    return alive ? alive : 1;
}

uint16_t cluster_distance(const struct cluster *cluster, const char *zone)
{
    if (strcmp(zone, cluster->settings->zone) == 0)
        return 0;
    return strcmp(zone_map_region(cluster->zones, zone), cluster->settings->region) == 0 ? 1 : 2;
}
