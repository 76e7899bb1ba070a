/**
 * Tickets: proof that an idempotency key cannot have reached an earlier incarnation of its home.
 *
 * A gateway hands a ticket out with the address answer; the caller puts it before its own key:
 * "<ticket>~<key>". It names the homes of the service and, for each, the incarnation and ticket
 * epoch that the gateway last heard. The home accepts a key only when the ticket names its present
 * incarnation and one of its last two epochs; it keeps answers for as long as their epoch can be
 * accepted. So a repeat is either answered from memory or refused, and no dates are compared.
 *
 * Form: "t<homes hash>.<incarnation>-<epoch>.<incarnation>-<epoch>…", hexadecimal, homes by id.
 */
#ifndef SHUNTRUN_TICKET_H
#define SHUNTRUN_TICKET_H

#include "base/status.h"
#include "core/fleet_config.h"

#include <stdint.h>

#define TICKET_MAX_HOMES 16
#define TICKET_SIZE 640
#define TICKET_SEPARATOR '~'

struct ticket_home {
    uint64_t incarnation; /**< 0: not heard of */
    uint64_t epoch;
};

struct ticket {
    uint64_t homes_hash;
    uint32_t home_count;
    struct ticket_home homes[TICKET_MAX_HOMES];
};

/** \brief Hash of the homes of a plain service; a moved home makes old tickets void. */
uint64_t ticket_homes_hash(const struct service_config *service);

/** \return STATUS_EXHAUSTED when the service has more than TICKET_MAX_HOMES homes */
enum status ticket_format(const struct ticket *ticket, char text[TICKET_SIZE]);

/** \brief Read the ticket at the start of a key. \return STATUS_NOT_FOUND when it has none */
enum status ticket_parse(const char *key, struct ticket *ticket);

#endif
