/**
 * Counters and gauges of our own. Counters are kept per thread and summed on read, so that an
 * increment touches no shared cache line; gauges are single words.
 */
#ifndef SHUNTRUN_METRICS_H
#define SHUNTRUN_METRICS_H

#include <stddef.h>
#include <stdint.h>

/* identifier, exposed series, help */
#define METRIC_COUNTERS(X)                                                                         \
    X(METRIC_REQUESTS_DONE, "shuntrun_requests_total{outcome=\"done\"}", "requests by outcome")    \
    X(METRIC_REQUESTS_NOT_RUN, "shuntrun_requests_total{outcome=\"not_run\"}", "")                 \
    X(METRIC_REQUESTS_UNKNOWN, "shuntrun_requests_total{outcome=\"unknown\"}", "")                 \
    X(METRIC_REQUESTS_BAD, "shuntrun_bad_requests_total", "requests refused as malformed")         \
    X(METRIC_REQUESTS_SHED, "shuntrun_shed_requests_total", "requests refused by admission")       \
    X(METRIC_RETRIES, "shuntrun_retries_total", "requests tried again on another agent")           \
    X(METRIC_RESUMES, "shuntrun_stream_resumes_total", "streams resumed on another replica")       \
    X(METRIC_TOKENS, "shuntrun_tokens_total", "tokens passed to callers")                          \
    X(METRIC_ANSWERS_DROPPED, "shuntrun_dropped_answers_total", "late or doubled answers dropped") \
    X(METRIC_KEYS_REPLAYED, "shuntrun_replayed_answers_total", "kept answers given to a repeat")   \
    X(METRIC_CHUNKS_FROM_PEER, "shuntrun_chunks_received_total{source=\"peer\"}", "chunks stored") \
    X(METRIC_CHUNKS_FROM_ORIGIN, "shuntrun_chunks_received_total{source=\"origin\"}", "")          \
    X(METRIC_CHUNK_BYTES, "shuntrun_chunk_bytes_received_total", "bytes of verified chunks")       \
    X(METRIC_CHUNKS_REJECTED, "shuntrun_chunks_rejected_total", "chunks that failed their digest") \
    X(METRIC_CHUNKS_FAILED, "shuntrun_chunk_fetch_failures_total", "chunk fetches that failed")    \
    X(METRIC_CHUNKS_SERVED, "shuntrun_chunks_served_total", "chunks served to peers")              \
    X(METRIC_CONFIG_ACCEPTED, "shuntrun_config_accepted_total", "configurations accepted")         \
    X(METRIC_CONFIG_REJECTED, "shuntrun_config_rejected_total", "configurations refused")          \
    X(METRIC_PLATFORM_CALLS, "shuntrun_platform_calls_total", "calls to the platform's services")  \
    X(METRIC_ENGINE_LOADS, "shuntrun_engine_loads_total", "load orders confirmed by the engine")   \
    X(METRIC_UPDATES_SENT, "shuntrun_updates_sent_total", "updates sent to neighbours")            \
    X(METRIC_UPSTREAM_CONNECTIONS, "shuntrun_upstream_connections_total",                          \
      "connections opened to back ends")                                                           \
    X(METRIC_LINKS_REJECTED, "shuntrun_links_rejected_total", "links refused by their key")        \
    X(METRIC_UPDATE_BYTES, "shuntrun_update_bytes_total", "bytes of control messages sent")

#define METRIC_GAUGES(X)                                                                           \
    X(METRIC_CONFIG_REVISION, "shuntrun_config_revision", "configuration revision in force")       \
    X(METRIC_CHUNK_MEMORY, "shuntrun_chunk_memory_bytes", "bytes of chunks held")                  \
    X(METRIC_ACTIVE_REQUESTS, "shuntrun_active_requests", "requests in progress")                  \
    X(METRIC_READY_MODELS, "shuntrun_ready_models", "models confirmed by the engine")              \
    X(METRIC_LIVE_PEERS, "shuntrun_live_peers", "neighbours heard within the suspicion time")

#define METRIC_ENUM(identifier, series, help) identifier,
enum metric_counter { METRIC_COUNTERS(METRIC_ENUM) METRIC_COUNTER_COUNT };
enum metric_gauge { METRIC_GAUGES(METRIC_ENUM) METRIC_GAUGE_COUNT };
#undef METRIC_ENUM

/** \brief Add to a counter; callable from any thread, takes no lock after a thread's first call. */
void metric_add(enum metric_counter counter, uint64_t amount);
void metric_gauge_set(enum metric_gauge gauge, uint64_t value);

/** \brief Sum of a counter over all threads. */
uint64_t metric_read(enum metric_counter counter);

/** \brief All series in the Prometheus text format. \return text owned by the caller. */
char *metrics_format(size_t *length);

#endif
