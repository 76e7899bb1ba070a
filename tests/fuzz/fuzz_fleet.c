/* Machine lists, manifests and tickets. */
#include "fuzz/fuzz.h"

#include "core/fleet.h"
#include "core/manifest.h"
#include "core/ticket.h"

#include "base/memory.h"

#include <stdlib.h>
#include <string.h>

const char *const fuzz_corpus[] = {
    "{\"machines\":[{\"name\":\"a\",\"role\":\"agent\",\"zone\":\"z\",\"region\":\"r\",\"address\":"
    "\"10.0.0.1\",\"control_port\":7100,\"services\":[\"s\"],\"state\":\"live\"}]}",
    "{\"model\":\"m\",\"version\":\"v\",\"total_bytes\":10,\"chunk_bytes\":10,\"chunks\":"
    "[\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\"]}",
    "tabc.1f-2.3-4~key", NULL};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct findings findings = {0};
    struct fleet fleet;
    struct manifest manifest;
    struct ticket ticket;
    struct digest digest = digest_of(data, size);
    char *text = memory_calloc(size + 1, 1);
    memcpy(text, data, size);
    if (fleet_parse(text, size, &fleet, &findings) == STATUS_OK)
        fleet_clear(&fleet);
    if (manifest_parse(data, size, &digest, &manifest) == STATUS_OK)
        manifest_clear(&manifest);
    ticket_parse(text, &ticket);
    findings_clear(&findings);
    free(text);
    return 0;
}
