/* Datagrams that a node sends: single messages, and load reports with a rank for each gateway. */
#include "cluster/cluster.h"

#include "base/log.h"
#include "cluster/message_count.h"

#include <string.h>

/** Time after a start for which a node reports its uptime, and other nodes report what they know of
 * its earlier process. Calls of the earlier process cannot take effect for that long. */
#define PROCESS_START_ANNOUNCE_US ((uint64_t)15000000)
#define MAX_DATAGRAM_BYTES 8192

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
