/**
 * Check of one caller's answer: whole, its own, from one version, ended explicitly.
 */
#ifndef SHUNTRUN_ANSWER_CHECK_H
#define SHUNTRUN_ANSWER_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum answer_verdict {
    ANSWER_DONE,
    ANSWER_NOT_RUN,
    ANSWER_UNKNOWN,
    ANSWER_LOST,    /**< no final word came */
    ANSWER_CUT,     /**< said to be done, but tokens are missing */
    ANSWER_DOUBLED, /**< a token came twice */
    ANSWER_MIXED,   /**< a token of another request or version */
    ANSWER_VERDICTS
};

const char *answer_verdict_name(enum answer_verdict verdict);

struct answer_check {
    const char *prompt;
    uint64_t expected_tokens;
    bool verify_tokens; /**< tokens are those of the engine stand-in */
    uint64_t seed;
    char version[64];
    bool has_version; /**< the first line named a version */
    uint64_t tokens;
    bool doubled;
    bool mixed;
    bool missing;
    bool ended;
    enum answer_verdict end_verdict; /**< of the last line */
    char *line;
    size_t line_size;
};

/** \brief Take the next bytes of a stream. \return tokens that they completed */
uint32_t answer_check_data(struct answer_check *check, const uint8_t *data, size_t size);

/** \brief Verdict once the connection ended. */
enum answer_verdict answer_check_verdict(const struct answer_check *check);
void answer_check_clear(struct answer_check *check);

#endif
