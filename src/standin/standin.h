/**
 * Stand-ins for the platform and the back ends: for tests and demonstration only.
 *
 * Each is a small process that speaks the protocol of docs/PLATFORM.md over HTTP and can be told to
 * fail with POST /admin/fault {"mode": ...}. One thread for each connection, so handlers may block.
 */
#ifndef SHUNTRUN_STANDIN_H
#define SHUNTRUN_STANDIN_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum standin_fault {
    FAULT_NONE,
    FAULT_REFUSE,  /**< 503 */
    FAULT_STALL,   /**< takes the request and never answers */
    FAULT_SLOW,    /**< answers late */
    FAULT_CORRUPT, /**< wrong bytes (origin) */
    FAULT_STALE,   /**< serves what was newest when the fault began (values) */
    FAULT_DOWN,    /**< closes connections without an answer */
    FAULT_CRASH,   /**< runs the call, then closes without an answer (service) */
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
    /** Bytes of a streamed body; blocks. 0 ends the stream, -1 breaks it. NULL: `body`. */
    ssize_t (*read)(void *context, char *buffer, size_t capacity);
    void (*end)(void *context); /**< after the stream, also a broken one; may be NULL */
    void *context;
};

typedef void standin_handler(void *context, const struct standin_request *request,
                             struct standin_reply *reply);

/** Options that every stand-in has, and the numbers and flags of its own. */
struct standin_options {
    const char *address;
    unsigned port;
    const struct standin_option *extra;
};

struct standin_option {
    const char *name;
    uint64_t *number;
    const char *help;
};

/** \brief Parse flags; ends the process on a wrong one. */
void standin_parse_options(int argc, char **argv, const char *doc, struct standin_options *options,
                           const struct standin_option *extra);

/** \brief Serve until SIGTERM or SIGINT. \return exit status */
int standin_serve(const struct standin_options *options, standin_handler *handler, void *context);

/* Helpers for handlers. */
const char *standin_header(const struct standin_request *request, const char *name);
uint64_t standin_query_number(const struct standin_request *request, const char *name,
                              uint64_t default_value);
void standin_reply_json(struct standin_reply *reply, unsigned status, json_t *body);
bool standin_matches(const struct standin_request *request, const char *method, const char *path);
/** \return the rest of the path after a prefix, or NULL */
const char *standin_path_suffix(const struct standin_request *request, const char *method,
                                const char *prefix);

enum standin_fault standin_fault(void);
/** \brief Handle POST /admin/fault. \return true when it was that */
bool standin_handle_fault_request(const struct standin_request *request,
                                  struct standin_reply *reply);
/**
 * \brief Apply refuse, stall, slow and down before a request is looked at.
 * \return true when `reply` is final
 */
bool standin_apply_fault(struct standin_reply *reply);

uint64_t standin_now_us(void);
void standin_sleep_us(uint64_t duration);

int values_main(int argc, char **argv);
int origin_main(int argc, char **argv);
int engine_main(int argc, char **argv);
int service_main(int argc, char **argv);
int link_main(int argc, char **argv);

#endif
