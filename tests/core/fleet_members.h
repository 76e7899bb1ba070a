/**
 * The member table of one node of a synthetic fleet: gateways first, then loaders, assigned to
 * regions in turn. Addresses are the indexes plus 1.
 */
#ifndef SHUNTRUN_FLEET_MEMBERS_H
#define SHUNTRUN_FLEET_MEMBERS_H

#include "core/membership/membership.h"

#include <stdio.h>

#define FLEET_GATEWAYS 34
#define FLEET_LOADERS 76
#define FLEET_MEMBERS (FLEET_GATEWAYS + FLEET_LOADERS)
#define FLEET_REGIONS 3

/** Link rate of the member with an index, Mbit/s. */
typedef uint32_t fleet_link_rate(uint32_t index);

static inline void fleet_discard_message(void *context, uint32_t address,
                                         const Shuntrun__MemberMessage *message)
{
}

static inline enum member_role fleet_role(uint32_t index)
{
    return index < FLEET_GATEWAYS ? MEMBER_GATEWAY : MEMBER_LOADER;
}

static inline void fleet_update_member(struct membership *membership, uint32_t index,
                                       fleet_link_rate *link, enum member_health health)
{
    Shuntrun__MemberMessage message = SHUNTRUN__MEMBER_MESSAGE__INIT;
    Shuntrun__MemberNews news = SHUNTRUN__MEMBER_NEWS__INIT, *pointer = &news;
    char region[MEMBER_NAME_SIZE];
    snprintf(region, sizeof region, "region-%u", index % FLEET_REGIONS);
    news.address = index + 1;
    news.incarnation = 7;
    news.health = health;
    news.role = fleet_role(index);
    news.region = region;
    news.link_mbit = link ? link(index) : 0;
    message.members = &pointer;
    message.n_members = 1;
    membership_receive(membership, 9999, &message, 1000);
}

/** \brief Create the table of the member `self_index`. \param link NULL: rates are unknown */
static inline struct membership *fleet_view_of(uint32_t self_index, fleet_link_rate *link)
{
    static const struct membership_settings settings = {.probe_period_us = 1000000};
    struct membership_driver driver = {NULL, fleet_discard_message};
    struct member_state self = {.address = self_index + 1,
                                .incarnation = 7,
                                .health = MEMBER_ALIVE,
                                .role = fleet_role(self_index),
                                .link_mbit = link ? link(self_index) : 0};
    snprintf(self.region, sizeof self.region, "region-%u", self_index % FLEET_REGIONS);
    struct membership *membership = membership_create(&settings, &self, self_index, &driver);
    for (uint32_t i = 0; i < FLEET_MEMBERS; i++)
        if (i != self_index)
            fleet_update_member(membership, i, link, MEMBER_ALIVE);
    return membership;
}

#endif
