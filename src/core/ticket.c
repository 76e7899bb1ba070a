#include "core/ticket.h"

#include "core/hash.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

uint64_t ticket_homes_hash(const struct service_config *service)
{
    return hash_bytes(service->machines, service->machine_count * sizeof *service->machines);
}

enum status ticket_format(const struct ticket *ticket, char text[TICKET_SIZE])
{
    if (ticket->home_count > TICKET_MAX_HOMES)
        return status_fail(STATUS_EXHAUSTED, "a ticket names at most %d homes", TICKET_MAX_HOMES);
    int used = snprintf(text, TICKET_SIZE, "t%" PRIx64, ticket->homes_hash);
    for (uint32_t i = 0; i < ticket->home_count; i++)
        used += snprintf(text + used, TICKET_SIZE - (size_t)used, ".%" PRIx64 "-%" PRIx64,
                         ticket->homes[i].incarnation, ticket->homes[i].epoch);
    return STATUS_OK;
}

static bool parse_number(const char **at, uint64_t *number)
{
    char *end;
    if (!strchr("0123456789abcdef", **at) || !**at)
        return false;
    *number = strtoull(*at, &end, 16);
    *at = end;
    return true;
}

static bool parse_home(const char **at, struct ticket_home *home)
{
    if (!parse_number(at, &home->incarnation) || **at != '-')
        return false;
    (*at)++;
    return parse_number(at, &home->epoch);
}

enum status ticket_parse(const char *key, struct ticket *ticket)
{
    const char *at = key;
    *ticket = (struct ticket){0};
    if (*at++ != 't' || !parse_number(&at, &ticket->homes_hash))
        return status_fail(STATUS_NOT_FOUND, "the key has no ticket");
    while (*at == '.' && ticket->home_count < TICKET_MAX_HOMES) {
        at++;
        if (!parse_home(&at, &ticket->homes[ticket->home_count++]))
            return status_fail(STATUS_NOT_FOUND, "the key has a malformed ticket");
    }
    if (*at != TICKET_SEPARATOR)
        return status_fail(STATUS_NOT_FOUND, "the key has no ticket");
    return STATUS_OK;
}
