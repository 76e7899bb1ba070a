/* Reads of the platform by a node: when they are due, and what they return. */
#include "core/node.h"

#include "core/node_internal.h"

#define MILLISECOND 1000ULL
#define SECOND 1000000ULL
/* A new node that is not a reader waits this long for a configuration from its peers, then reads
 * the platform itself. */
#define CONFIG_PEER_WAIT_US (3 * SECOND)
/* Backup readers read a document that nobody has confirmed for this long ... */
#define BACKUP_READ_AGE_US (5 * SECOND)
/* ... plus this time for each rank, so that they do not all read at once. */
#define BACKUP_READ_STAGGER_US (1 * SECOND)
/* Readers and backup readers together, as a multiple of `config_readers`. */
#define BACKUP_READER_FACTOR 3
#define READ_BACKOFF_MIN_US (500 * MILLISECOND)
#define READ_BACKOFF_MAX_US (8 * SECOND)

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

void node_read_start_due(struct node *node, uint64_t now)
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
        node_accept_document(node, now, kind, revision, body, size);
    node_join_if_ready(node, now);
}
