/**
 * State of a swarm, shared by swarm.c (requests), swarm_neighbours.c (neighbours and their chunks)
 * and swarm_assignments.c (chunks that this node may read from the origin).
 */
#ifndef SHUNTRUN_SWARM_INTERNAL_H
#define SHUNTRUN_SWARM_INTERNAL_H

#include "core/swarm/bitmap.h"
#include "core/random.h"
#include "core/swarm/swarm.h"
#include "core/swarm/swarm_plan.h"

struct neighbour {
    uint64_t id;
    uint64_t *have; /* bitmap, owned */
    uint32_t have_count;
    uint16_t zone;
    uint16_t region;
    bool chosen;     /* selected by this node, otherwise by the neighbour */
    bool needs_full; /* the next update to it must be full */
    bool wants_full; /* its chunk set is out of date: ask for a full update */
    uint32_t in_flight;
    uint32_t upload_queue; /* as last announced */
    uint32_t corrupt;      /* chunks received that did not match their digest */
    uint32_t received;     /* chunks received that matched */
    uint32_t refusals;     /* consecutive */
    uint32_t sequence_in;
    uint32_t sequence_out;
    uint32_t announced; /* number of entries of `arrivals` sent to it */
    uint64_t backoff_until;
    uint64_t last_heard;
    uint64_t last_sent;
};

struct request {
    uint64_t source;
    uint32_t chunk;
    bool probe; /* sent to a member ranked before this node, not for an announced chunk */
    uint64_t started;
    uint64_t deadline;
};

/* A chunk whose preference list names this node. */
struct read_assignment {
    uint32_t chunk;
    uint8_t position; /* of this node in the preference list */
    uint8_t next;     /* entry of the preference list to ask next; == position: the origin */
    uint8_t pending;  /* consecutive busy or pending answers */
    bool asking;
    uint64_t not_before;
};

struct swarm {
    struct swarm_settings settings;
    struct swarm_driver driver;
    struct swarm_plan *plan;
    struct swarm_counters counters;
    struct random_stream random;
    uint64_t self;
    uint64_t rollout;
    uint16_t zone;
    uint16_t region;
    uint32_t chunk_count;
    size_t words;
    uint64_t started;
    uint64_t *have;
    uint64_t *open;         /* missing and not in flight */
    uint16_t *availability; /* number of neighbours that hold each chunk */
    uint32_t *arrivals;     /* chunks in order of arrival */
    uint32_t held;
    uint32_t upload_queue;
    struct neighbour neighbours[SWARM_MAX_NEIGHBOURS];
    uint32_t neighbour_count;
    struct request requests[SWARM_MAX_IN_FLIGHT];
    uint32_t request_count;
    uint32_t downloads; /* requests that count against the window */
    uint32_t origin_reads;
    uint64_t origin_backoff_until;
    uint64_t mean_chunk_us;
    struct read_assignment *assignments;
    uint32_t assignment_count;
    uint64_t *unresponsive; /* ids of members whose probes failed */
    uint32_t unresponsive_count;
};

/* swarm.c */
void swarm_start_request(struct swarm *swarm, uint64_t now, uint64_t source, uint32_t chunk,
                         bool probe);

/* swarm_neighbours.c */
struct neighbour *swarm_find_neighbour(struct swarm *swarm, uint64_t id);
void swarm_fill_neighbours(struct swarm *swarm, uint64_t now);
void swarm_drop_former_members(struct swarm *swarm);
void swarm_replace_silent_neighbours(struct swarm *swarm, uint64_t now);
void swarm_send_announcements(struct swarm *swarm, uint64_t now);
/** \return false if the update is for another rollout or its sender is not a member */
bool swarm_apply_update(struct swarm *swarm, uint64_t now, uint64_t peer,
                        const struct swarm_update *update);

/* swarm_assignments.c */
void swarm_collect_assignments(struct swarm *swarm);
void swarm_start_due_assignments(struct swarm *swarm, uint64_t now);
void swarm_drop_completed_assignments(struct swarm *swarm, uint32_t chunk);
void swarm_assignment_failed(struct swarm *swarm, uint64_t now, const struct request *request,
                             enum swarm_failure failure);
void swarm_clear_unresponsive(struct swarm *swarm, uint64_t id);

#endif
