#include "core/endpoints.h"

static bool is_usable_gateway(const struct node *node, const struct machine *machine, uint64_t now)
{
    const struct peer *peer = node_peer(node, machine->id);
    return machine->role == MACHINE_GATEWAY && !machine->leaving &&
           node_peer_alive(node, peer, now) && !peer->status.draining;
}

uint32_t endpoints_list(const struct node *node, bool draining, uint64_t now,
                        uint32_t machines[ENDPOINTS_MAX])
{
    const struct fleet *fleet = node_fleet(node);
    int64_t self = fleet_find(fleet, node_id(node));
    uint32_t count = 0;
    if (self >= 0 && !draining)
        machines[count++] = (uint32_t)self;
    for (uint32_t i = 0; i < fleet->count && count < ENDPOINTS_MAX; i++)
        if (i != self && is_usable_gateway(node, &fleet->machines[i], now))
            machines[count++] = i;
    return count;
}
