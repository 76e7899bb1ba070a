/**
 * Stand-ins (fake servers) for the platform and the backends, for tests and the demonstration only.
 *
 * Each is a small process that implements the HTTP protocol of docs/PLATFORM.md. POST /admin/fault
 * {"mode": ...} makes it inject a fault. Each connection has its own thread, so handlers may block.
 */
#ifndef SHUNTRUN_STANDIN_H
#define SHUNTRUN_STANDIN_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/** Injected fault; `mode` of POST /admin/fault is the name after FAULT_, in lower case. */
enum standin_fault {
    FAULT_NONE,
    FAULT_REFUSE,  /**< answers 503 */
    FAULT_STALL,   /**< accepts requests, answers none while the fault lasts */
    FAULT_SLOW,    /**< delays answers */
    FAULT_CORRUPT, /**< serves altered bytes (origin) */
    FAULT_STALE,   /**< serves an old revision while the fault lasts (values) */
    FAULT_DOWN,    /**< closes connections without an answer */
    FAULT_CRASH,   /**< executes the call, then closes without an answer (service) */
    FAULT_COUNT
};

struct standin_request {
    const char *method;
    const char *path;
    const char *body;
    size_t size;
    struct MHD_Connection *connection;
};

#define STANDIN_MAX_HEADERS 4

struct standin_reply {
    unsigned status; /**< 0: close the connection without an answer */
    char *body;      /**< freed after use */
    size_t size;
    const char *headers[STANDIN_MAX_HEADERS][2];
    /**
     * Reads up to `capacity` bytes of a streamed body; may block. \return bytes read, 0 at the end,
     * -1 to abort the connection. NULL: the reply is `body`.
     */
    ssize_t (*read)(void *context, char *buffer, size_t capacity);
    void (*end)(void *context); /**< releases `context` after the stream, also an aborted one; may
                                   be NULL */
    void *context;
};

/** Handles one request; may block. `reply` is zeroed before the call. */
typedef void standin_handler(void *context, const struct standin_request *request,
                             struct standin_reply *reply);

/** The options common to all stand-ins, and the extra options of one of them. */
struct standin_options {
    const char *address;
    unsigned port;
    const struct standin_option *extra; /**< ended by an entry without a name; may be NULL */
};

/** An extra option with a whole number; the number is 0 or 1 for a switch. */
struct standin_option {
    const char *name;
    uint64_t *number; /**< default before parsing, parsed value after */
    const char *help;
};

/** \brief Parse command-line options; exits the process if one is invalid. */
void standin_parse_options(int argc, char **argv, const char *doc, struct standin_options *options,
                           const struct standin_option *extra);

/** \brief Serve until SIGTERM or SIGINT. \return exit status */
int standin_serve(const struct standin_options *options, standin_handler *handler, void *context);

/** \return the value of a request header, or NULL */
const char *standin_header(const struct standin_request *request, const char *name);
/** \return a number from the query string, or `default_value` when it is absent */
uint64_t standin_query_number(const struct standin_request *request, const char *name,
                              uint64_t default_value);
/** \brief Set status and body; releases `body`. */
void standin_reply_json(struct standin_reply *reply, unsigned status, json_t *body);
/** \return whether the request has this method and this exact path */
bool standin_matches(const struct standin_request *request, const char *method, const char *path);
/** \return the rest of the path after `prefix`, or NULL when method or prefix differ */
const char *standin_path_suffix(const struct standin_request *request, const char *method,
                                const char *prefix);

/** \return the fault that is injected now */
enum standin_fault standin_fault(void);
/** \brief Handle POST /admin/fault. \return true when `request` was one */
bool standin_handle_fault_request(const struct standin_request *request,
                                  struct standin_reply *reply);
/**
 * \brief Apply the faults refuse, stall, slow and down before a request is handled.
 * \return true when `reply` is complete and the request must not be handled
 */
bool standin_apply_fault(struct standin_reply *reply);

/** \return monotonic time in us */
uint64_t standin_now_us(void);
void standin_sleep_us(uint64_t duration);

/* Entry points of the stand-ins; argv[0] is the name of the stand-in. \return exit status */
int values_main(int argc, char **argv);
int origin_main(int argc, char **argv);
int engine_main(int argc, char **argv);
int service_main(int argc, char **argv);
int link_main(int argc, char **argv);

#endif
