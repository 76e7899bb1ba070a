/**
 * Classifies the HTTP answer of a backend: what it means for the request, and which backoff it sets
 * for the backend.
 */
#ifndef SHUNTRUN_BACKEND_ANSWER_H
#define SHUNTRUN_BACKEND_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

/** What an answer says of the rate of requests that its backend accepts. */
enum rate_statement {
    RATE_UNLIMITED, /**< names no limit */
    RATE_LIMITED,
    RATE_UNKNOWN, /**< says nothing: its limit cannot be parsed, or it is not proven to come from
                     the backend */
};

/** The parts of an answer's status and headers that decide its class, and what they state about the
 * backend. */
struct answer_properties {
    unsigned status;         /**< HTTP status code */
    bool sealed;             /**< carries the backend's signature (response seal) */
    bool not_executed;       /**< the backend guarantees that it did not run the request */
    bool encoded;            /**< has a content encoding that the request did not accept */
    bool leaving;            /**< the backend is about to shut down */
    uint64_t retry_after_ms; /**< Retry-After; 0: not given */
    enum rate_statement rate;
    double rate_limit_per_s; /**< with RATE_LIMITED: requests that it accepts from all gateways */
};

/** What an answer means for its request. */
enum answer_class {
    ANSWER_SUCCEEDED,   /**< a success that may be forwarded to the client */
    ANSWER_NOT_RUN,     /**< the backend did not run the request and never will */
    ANSWER_MISDIRECTED, /**< not run: another backend has this address, or it has other weights */
    ANSWER_UNVERIFIED,  /**< not proven to come from the backend: the request may have run */
    ANSWER_FAILED,      /**< the backend ran the request and reports a failure, or rejects it */
};

/** \brief Classify an answer by its status and headers. */
enum answer_class classify_answer(const struct answer_properties *answer);
/** \return what the answer states about its backend's rate. Only a proven answer of the backend
 * shows by the absence of a limit that there is none. */
enum rate_statement answer_rate_statement(const struct answer_properties *answer);
/** \return the backoff that the backend asks for, microseconds; 0: none */
uint64_t answer_backoff_us(const struct answer_properties *answer);

#endif
