/**
 * State of a simulated fleet, shared by the files of src/sim/fleet.
 *
 * A process is one start of a gateway or agent on a machine. A message is addressed to the process
 * that held the connection when it was sent: it is lost when that process has ended, and queued
 * while that process is paused.
 */
#ifndef SHUNTRUN_WORLD_H
#define SHUNTRUN_WORLD_H

#include "core/executor.h"
#include "core/node.h"
#include "core/random.h"
#include "core/routing/router.h"
#include "core/routing/routing_view.h"
#include "sim/event_queue.h"
#include "sim/fleet/fleet_sim.h"

#define MILLISECOND 1000ULL
#define SECOND 1000000ULL
#define FIRST_ARRIVAL_US (9 * SECOND) /* until a fleet whose processes start together is ready */
#define NO_PROCESS UINT32_MAX
#define WORLD_MAX_RUNS 256  /* of one back end */
#define CALL_NUMBER_BITS 20 /* a caller handle is attempt << CALL_NUMBER_BITS | call number */
#define WORLD_TOKENS 20     /* of each model answer */

/* A configuration may take effect late for this long after the end of a disturbance. */
#define PROPAGATION_GRACE_US (3 * SECOND)

enum world_event {
    WORLD_TICK,           /* process `to` */
    WORLD_CONTROL,        /* to process, from machine; payload packet */
    WORLD_REQUEST,        /* to agent process, from gateway process; payload packet */
    WORLD_ANSWER,         /* to gateway process, from agent machine; payload packet */
    WORLD_READ,           /* at the platform; payload document_read */
    WORLD_READ_ANSWER,    /* to process; payload document_answer */
    WORLD_SEND_RUN,       /* process `to` sends a run to its back end; payload run_request */
    WORLD_RUN,            /* at the back end of machine `to`; payload run_request */
    WORLD_STEP,           /* the back end of machine `to` makes progress */
    WORLD_BACKEND_ANSWER, /* to process; payload progress */
    WORLD_LOADED,         /* the engine of machine `to` has loaded version `number` */
    WORLD_ARRIVAL,        /* a caller makes a new request */
    WORLD_SUBMIT,         /* to gateway process; `number` is the call */
    WORLD_ENDPOINTS,      /* caller group `number` asks for addresses */
    WORLD_RESPONSE,       /* to call `number`; payload response_event */
    WORLD_DISCONNECT,     /* to gateway process; the caller of attempt `from` has disconnected */
    WORLD_CALLER_TIMEOUT, /* of call `number` */
    WORLD_RETRY,          /* of call `number` */
    WORLD_START,          /* start a process on machine `to` */
    WORLD_FAULT,          /* fault `number` begins */
    WORLD_FAULT_END,
    WORLD_CHECK_CONFIG, /* publication `number` must be in force now */
};

struct packet {
    size_t size;
    bool duplicate; /* a second delivery of the same message */
    uint8_t bytes[];
};

/** A request to a back end to run an attempt, and then the state of that run. */
struct run_request {
    uint32_t process;
    uint64_t run;
    uint64_t attempt;
    uint64_t deadline;
    struct fence fence;
    bool model;
    char digest[DIGEST_HEX_SIZE];
    uint32_t version;
    uint64_t next_token;
    uint32_t steps;     /* of the engine so far */
    uint64_t finish_at; /* plain service */
};

enum progress_kind { PROGRESS_TOKENS, PROGRESS_DONE, PROGRESS_BROKEN, PROGRESS_REFUSED };

struct progress {
    uint64_t run;
    enum progress_kind kind;
    uint64_t offset;
    uint64_t attempt;
    uint32_t version;
};

/** A token, or the answer of the plain service, as the body of a message. */
struct answer_piece {
    uint64_t attempt;
    uint32_t version;
    uint32_t index;
};

struct backend {
    bool model;
    uint32_t loaded; /* version; 0: none */
    uint64_t stalled_until;
    struct run_request runs[WORLD_MAX_RUNS];
    uint32_t run_count;
    uint32_t steps_per_token;
    uint64_t newest_incarnation; /* greatest in a fence so far */
};

struct world_machine {
    struct machine listing;
    uint32_t index; /* in the world; the list is sorted by id */
    uint32_t zone;
    uint32_t process; /* current, or NO_PROCESS */
    uint64_t died_at;
    bool listed_leaving;
    uint64_t leaving_since; /* when it began to stop or was listed as leaving; 0: not leaving */
    bool exempt;            /* was partitioned or paused, so that it could not learn of changes */
    uint32_t cuts;          /* faults `cut` in force */
    uint32_t outward_cuts;
    struct backend backend;
};

struct process {
    struct world *world;
    uint32_t index;
    uint32_t machine;
    bool gateway;
    bool alive;
    bool zombie; /* replaced while it was paused */
    uint64_t started;
    uint64_t paused_until;
    uint64_t incarnation;
    uint64_t stop_began; /* when its planned stop began; 0: none */
    uint64_t loading;    /* version that is being loaded; 0: none */
    struct node *node;
    struct router *router;
    struct routing_view *view;
    struct executor *executor;
    uint64_t newest_sequence[64]; /* by machine modulo 64, for the mutation no-match */
};

enum call_state { CALL_IDLE, CALL_WAITING, CALL_OVER };

/** One logical request of a caller, over all its attempts. */
struct call {
    uint64_t request;
    uint64_t attempt;
    uint32_t tenant;
    uint32_t gateway; /* process that the last attempt was sent to */
    uint32_t attempts_made;
    uint64_t arrived;
    bool model;
    bool unrepeatable;
    enum call_state state;
    char key[TICKET_SIZE + 32];
    uint64_t tokens;
    uint32_t version; /* of the first token */
    bool begun;
    uint64_t source; /* attempt whose run produced the answer */
};

enum response_event_kind { RESPONSE_BEGIN, RESPONSE_DATA, RESPONSE_END, RESPONSE_CLOSED };

struct response_event {
    uint32_t process;
    uint64_t attempt;
    enum response_event_kind kind;
    uint32_t http_status;
    struct router_result completion;
    uint64_t tokens;
    uint64_t offset;
    uint32_t count;
    struct answer_piece bytes;
};

struct publication {
    uint64_t at;
    char *body;
    size_t size;
    bool good;
};

#define WORLD_MAX_PUBLICATIONS 128

struct platform_document {
    struct publication publications[WORLD_MAX_PUBLICATIONS]; /* revision N is at N - 1 */
    uint32_t count;
    uint64_t down_until;
    uint64_t stale_until;
    uint32_t stale_revision;
};

/** Callers of a group share the gateway addresses that they looked up. */
#define CALLER_GROUPS 8

struct caller_group {
    uint32_t gateways[16]; /* machines */
    uint32_t gateway_count;
    char ticket[TICKET_SIZE];
    uint64_t valid_until;
};

struct world {
    struct fleet_sim_options options;
    struct fleet_sim_result result;
    struct checker checker;
    struct event_queue queue;
    uint64_t now; /* microseconds */
    struct random_stream network;
    struct random_stream callers;
    struct random_stream nodes;
    struct random_stream faults;
    struct world_machine *machines;
    struct world_machine **by_id; /* sorted by id */
    uint32_t machine_count;
    struct process *processes;
    uint32_t process_count;
    uint32_t process_capacity;
    struct call *calls;
    uint32_t call_count;
    uint32_t call_capacity;
    struct caller_group groups[CALLER_GROUPS];
    struct platform_document config;
    struct platform_document list;
    uint32_t model_version;
    uint32_t home_variant;
    uint32_t zone_cut; /* bit by zone */
    uint64_t shuffle_until;
    uint64_t disturbed_until; /* a configuration published before may take effect late */
    uint64_t call_window;
    uint64_t calls_in_window;
    uint64_t control_bytes;
    uint64_t arrivals_end;
};

/* world.c */
void world_push(struct world *world, uint64_t delay, enum world_event type, uint32_t to,
                uint32_t from, uint32_t number, void *payload);
void world_trace(struct world *world, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
struct packet *world_pack_message(const Shuntrun__Envelope *message);
uint64_t world_delay(struct world *world, uint32_t from, uint32_t to);
bool world_reachable(const struct world *world, uint32_t from, uint32_t to);
struct process *world_current_process(struct world *world, uint32_t machine);
struct world_machine *world_find(struct world *world, uint64_t id);
/** Deliver a message over a network that may lose, duplicate and reorder it. */
void world_send(struct world *world, enum world_event type, uint32_t from_machine,
                uint32_t to_machine, uint32_t to, uint32_t from, struct packet *packet);

/* world_faults.c */
void world_schedule_faults(struct world *world);
void world_begin_fault(struct world *world, uint32_t number);
void world_end_fault(struct world *world, uint32_t number);

/* processes.c */
void process_start(struct world *world, uint32_t machine);
void process_kill(struct process *process);
void process_handle(struct process *process, const struct event *event);
void process_stop(struct process *process);
uint64_t process_config_serial(const struct process *process);

/* platform.c */
void platform_publish_config(struct world *world, bool good);
void platform_publish_list(struct world *world);
void platform_read(struct process *process, Shuntrun__DocumentKind kind, uint64_t known_revision);
void platform_handle(struct world *world, const struct event *event);

/* backend.c */
void backend_send(struct process *process, struct run_request *run_request);
void backend_run(struct world *world, const struct event *event);
void backend_step(struct world *world, const struct event *event);
void backend_cancel(struct process *process, uint64_t run);
void backend_close_connections(struct world *world, uint32_t machine, uint32_t process,
                               bool notify);

/* callers.c */
void callers_start(struct world *world);
void callers_handle(struct world *world, const struct event *event);
void callers_close_connections(struct world *world, uint32_t process);
/** \param caller caller handle, as given to the router */
void callers_send_response(struct process *gateway, uint64_t caller,
                           struct response_event *response_event);
const char *version_digest(uint32_t version, char hex[DIGEST_HEX_SIZE]);

#endif
