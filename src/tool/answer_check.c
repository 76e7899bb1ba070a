#include "tool/answer_check.h"

#include "base/memory.h"
#include "core/hash.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_LINE_BYTES 65536

const char *answer_verdict_name(enum answer_verdict verdict)
{
    static const char *const names[] = {"done", "not_run", "unknown", "lost",
                                        "cut",  "doubled", "mixed"};
    return names[verdict];
}

static void check_token(struct answer_check *check, uint64_t index, const char *text)
{
    char expected[16];
    if (index < check->tokens)
        check->doubled = true;
    else if (index > check->tokens)
        check->missing = true;
    snprintf(expected, sizeof expected, "%06" PRIx64, hash_pair(check->seed, index) & 0xffffff);
    if (check->verify_tokens && (!text || strcmp(text, expected) != 0))
        check->mixed = true;
    check->tokens++;
}

static void check_end_line(struct answer_check *check, const char *end, const char *outcome)
{
    check->ended = true;
    if (strcmp(end, "done") == 0)
        check->end_verdict = ANSWER_DONE;
    else
        check->end_verdict =
            outcome && strcmp(outcome, "not-run") == 0 ? ANSWER_NOT_RUN : ANSWER_UNKNOWN;
}

/* A line is a header ({"digest", "version"}), a token ({"i", "t"}) or an outcome ({"end",
 * "outcome"}). \return whether it is a token */
static bool check_line(struct answer_check *check, const char *line, size_t size)
{
    json_t *root = json_loadb(line, size, 0, NULL);
    const json_t *index = json_object_get(root, "i");
    const char *end = json_string_value(json_object_get(root, "end"));
    const char *digest = json_string_value(json_object_get(root, "digest"));
    bool token = json_is_integer(index);
    if (token) {
        check_token(check, (uint64_t)json_integer_value(index),
                    json_string_value(json_object_get(root, "t")));
    } else if (digest) {
        const char *version = json_string_value(json_object_get(root, "version"));
        check->mixed |= check->has_version; /* a second header */
        check->has_version = true;
        check->seed = hash_pair(hash_name(digest), hash_name(check->prompt));
        snprintf(check->version, sizeof check->version, "%s", version ? version : "");
    } else if (end) {
        check_end_line(check, end, json_string_value(json_object_get(root, "outcome")));
    }
    json_decref(root);
    return token;
}

uint32_t answer_check_data(struct answer_check *check, const uint8_t *data, size_t size)
{
    uint32_t tokens = 0;
    if (check->line_size + size > MAX_LINE_BYTES)
        return 0;
    check->line = memory_realloc(check->line, check->line_size + size);
    memcpy(check->line + check->line_size, data, size);
    check->line_size += size;
    size_t start = 0;
    for (size_t i = 0; i < check->line_size; i++) {
        if (check->line[i] != '\n')
            continue;
        tokens += check_line(check, check->line + start, i + 1 - start);
        start = i + 1;
    }
    check->line_size -= start;
    memmove(check->line, check->line + start, check->line_size);
    return tokens;
}

enum answer_verdict answer_check_verdict(const struct answer_check *check)
{
    if (check->mixed)
        return ANSWER_MIXED;
    if (check->doubled)
        return ANSWER_DOUBLED;
    if (!check->ended)
        return ANSWER_LOST;
    bool whole = check->tokens == check->expected_tokens && !check->missing && check->has_version;
    if (check->end_verdict == ANSWER_DONE && !whole)
        return ANSWER_CUT;
    return check->end_verdict;
}

void answer_check_clear(struct answer_check *check)
{
    free(check->line);
    check->line = NULL;
}
