#include "core/crash/prompt_part.h"

#include "core/hash.h"

#include <string.h>

#define PART_HASH_SEED ((uint64_t)0x70617274)

struct prompt_part prompt_part_of(const char *service, uint64_t id, uint32_t position)
{
    struct prompt_part part = {.id = id, .position = position};
    uint64_t first = hash_pair(hash_name(service), id);
    uint64_t words[2] = {first, hash_pair(first, PART_HASH_SEED)};
    memcpy(part.identity.bytes, words, sizeof part.identity.bytes);
    return part;
}

static uint64_t key_of(const struct request_identity *part)
{
    uint64_t key;
    memcpy(&key, part->bytes, sizeof key);
    return key;
}

void sound_parts_record(struct sound_parts *parts, const struct request_identity *part, uint64_t at)
{
    uint64_t key = key_of(part);
    struct sound_part *set = parts->sets[key % SOUND_PARTS_SETS];
    struct sound_part *chosen = &set[0];
    for (uint32_t i = 0; i < SOUND_PARTS_PER_SET; i++) {
        if (set[i].key == key) {
            chosen = &set[i];
            break;
        }
        if (set[i].at < chosen->at)
            chosen = &set[i];
    }
    *chosen = (struct sound_part){key, at};
}

uint64_t sound_parts_last(const struct sound_parts *parts, const struct request_identity *part)
{
    uint64_t key = key_of(part);
    const struct sound_part *set = parts->sets[key % SOUND_PARTS_SETS];
    for (uint32_t i = 0; i < SOUND_PARTS_PER_SET; i++)
        if (set[i].key == key)
            return set[i].at;
    return 0;
}
