#include "core/replay_guard.h"

#include "base/memory.h"
#include "core/swarm/bitmap.h"

#include <stdlib.h>
#include <string.h>

static struct replay_window *find_or_add_window(struct replay_guard *guard, uint64_t incarnation)
{
    struct replay_window *oldest = guard->windows;
    for (uint32_t i = 0; i < guard->count; i++) {
        struct replay_window *window = &guard->windows[i];
        if (window->incarnation == incarnation)
            return window;
        if (window->last_used < oldest->last_used)
            oldest = window;
    }
    if (guard->count < REPLAY_GUARD_MAX_GATEWAYS) {
        guard->windows =
            memory_realloc(guard->windows, (guard->count + 1) * sizeof *guard->windows);
        oldest = &guard->windows[guard->count++];
    }
    *oldest = (struct replay_window){.incarnation = incarnation};
    return oldest;
}

static void advance(struct replay_window *window, uint64_t sequence)
{
    if (sequence - window->highest >= REPLAY_GUARD_WINDOW) {
        memset(window->seen, 0, sizeof window->seen);
    } else {
        for (uint64_t passed = window->highest + 1; passed <= sequence; passed++)
            bitmap_clear(window->seen, passed % REPLAY_GUARD_WINDOW);
    }
    window->highest = sequence;
}

bool replay_guard_accept(struct replay_guard *guard, uint64_t incarnation, uint64_t sequence)
{
    struct replay_window *window = find_or_add_window(guard, incarnation);
    window->last_used = ++guard->uses;
    if (sequence > window->highest)
        advance(window, sequence);
    else if (window->highest - sequence >= REPLAY_GUARD_WINDOW)
        return false;
    else if (bitmap_get(window->seen, sequence % REPLAY_GUARD_WINDOW))
        return false;
    bitmap_set(window->seen, sequence % REPLAY_GUARD_WINDOW);
    return true;
}

void replay_guard_clear(struct replay_guard *guard)
{
    free(guard->windows);
    *guard = (struct replay_guard){0};
}
