/* Datagrams that a node receives, and whether it is isolated from the other nodes. */
#include "cluster/cluster_internal.h"

#include "base/log.h"
#include "cluster/crash_sync.h"
#include "cluster/state_sync.h"

#include <arpa/inet.h>
#include <string.h>

/** A node that receives nothing for this time is isolated. Loaders report their load to the
 * selected gateways at least every 0.4 s, and nodes probe each other as often, so within this time
 * some message arrives even if one in ten is lost. */
#define ISOLATION_TIMEOUT_US 1200000

static void handle_sender(struct cluster *cluster, const Shuntrun__MemberMessage *message,
                          uint32_t sender, uint64_t now)
{
    cluster_update_self(cluster);
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

int cluster_receive_start(struct cluster *cluster, const struct sockaddr_in *address)
{
    uv_udp_init(cluster->loop, &cluster->socket);
    cluster->socket.data = cluster;
    int error = uv_udp_bind(&cluster->socket, (const struct sockaddr *)address, 0);
    return error ? error : uv_udp_recv_start(&cluster->socket, on_allocate, on_datagram);
}

uint64_t cluster_silence_us(const struct cluster *cluster)
{
    return cluster->heard_at ? cluster_now() - cluster->heard_at : 0;
}
