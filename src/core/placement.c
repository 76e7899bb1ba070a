#include "core/placement.h"

#include "base/memory.h"
#include "core/hash.h"
#include "core/ids.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

struct candidate {
    uint32_t machine;
    double score;
    uint64_t id;
};

static int compare_candidates(const void *left, const void *right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    if (a->score != b->score)
        return a->score > b->score ? -1 : 1;
    return a->id < b->id ? -1 : a->id > b->id;
}

/* Weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1). */
static double weighted_score(uint64_t hash, double weight)
{
    double uniform = ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
    return -weight / log(uniform);
}

const char *placement_reason_text(enum placement_reason reason)
{
    static const char *const texts[] = {"chosen",
                                        "policy weight 0",
                                        "leaving",
                                        "no free accelerators",
                                        "zone has its maximum of replicas",
                                        "enough machines rank higher",
                                        "no engine"};
    return texts[reason];
}

/* Number of distinct strings in the field at `offset` of all machines. Linear search: there are
 * few. */
static uint32_t count_distinct(const struct fleet *fleet, size_t offset)
{
    const char **names = memory_calloc(fleet->count, sizeof *names);
    uint32_t distinct = 0;
    for (uint32_t i = 0; i < fleet->count; i++) {
        const char *name = (const char *)&fleet->machines[i] + offset;
        uint32_t at = 0;
        while (at < distinct && strcmp(names[at], name) != 0)
            at++;
        if (at == distinct)
            names[distinct++] = name;
    }
    free(names);
    return distinct;
}

struct fleet_summary fleet_summarize(const struct fleet *fleet)
{
    struct fleet_summary summary = {
        .zones = count_distinct(fleet, offsetof(struct machine, zone)),
        .regions = count_distinct(fleet, offsetof(struct machine, region)),
    };
    for (uint32_t i = 0; i < fleet->count; i++)
        summary.machines += fleet->machines[i].role == MACHINE_AGENT;
    return summary;
}

/* Number of replicas already placed in a zone. */
static uint32_t replicas_in_zone(const struct fleet *fleet, const struct model_placement *placement,
                                 const char *zone)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < placement->target_count; i++)
        count += strcmp(fleet->machines[placement->targets[i]].zone, zone) == 0;
    return count;
}

static enum placement_reason eligibility(const struct machine *machine, uint32_t free_accelerators,
                                         const struct model_config *model, double weight)
{
    if (machine->role != MACHINE_AGENT || machine->accelerators == 0)
        return PLACEMENT_NO_ENGINE;
    if (machine->leaving)
        return PLACEMENT_LEAVING;
    if (!(weight > 0))
        return PLACEMENT_NOT_ELIGIBLE;
    if (free_accelerators < model->accelerators)
        return PLACEMENT_NO_FREE_ACCELERATORS;
    return PLACEMENT_ENOUGH_REPLICAS;
}

static uint32_t list_candidates(const struct fleet *fleet, const struct model_config *model,
                                struct policy *policy, const uint32_t *free_accelerators,
                                struct model_placement *placement, struct candidate *candidates,
                                struct findings *findings)
{
    uint64_t key = hash_name(model->name);
    uint32_t count = 0;
    for (uint32_t i = 0; i < fleet->count; i++) {
        const struct machine *machine = &fleet->machines[i];
        bool engine = machine->role == MACHINE_AGENT && machine->accelerators;
        double weight = engine && policy ? policy_place(policy, model, machine, findings) : 1;
        enum placement_reason reason = eligibility(machine, free_accelerators[i], model, weight);
        placement->reasons[i] = reason;
        if (reason == PLACEMENT_ENOUGH_REPLICAS)
            candidates[count++] = (struct candidate){
                i, weighted_score(hash_pair(key, machine->id), weight), machine->id};
    }
    qsort(candidates, count, sizeof *candidates, compare_candidates);
    return count;
}

static int compare_indexes(const void *left, const void *right)
{
    uint32_t a = *(const uint32_t *)left;
    uint32_t b = *(const uint32_t *)right;
    return a < b ? -1 : a > b;
}

static void choose_targets(const struct fleet *fleet, const struct candidate *candidates,
                           uint32_t count, double spread, struct model_placement *placement)
{
    uint32_t zone_bound = (uint32_t)ceil(placement->wanted * spread);
    for (uint32_t i = 0; i < count && placement->target_count < placement->wanted; i++) {
        uint32_t machine = candidates[i].machine;
        bool full = spread < 1 &&
                    replicas_in_zone(fleet, placement, fleet->machines[machine].zone) >= zone_bound;
        placement->reasons[machine] = full ? PLACEMENT_ZONE_FULL : PLACEMENT_CHOSEN;
        if (!full)
            placement->targets[placement->target_count++] = machine;
    }
    qsort(placement->targets, placement->target_count, sizeof *placement->targets, compare_indexes);
}

static void place_model(const struct model_config *model, const struct fleet *fleet,
                        const struct fleet_summary *summary, struct policy *policy,
                        uint32_t *free_accelerators, struct model_placement *placement,
                        struct findings *findings)
{
    struct candidate *candidates = memory_calloc(fleet->count, sizeof *candidates);
    placement->reasons = memory_calloc(fleet->count, sizeof *placement->reasons);
    placement->targets = memory_calloc(fleet->count, sizeof *placement->targets);
    uint32_t count =
        list_candidates(fleet, model, policy, free_accelerators, placement, candidates, findings);
    uint32_t wanted = model->replicas;
    double spread = 1;
    if (policy) {
        wanted = policy_replicas(policy, model, summary, findings);
        spread = policy_spread(policy, model, findings);
        placement->weighting = policy_rollout(policy, model, findings);
    }
    placement->wanted = wanted ? wanted : count;
    choose_targets(fleet, candidates, count, spread, placement);
    for (uint32_t i = 0; i < placement->target_count; i++)
        free_accelerators[placement->targets[i]] -= model->accelerators;
    free(candidates);
}

struct placement placement_compute(const struct fleet_config *config, const struct fleet *fleet,
                                   struct policy *policy, struct findings *findings)
{
    struct placement placement = {.model_count = config->model_count};
    struct fleet_summary summary = fleet_summarize(fleet);
    uint32_t *free_accelerators = memory_calloc(fleet->count, sizeof *free_accelerators);
    for (uint32_t i = 0; i < fleet->count; i++)
        free_accelerators[i] = fleet->machines[i].accelerators;
    placement.models = memory_calloc(config->model_count, sizeof *placement.models);
    for (uint32_t i = 0; i < config->model_count; i++)
        place_model(&config->models[i], fleet, &summary, policy, free_accelerators,
                    &placement.models[i], findings);
    free(free_accelerators);
    return placement;
}

void placement_order_tenants(struct policy *policy, struct fleet_config *config,
                             struct findings *findings)
{
    double *orders = memory_calloc(config->tenant_count, sizeof *orders);
    for (uint32_t i = 0; i < config->tenant_count; i++)
        orders[i] = policy ? policy_tenant_order(policy, &config->tenants[i], findings) : 0;
    for (uint32_t i = 0; i < config->tenant_count; i++) {
        config->tenants[i].precedence = 0;
        for (uint32_t j = 0; j < config->tenant_count; j++)
            config->tenants[i].precedence += orders[j] > orders[i];
    }
    free(orders);
}

static void assign_homes(const struct model_placement *placement, const struct fleet *fleet,
                         struct service_config *service)
{
    uint64_t key = hash_name(service->name);
    struct candidate *candidates = memory_calloc(placement->target_count, sizeof *candidates);
    for (uint32_t i = 0; i < placement->target_count; i++) {
        uint64_t id = fleet->machines[placement->targets[i]].id;
        candidates[i] =
            (struct candidate){placement->targets[i], weighted_score(hash_pair(key, id), 1), id};
    }
    qsort(candidates, placement->target_count, sizeof *candidates, compare_candidates);
    uint32_t count = placement->target_count;
    service->machine_count = count < PLACEMENT_KEY_HOMES ? count : PLACEMENT_KEY_HOMES;
    free(service->machines);
    service->machines = memory_calloc(service->machine_count, sizeof *service->machines);
    for (uint32_t i = 0; i < service->machine_count; i++)
        service->machines[i] = candidates[i].id;
    ids_sort(service->machines, service->machine_count);
    free(candidates);
}

void placement_assign_homes(const struct placement *placement, const struct fleet *fleet,
                            struct fleet_config *config)
{
    for (uint32_t i = 0; i < config->service_count; i++) {
        struct service_config *service = &config->services[i];
        for (uint32_t model = 0; model < config->model_count; model++)
            if (service->kind == SERVICE_MODEL &&
                strcmp(service->model, config->models[model].name) == 0)
                assign_homes(&placement->models[model], fleet, service);
    }
}

bool placement_has(const struct model_placement *placement, uint32_t machine)
{
    return bsearch(&machine, placement->targets, placement->target_count,
                   sizeof *placement->targets, compare_indexes) != NULL;
}

void placement_clear(struct placement *placement)
{
    for (uint32_t i = 0; i < placement->model_count; i++) {
        free(placement->models[i].targets);
        free(placement->models[i].reasons);
    }
    free(placement->models);
    *placement = (struct placement){0};
}
