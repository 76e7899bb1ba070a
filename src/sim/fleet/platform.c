/**
 * Simulated platform: the configuration service and the machine list, which nodes read and watch.
 */
#include "base/memory.h"
#include "sim/fleet/world.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_US (2 * SECOND)
#define POLL_US (20 * MILLISECOND) /* interval at which a watch checks for a new revision */
#define PLATFORM_DELAY_US (2 * MILLISECOND)
#define LIST_LAG_US (1 * SECOND)
#define READ_TIMEOUT_US (1 * SECOND)

struct document_read {
    uint32_t process;
    Shuntrun__DocumentKind kind;
    uint64_t known;
    uint64_t deadline;
};

struct document_answer {
    Shuntrun__DocumentKind kind;
    enum node_read_result result;
    uint64_t revision;
    const struct publication *publication;
};

static struct platform_document *document_of(struct world *world, Shuntrun__DocumentKind kind)
{
    return kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG ? &world->config : &world->list;
}

static struct publication *publish(struct platform_document *value, uint64_t at, char *body)
{
    if (value->count == WORLD_MAX_PUBLICATIONS)
        abort();
    struct publication *publication = &value->publications[value->count++];
    *publication = (struct publication){at, body, strlen(body), true};
    return publication;
}

static void append(char **text, size_t *size, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

static void append(char **text, size_t *size, const char *format, ...)
{
    char part[512];
    va_list arguments;
    va_start(arguments, format);
    int length = vsnprintf(part, sizeof part, format, arguments);
    va_end(arguments);
    *text = memory_realloc(*text, *size + (size_t)length + 1);
    memcpy(*text + *size, part, (size_t)length + 1);
    *size += (size_t)length;
}

/* Appends the machines assigned to the plain service: all its agents, or all but one. */
static void append_homes(struct world *world, char **text, size_t *size)
{
    bool first = true;
    uint32_t place = 0;
    for (uint32_t i = 0; i < world->machine_count; i++) {
        const struct machine *machine = &world->machines[i].listing;
        if (!machine->service_count)
            continue;
        uint32_t left_out =
            world->home_variant ? world->home_variant % world->options.services : UINT32_MAX;
        if (place++ == left_out)
            continue;
        append(text, size, "%s\"%s\"", first ? "" : ", ", machine->name);
        first = false;
    }
}

void platform_publish_config(struct world *world, bool good)
{
    char hex[DIGEST_HEX_SIZE];
    char *text = NULL;
    size_t size = 0;
    uint32_t serial = world->config.count + 1;
    append(&text, &size,
           "{\"models\": [{\"name\": \"script\", \"version\": \"v%u\", \"manifest\": \"%s\", "
           "\"accelerators\": 8}], \"services\": [{\"name\": \"script\", \"kind\": \"model\", "
           "\"model\": \"script\"}, {\"name\": \"seats\", \"kind\": \"plain\", \"machines\": [",
           world->model_version, version_digest(world->model_version, hex));
    append_homes(world, &text, &size);
    append(&text, &size, "]}], \"tenants\": [");
    for (uint32_t i = 0; i < world->options.tenants; i++)
        append(&text, &size, "%s{\"name\": \"tenant-%u\", \"weight\": %u}", i ? ", " : "", i,
               i < 2 ? 8 : 1);
    append(&text, &size, "], \"policy\": \"-- serial %u\\n%s\"}", serial,
           good ? "" : "function place() return 1 / nil end");
    publish(&world->config, world->now, text)->good = good;
    world_trace(world, "publish config %u %s version v%u homes %u", serial, good ? "good" : "bad",
                world->model_version, world->home_variant);
    if (good)
        world_push(world, CHECKER_CONFIG_LIMIT_US, WORLD_CHECK_CONFIG, 0, 0, serial, NULL);
}

void platform_publish_list(struct world *world)
{
    char *text = NULL;
    size_t size = 0;
    append(&text, &size, "{\"machines\": [");
    for (uint32_t i = 0; i < world->machine_count; i++) {
        const struct machine *machine = &world->machines[i].listing;
        append(&text, &size,
               "%s{\"name\": \"%s\", \"role\": \"%s\", \"zone\": \"%s\", \"region\": \"%s\", "
               "\"address\": \"%s\", \"accelerators\": %u, \"services\": [%s], \"state\": \"%s\"}",
               i ? ", " : "", machine->name, machine->role == MACHINE_GATEWAY ? "gateway" : "agent",
               machine->zone, machine->region, machine->address, machine->accelerators,
               machine->service_count ? "\"seats\"" : "",
               world->machines[i].listed_leaving ? "leaving" : "live");
    }
    append(&text, &size, "]}");
    publish(&world->list, world->now + (world->list.count ? LIST_LAG_US : 0), text);
}

/* ---- reads ---- */

static uint32_t visible_revision(const struct world *world, const struct platform_document *value)
{
    uint32_t newest = value->count;
    while (newest && value->publications[newest - 1].at > world->now)
        newest--;
    bool stale = world->now < value->stale_until && value->stale_revision;
    return stale && value->stale_revision < newest ? value->stale_revision : newest;
}

static void count_platform_call(struct world *world)
{
    if (world->now / SECOND != world->call_window) {
        world->call_window = world->now / SECOND;
        world->calls_in_window = 0;
    }
    world->result.platform_calls++;
    if (++world->calls_in_window > world->result.peak_platform_calls)
        world->result.peak_platform_calls = world->calls_in_window;
}

void platform_read(struct process *process, Shuntrun__DocumentKind kind, uint64_t known_revision)
{
    struct world *world = process->world;
    struct document_read *read = memory_calloc(1, sizeof *read);
    *read = (struct document_read){process->index, kind, known_revision, world->now + WATCH_US};
    count_platform_call(world);
    world_push(world, PLATFORM_DELAY_US, WORLD_READ, 0, process->machine, 0, read);
}

static void answer_read(struct world *world, const struct document_read *read,
                        enum node_read_result result, uint32_t revision, uint64_t delay)
{
    struct document_answer *answer = memory_calloc(1, sizeof *answer);
    answer->kind = read->kind;
    answer->result = result;
    answer->revision = result == NODE_READ_NEWER ? revision : UINT64_MAX;
    if (result == NODE_READ_NEWER)
        answer->publication = &document_of(world, read->kind)->publications[revision - 1];
    world_push(world, delay, WORLD_READ_ANSWER, read->process, 0, 0, answer);
}

/* A partitioned machine cannot reach the platform either. */
static bool platform_unreachable(const struct world *world, const struct platform_document *value,
                                 uint32_t machine)
{
    const struct world_machine *entry = &world->machines[machine];
    return world->now < value->down_until || entry->cuts || entry->outward_cuts;
}

static void on_read(struct world *world, const struct event *event)
{
    const struct document_read *read = event->payload;
    struct platform_document *value = document_of(world, read->kind);
    if (platform_unreachable(world, value, event->from)) {
        answer_read(world, read, NODE_READ_FAILED, 0, READ_TIMEOUT_US);
        return;
    }
    uint32_t revision = visible_revision(world, value);
    bool stale = world->now < value->stale_until;
    if (revision > read->known || (stale && revision && revision < read->known)) {
        answer_read(world, read, NODE_READ_NEWER, revision, PLATFORM_DELAY_US);
    } else if (world->now >= read->deadline) {
        answer_read(world, read, NODE_READ_UNCHANGED, 0, PLATFORM_DELAY_US);
    } else {
        struct document_read *again = memory_duplicate(read, sizeof *read);
        world_push(world, POLL_US, WORLD_READ, 0, event->from, 0, again);
    }
}

void platform_handle(struct world *world, const struct event *event)
{
    if (event->type == WORLD_READ) {
        on_read(world, event);
        return;
    }
    struct process *process = &world->processes[event->to];
    const struct document_answer *answer = event->payload;
    const struct publication *publication = answer->publication;
    uint64_t revision = answer->revision;
    if (world->options.mutation == FLEET_MUTATION_NO_REVISION && publication &&
        answer->kind == SHUNTRUN__DOCUMENT_KIND__DOCUMENT_CONFIG)
        revision = world->now; /* makes every revision look newer than the last */
    node_on_read(process->node, world->now, answer->kind, answer->result, revision,
                 publication ? publication->body : NULL, publication ? publication->size : 0);
}
