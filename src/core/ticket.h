/**
 * Tickets prove that an idempotency key cannot have reached an earlier incarnation of its home, the
 * machine that runs requests of a plain service.
 *
 * A gateway issues a ticket with the answer to an address query; the caller prefixes its own key
 * with it: "<ticket>~<key>". The ticket holds the homes of the service and, for each, the
 * incarnation and ticket epoch that the gateway last heard of. A home accepts a key only when the
 * ticket holds its current incarnation and one of its last two epochs, and it stores answers for as
 * long as their epoch can be accepted. So a repeat is either answered from memory or refused, and
 * no clocks are compared.
 *
 * Format: "t<homes hash>.<incarnation>-<epoch>.<incarnation>-<epoch>…", in hexadecimal, homes in
 * order of their ids.
 */
#ifndef SHUNTRUN_TICKET_H
#define SHUNTRUN_TICKET_H

#include "base/status.h"
#include "core/fleet_config.h"

#include <stdint.h>

#define TICKET_MAX_HOMES 16
/** Bytes of a buffer for the text of a ticket, with the terminating NUL. */
#define TICKET_SIZE 640
/** Between the ticket and the caller's own key. */
#define TICKET_SEPARATOR '~'

struct ticket_home {
    uint64_t incarnation; /**< 0: unknown */
    uint64_t epoch;
};

struct ticket {
    uint64_t homes_hash; /**< see ticket_homes_hash() */
    uint32_t home_count;
    struct ticket_home homes[TICKET_MAX_HOMES];
};

/** \return a hash of the homes of a plain service: moving a home invalidates old tickets */
uint64_t ticket_homes_hash(const struct service_config *service);

/** \brief Format a ticket. \return STATUS_EXHAUSTED for more than TICKET_MAX_HOMES homes */
enum status ticket_format(const struct ticket *ticket, char text[TICKET_SIZE]);

/** \brief Parse the ticket at the start of a key. \return STATUS_NOT_FOUND without a valid one */
enum status ticket_parse(const char *key, struct ticket *ticket);

#endif
