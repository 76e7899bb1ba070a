/**
 * Checks the streamed answer to one request: every token arrived once and in order, all tokens
 * belong to this request and to one version of the weights, and the stream ended with an explicit
 * outcome.
 */
#ifndef SHUNTRUN_ANSWER_CHECK_H
#define SHUNTRUN_ANSWER_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum answer_verdict {
    ANSWER_DONE,
    ANSWER_NOT_RUN, /**< reported as not run */
    ANSWER_UNKNOWN, /**< reported with an unknown outcome */
    ANSWER_LOST,    /**< no outcome line arrived */
    ANSWER_CUT,     /**< reported as done, but the token count is wrong or the version is missing */
    ANSWER_DOUBLED, /**< a token arrived twice */
    ANSWER_MIXED,   /**< a token of another request or version */
    ANSWER_VERDICTS
};

/** \brief Name in the JSON output and the record file. */
const char *answer_verdict_name(enum answer_verdict verdict);

/** Progress of the check; the caller sets the first three members and zeroes the rest. */
struct answer_check {
    const char *prompt; /**< of the request; not owned */
    uint64_t expected_tokens;
    bool verify_tokens; /**< compare each token with that of the engine stand-in */
    uint64_t seed; /**< of the expected tokens, from the digest of the weights and the prompt */
    char version[64];
    bool has_version; /**< the header line, which names the version, arrived */
    uint64_t tokens;  /**< received */
    bool doubled;
    bool mixed;
    bool missing;                    /**< a token index was skipped */
    bool ended;                      /**< an outcome line arrived */
    enum answer_verdict end_verdict; /**< from the outcome line */
    char *line;                      /**< received bytes of an incomplete line; owned */
    size_t line_size;
};

/** \brief Process the next bytes of the stream. \return number of tokens that they completed */
uint32_t answer_check_data(struct answer_check *check, const uint8_t *data, size_t size);

/** \brief Verdict after the end of the connection. */
enum answer_verdict answer_check_verdict(const struct answer_check *check);
/** \brief Free the buffered bytes. */
void answer_check_clear(struct answer_check *check);

#endif
