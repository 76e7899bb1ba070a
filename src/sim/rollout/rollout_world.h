/**
 * State of a simulated rollout, shared by the files of src/sim/rollout.
 */
#ifndef SHUNTRUN_ROLLOUT_WORLD_H
#define SHUNTRUN_ROLLOUT_WORLD_H

#include "core/random.h"
#include "core/swarm/swarm.h"
#include "sim/event_queue.h"
#include "sim/rollout/rollout_sim.h"

#define NANOSECONDS_PER_SECOND 1e9
#define ORIGIN UINT32_MAX
#define REQUEST_BYTES 180 /* of an HTTP request for a chunk and its response headers */
#define UPDATE_BYTES 90   /* of an update without its chunk sets */
#define RESTART_SECONDS 5.0
#define CONFIG_SPREAD_SECONDS 2.0 /* a new configuration reaches machines within this time */
#define CONTENT_VERSION_SHIFT 20

enum event_type {
    EVENT_TICK,           /* of machine `to` */
    EVENT_REQUEST,        /* `from` requests the chunk with content id `number` from `to` */
    EVENT_LINK_ARRIVAL,   /* the chunk has reached the link of `to` */
    EVENT_CHUNK_RECEIVED, /* the chunk has passed the link of `to` */
    EVENT_REFUSE,         /* `from` refused the request of `to`; payload refusal */
    EVENT_UPDATE,         /* payload update_copy */
    EVENT_DIE,
    EVENT_RESTART, /* `to` crashes and restarts without its chunks */
    EVENT_REJOIN,
    EVENT_STALL,
    EVENT_PAUSE,
    EVENT_NEW_VERSION, /* `to` gets the configuration with the new version */
    EVENT_LIST_UPDATE, /* the machine list is updated with the machines that are down */
    EVENT_ORIGIN_DOWN,
    EVENT_ORIGIN_UP,
    EVENT_PARTITION,
    EVENT_HEAL,
    EVENT_ORIGIN_SEND, /* the origin sends its next chunk (baselines) */
};

/*
 * A content id stands for the digest of a chunk's bytes: it combines the version and the chunk
 * index. A chunk that both versions share has one content id.
 */

struct refusal {
    enum swarm_failure failure;
    uint64_t retry_after_us;
};

struct update_copy {
    struct swarm_update update;
    uint32_t incarnation; /* of the sender */
    uint64_t words[];     /* the bitmap, then the chunk numbers */
};

struct link {
    uint64_t busy_until; /* nanoseconds */
    double nanoseconds_per_byte;
};

struct simulated_machine {
    struct rollout_sim *sim;
    struct link link;
    struct swarm *swarm;
    uint64_t id;
    uint32_t index;
    uint16_t zone;
    uint16_t region;
    uint32_t version;     /* target version; 0 or 1 */
    uint32_t incarnation; /* incremented on each restart and version change */
    uint32_t uploads;     /* queued or running */
    uint64_t paused_until;
    bool alive;
    bool stalled;
    bool listed;
    bool serves;          /* the newest version */
    uint32_t held_chunks; /* chunks, of the baselines only */
    uint32_t *content;    /* content id at each chunk index; the checker's own record */
    uint64_t control_bytes;
};

struct rollout_sim {
    struct rollout_options options;
    struct event_queue queue;
    struct random_stream random;
    uint64_t now; /* nanoseconds */
    uint32_t chunk_count;
    struct simulated_machine *machines;
    struct link origin;
    bool origin_down;
    bool partitioned;
    struct swarm_plan *plans[2]; /* by version */
    uint32_t newest;
    uint32_t serving;
    uint64_t *serve_times; /* in ascending order, as events come in order of time */
    uint32_t serve_count;
    uint32_t next_receiver;
    uint32_t next_origin_chunk;
    struct rollout_result result;
};

/* rollout_machines.c */
uint64_t rollout_sim_chunk_length(const struct rollout_sim *sim, uint32_t chunk);
void rollout_sim_charge_control(struct simulated_machine *machine, uint64_t bytes);
uint64_t rollout_sim_seconds(double value);
uint64_t rollout_sim_reserve_link(struct link *link, uint64_t now, uint64_t bytes);
uint64_t rollout_sim_delay(const struct rollout_sim *sim, uint32_t left, uint32_t right);
bool rollout_sim_reachable(const struct rollout_sim *sim, uint32_t left, uint32_t right);
void rollout_sim_push(struct rollout_sim *sim, uint64_t time, enum event_type type, uint32_t to,
                      uint32_t from, uint32_t number, void *payload);
uint32_t rollout_sim_chunk_index(uint32_t content_id);
bool rollout_sim_is_wanted(const struct simulated_machine *machine, uint32_t content_id);
void rollout_sim_start_machine(struct simulated_machine *machine, uint64_t join_delay_us);
void rollout_sim_stop_serving(struct simulated_machine *machine);
void rollout_sim_serve_when_complete(struct simulated_machine *machine);
void rollout_sim_check_load(struct simulated_machine *machine);
struct swarm_plan *rollout_sim_plan(struct rollout_sim *sim, uint32_t version);
void rollout_sim_clear_content(struct simulated_machine *machine);

/* rollout_transfers.c */
void rollout_sim_send_from_origin(struct rollout_sim *sim);
void rollout_sim_on_update(struct rollout_sim *sim, const struct event *event);
void rollout_sim_on_refuse(struct rollout_sim *sim, const struct event *event);
void rollout_sim_on_chunk_received(struct rollout_sim *sim, const struct event *event);
void rollout_sim_on_link_arrival(struct rollout_sim *sim, const struct event *event);
void rollout_sim_on_request(struct rollout_sim *sim, const struct event *event);
void rollout_sim_on_tick(struct rollout_sim *sim, const struct event *event);

/* rollout_faults.c */
void rollout_sim_schedule_faults(struct rollout_sim *sim);
bool rollout_sim_defer(struct rollout_sim *sim, const struct event *event);
bool rollout_sim_delay_or_duplicate(struct rollout_sim *sim, const struct event *event);
uint64_t rollout_sim_pause_length(struct rollout_sim *sim);
void rollout_sim_on_rejoin(struct rollout_sim *sim, const struct event *event);
void rollout_sim_on_list_update(struct rollout_sim *sim);
void rollout_sim_stall_machine(struct rollout_sim *sim, const struct event *event);
void rollout_sim_kill_machine(struct rollout_sim *sim, const struct event *event, bool rejoins);
void rollout_sim_on_new_version(struct rollout_sim *sim, const struct event *event);

#endif
