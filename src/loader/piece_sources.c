#include "loader/piece_sources.h"

#include "core/swarm.h"

/** A connection to the origin, which accepts few, is closed after so long without use. */
#define ORIGIN_IDLE_US 250000

static struct piece_source *find(struct piece_sources *sources, uint64_t id)
{
    for (uint32_t i = 0; i < sources->count; i++)
        if (sources->list[i].id == id)
            return &sources->list[i];
    return NULL;
}

struct http_caller *piece_sources_get(struct piece_sources *sources, uint64_t id)
{
    struct piece_source *source = find(sources, id);
    if (source)
        return source->caller;
    if (sources->count == PIECE_SOURCES_MOST)
        return NULL;
    struct sockaddr_in address =
        id == SWARM_ORIGIN ? sources->origin : cluster_address(sources->cluster, (uint32_t)id);
    source = &sources->list[sources->count++];
    *source = (struct piece_source){.id = id,
                                    .caller = http_caller_create(sources->cluster->loop, &address)};
    return source->caller;
}

void piece_sources_cancel(struct piece_sources *sources, uint64_t id)
{
    struct piece_source *source = find(sources, id);
    if (source)
        source->cancelled = true;
}

void piece_sources_tick(struct piece_sources *sources)
{
    for (uint32_t i = 0; i < sources->count; i++) {
        struct piece_source *source = &sources->list[i];
        bool cancelled = source->cancelled;
        source->cancelled = false;
        if (cancelled)
            http_caller_abort(source->caller);
        if (source->id == SWARM_ORIGIN)
            http_caller_rest(source->caller, ORIGIN_IDLE_US);
    }
}

void piece_sources_close(struct piece_sources *sources)
{
    for (uint32_t i = 0; i < sources->count; i++)
        http_caller_destroy(sources->list[i].caller);
    sources->count = 0;
}
