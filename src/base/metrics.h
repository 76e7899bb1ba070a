/**
 * Counters, gauges and histograms of this process. Counters are kept per thread and summed on read,
 * so that an increment touches no shared cache line; gauges are single words.
 */
#ifndef SHUNTRUN_METRICS_H
#define SHUNTRUN_METRICS_H

#include <stddef.h>
#include <stdint.h>

/* identifier, series name, help text */
#define METRIC_COUNTERS(X)                                                                         \
    X(METRIC_REQUESTS_DONE, "shuntrun_requests_total{outcome=\"done\"}", "requests by outcome")    \
    X(METRIC_REQUESTS_NOT_RUN, "shuntrun_requests_total{outcome=\"not_run\"}", "")                 \
    X(METRIC_REQUESTS_UNKNOWN, "shuntrun_requests_total{outcome=\"unknown\"}", "")                 \
    X(METRIC_REQUESTS_BAD, "shuntrun_bad_requests_total", "requests refused as malformed")         \
    X(METRIC_REQUESTS_SHED, "shuntrun_shed_requests_total", "requests refused by admission")       \
    X(METRIC_RETRIES, "shuntrun_retries_total", "requests tried again on another agent")           \
    X(METRIC_RESUMES, "shuntrun_stream_resumes_total", "streams resumed on another replica")       \
    X(METRIC_STREAMS_CUT_BROKEN, "shuntrun_streams_cut_total{reason=\"broken\"}",                  \
      "streams whose client got some events and then a reset")                                     \
    X(METRIC_STREAMS_CUT_REFUSED, "shuntrun_streams_cut_total{reason=\"refused\"}", "")            \
    X(METRIC_STREAMS_CUT_NO_BACKEND, "shuntrun_streams_cut_total{reason=\"no_backend\"}", "")      \
    X(METRIC_STREAMS_CUT_SILENT, "shuntrun_streams_cut_total{reason=\"silent\"}", "")              \
    X(METRIC_STREAMS_CUT_BLOCKED, "shuntrun_streams_cut_total{reason=\"blocked\"}", "")            \
    X(METRIC_STREAMS_CUT_CLIENT_SLOW, "shuntrun_streams_cut_total{reason=\"client_slow\"}", "")    \
    X(METRIC_STREAMS_CUT_TIME, "shuntrun_streams_cut_total{reason=\"time\"}", "")                  \
    X(METRIC_RUNS_LOST, "shuntrun_runs_lost_total",                                                \
      "requests whose back end broke its connection before a whole answer")                        \
    X(METRIC_UNFRAMED_WHOLE, "shuntrun_unframed_answers_total{outcome=\"whole\"}",                 \
      "answers without a length, by whether their back end was shown to have lived on")            \
    X(METRIC_UNFRAMED_UNPROVED, "shuntrun_unframed_answers_total{outcome=\"unproved\"}", "")       \
    X(METRIC_HEALTH_CHECKS, "shuntrun_health_checks_total",                                        \
      "health checks sent to back ends that ended an answer without a length")                     \
    X(METRIC_CRASHES, "shuntrun_backend_crashes_total",                                            \
      "starts of back ends that ended with requests of this gateway")                              \
    X(METRIC_REQUESTS_HELD, "shuntrun_held_requests_total",                                        \
      "requests that waited to run apart from others that may crash back ends")                    \
    X(METRIC_REQUESTS_BLOCKED, "shuntrun_blocked_requests_total",                                  \
      "requests not run, as they crash back ends")                                                 \
    X(METRIC_REQUESTS_NO_REGION, "shuntrun_no_region_requests_total",                              \
      "requests refused, as their route and tenant allow no region in common")                     \
    X(METRIC_REQUESTS_NO_MEMORY, "shuntrun_no_memory_requests_total",                              \
      "requests refused, as the buffers of this node are nearly full")                             \
    X(METRIC_CLIENTS_DROPPED, "shuntrun_clients_dropped_total",                                    \
      "connections reset while buffers were nearly full, as the client took nothing for too long") \
    X(METRIC_TOKENS, "shuntrun_tokens_total", "tokens passed to callers")                          \
    X(METRIC_ANSWERS_DROPPED, "shuntrun_dropped_answers_total", "late or doubled answers dropped") \
    X(METRIC_KEYS_REPLAYED, "shuntrun_replayed_answers_total", "kept answers given to a repeat")   \
    X(METRIC_CHUNKS_FROM_PEER, "shuntrun_chunks_received_total{source=\"peer\"}", "chunks stored") \
    X(METRIC_CHUNKS_FROM_ORIGIN, "shuntrun_chunks_received_total{source=\"origin\"}", "")          \
    X(METRIC_CHUNK_BYTES, "shuntrun_chunk_bytes_received_total", "bytes of verified chunks")       \
    X(METRIC_CHUNKS_REJECTED, "shuntrun_chunks_rejected_total", "chunks that failed their digest") \
    X(METRIC_MANIFESTS_REFUSED, "shuntrun_manifests_refused_total",                                \
      "manifests of weights that were malformed or of another version or size")                    \
    X(METRIC_MANIFESTS_REFUTED, "shuntrun_manifests_refuted_total",                                \
      "manifests of weights that pieces of the origin contradicted")                               \
    X(METRIC_CHUNKS_FAILED, "shuntrun_chunk_fetch_failures_total", "chunk fetches that failed")    \
    X(METRIC_CHUNKS_SERVED, "shuntrun_chunks_served_total", "chunks served to peers")              \
    X(METRIC_CONFIG_ACCEPTED, "shuntrun_config_accepted_total", "configurations accepted")         \
    X(METRIC_CONFIG_REJECTED, "shuntrun_config_rejected_total", "configurations refused")          \
    X(METRIC_PLATFORM_CALLS, "shuntrun_platform_calls_total", "calls to the platform's services")  \
    X(METRIC_ENGINE_LOADS, "shuntrun_engine_loads_total", "load orders confirmed by the engine")   \
    X(METRIC_MESSAGES_LOAD_NEAR, "shuntrun_node_messages_total{kind=\"load\",way=\"near\"}",       \
      "datagrams to other nodes by what they carry, in the own region and to others")              \
    X(METRIC_MESSAGES_LOAD_FAR, "shuntrun_node_messages_total{kind=\"load\",way=\"far\"}", "")     \
    X(METRIC_MESSAGES_PROBE_NEAR, "shuntrun_node_messages_total{kind=\"probe\",way=\"near\"}", "") \
    X(METRIC_MESSAGES_PROBE_FAR, "shuntrun_node_messages_total{kind=\"probe\",way=\"far\"}", "")   \
    X(METRIC_MESSAGES_TABLE_NEAR, "shuntrun_node_messages_total{kind=\"table\",way=\"near\"}", "") \
    X(METRIC_MESSAGES_TABLE_FAR, "shuntrun_node_messages_total{kind=\"table\",way=\"far\"}", "")   \
    X(METRIC_MESSAGES_CHANGES_NEAR, "shuntrun_node_messages_total{kind=\"changes\",way=\"near\"}", \
      "")                                                                                          \
    X(METRIC_MESSAGES_CHANGES_FAR, "shuntrun_node_messages_total{kind=\"changes\",way=\"far\"}",   \
      "")                                                                                          \
    X(METRIC_BYTES_LOAD_NEAR, "shuntrun_node_bytes_total{kind=\"load\",way=\"near\"}",             \
      "bytes of these datagrams")                                                                  \
    X(METRIC_BYTES_LOAD_FAR, "shuntrun_node_bytes_total{kind=\"load\",way=\"far\"}", "")           \
    X(METRIC_BYTES_PROBE_NEAR, "shuntrun_node_bytes_total{kind=\"probe\",way=\"near\"}", "")       \
    X(METRIC_BYTES_PROBE_FAR, "shuntrun_node_bytes_total{kind=\"probe\",way=\"far\"}", "")         \
    X(METRIC_BYTES_TABLE_NEAR, "shuntrun_node_bytes_total{kind=\"table\",way=\"near\"}", "")       \
    X(METRIC_BYTES_TABLE_FAR, "shuntrun_node_bytes_total{kind=\"table\",way=\"far\"}", "")         \
    X(METRIC_BYTES_CHANGES_NEAR, "shuntrun_node_bytes_total{kind=\"changes\",way=\"near\"}", "")   \
    X(METRIC_BYTES_CHANGES_FAR, "shuntrun_node_bytes_total{kind=\"changes\",way=\"far\"}", "")     \
    X(METRIC_UPDATES_SENT, "shuntrun_updates_sent_total", "updates sent to neighbours")            \
    X(METRIC_UPSTREAM_CONNECTIONS, "shuntrun_upstream_connections_total",                          \
      "connections opened to back ends")                                                           \
    X(METRIC_BUDGET_SPENT, "shuntrun_repeat_budget_refusals_total",                                \
      "repeats that the shared budget did not allow")                                              \
    X(METRIC_CLIENTS_GONE, "shuntrun_clients_gone_total", "requests whose client left")            \
    X(METRIC_WAKES, "shuntrun_wakes_total",                                                        \
      "times that the process stood still, or its machine was suspended")                          \
    X(METRIC_SENDS_UNLISTED, "shuntrun_sends_unlisted_total",                                      \
      "requests sent to a back end that the list had dropped")                                     \
    X(METRIC_BACKENDS_LEAVING, "shuntrun_backends_leaving_total",                                  \
      "back ends that first said in an answer that they leave")                                    \
    X(METRIC_RATE_LIMITS, "shuntrun_backend_rate_limits_total",                                    \
      "rate limits that backends stated in their answers, changed, or ended")                      \
    X(METRIC_BACKOFFS, "shuntrun_backend_backoffs_total",                                          \
      "refusals that asked for a time without requests, or for a longer one")                      \
    X(METRIC_STOP_TAKEN, "shuntrun_stop_requests_total{outcome=\"taken\"}",                        \
      "requests that arrived after the planned stop began, and requests that its end cut")         \
    X(METRIC_STOP_REFUSED, "shuntrun_stop_requests_total{outcome=\"refused\"}", "")                \
    X(METRIC_STOP_CUT, "shuntrun_stop_requests_total{outcome=\"cut\"}", "")                        \
    X(METRIC_SENDS_WITHHELD, "shuntrun_sends_withheld_total",                                      \
      "requests that were placed and not sent, as news of their back end came meanwhile")          \
    X(METRIC_EJECTIONS, "shuntrun_ejections_total", "back ends that were left out for a while")    \
    X(METRIC_STORE_FAILURES, "shuntrun_store_failures_total", "calls to the store that failed")    \
    X(METRIC_ENTRIES_REFUSED, "shuntrun_entries_refused_total",                                    \
      "entries of the list that name no back end to use")                                          \
    X(METRIC_STATE_FROM_PEER, "shuntrun_state_from_peer_total", "changes taken from a peer")       \
    X(METRIC_STATE_PEER_BUSY, "shuntrun_state_peer_busy_total",                                    \
      "requests for a snapshot that a peer refused, as it sent enough of them")                    \
    X(METRIC_LOG_LINES_LEFT_OUT, "shuntrun_log_lines_left_out_total",                              \
      "log lines left out by rate, or because nobody read them")                                   \
    X(METRIC_LINKS_REJECTED, "shuntrun_links_rejected_total", "links refused by their key")        \
    X(METRIC_UPDATE_BYTES, "shuntrun_update_bytes_total", "bytes of control messages sent")

#define METRIC_GAUGES(X)                                                                           \
    X(METRIC_CONFIG_REVISION, "shuntrun_config_revision", "configuration revision in force")       \
    X(METRIC_CONFIG_PROBLEMS, "shuntrun_config_problems",                                          \
      "entries of the configuration in force that could not be read")                              \
    X(METRIC_CHUNK_MEMORY, "shuntrun_chunk_memory_bytes", "bytes of chunks held")                  \
    X(METRIC_ACTIVE_REQUESTS, "shuntrun_active_requests", "requests in progress")                  \
    X(METRIC_READY_MODELS, "shuntrun_ready_models", "models confirmed by the engine")              \
    X(METRIC_STATE_REVISION, "shuntrun_state_revision", "revision of the platform's state held")   \
    X(METRIC_WAITING_REQUESTS, "shuntrun_waiting_requests", "requests that wait for a place")      \
    X(METRIC_SUSPECTS, "shuntrun_crash_suspects", "requests that were there when back ends ended") \
    X(METRIC_BACKENDS, "shuntrun_backends", "back ends that are listed")                           \
    X(METRIC_EVACUATED_ZONES, "shuntrun_evacuated_zones", "zones that the operator evacuates")     \
    X(METRIC_BUFFER_MEMORY, "shuntrun_buffer_memory_bytes", "bytes held in buffers")               \
    X(METRIC_ENGINE_RUNNING, "shuntrun_engine_running", "requests that the own engine runs")       \
    X(METRIC_ENGINE_WAITING, "shuntrun_engine_waiting", "requests that wait at the own engine")    \
    X(METRIC_ENGINE_VERSION, "shuntrun_engine_weights_version", "weights of the own engine")       \
    X(METRIC_SETTLED_MS, "shuntrun_members_known_after_ms",                                        \
      "time from the start until most members were known, 0: not yet")                             \
    X(METRIC_STATE_MS, "shuntrun_state_known_after_ms",                                            \
      "time from the start until the platform's state was known, 0: not yet")                      \
    X(METRIC_FIRST_ANSWER_MS, "shuntrun_first_answer_after_ms",                                    \
      "time from the start to the first whole answer to a client, 0: none yet")                    \
    X(METRIC_LIVE_PEERS, "shuntrun_live_peers", "neighbours heard within the suspicion time")

/* Histograms of durations with fixed bucket bounds. */
#define METRIC_HISTOGRAMS(X)                                                                       \
    X(METRIC_FIRST_EVENT, "shuntrun_first_event_seconds",                                          \
      "time from a request to the first event of its stream")                                      \
    X(METRIC_WHOLE_ANSWER, "shuntrun_whole_answer_seconds",                                        \
      "time from a request to its whole answer, not of streams")                                   \
    X(METRIC_EVENT_PAUSE, "shuntrun_event_pause_seconds", "pauses between events of streams")      \
    X(METRIC_PLACE_WAIT, "shuntrun_place_wait_seconds", "time a request waited for a place")       \
    X(METRIC_LOAD_AGE, "shuntrun_load_age_seconds",                                                \
      "age of the load report of the engine that a request was sent to")                           \
    X(METRIC_STATE_AGE, "shuntrun_state_change_age_seconds",                                       \
      "time from when a node first knew of a change of the state until this one did")

#define METRIC_ENUM(identifier, series, help) identifier,
enum metric_counter { METRIC_COUNTERS(METRIC_ENUM) METRIC_COUNTER_COUNT };
enum metric_gauge { METRIC_GAUGES(METRIC_ENUM) METRIC_GAUGE_COUNT };
enum metric_histogram { METRIC_HISTOGRAMS(METRIC_ENUM) METRIC_HISTOGRAM_COUNT };
#undef METRIC_ENUM

/** \brief Add to a counter; callable from any thread, lock-free after the first call of a thread.
 */
void metric_add(enum metric_counter counter, uint64_t amount);
/** \brief Set a gauge; callable from any thread. */
void metric_gauge_set(enum metric_gauge gauge, uint64_t value);
/** \brief Add a duration to a histogram; callable from any thread. */
void metric_observe(enum metric_histogram histogram, uint64_t microseconds);

/** \brief Value of a counter, summed over all threads. */
uint64_t metric_read(enum metric_counter counter);

/** \brief Format all series in the Prometheus text format. \return text owned by the caller */
char *metrics_format_prometheus(size_t *length);

#endif
