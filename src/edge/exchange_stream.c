/* Streams: forwards their events to the client, and decides whether one that ended is whole. */
#include "base/metrics.h"
#include "edge/exchange_internal.h"

/** A run that sends events for this long does not crash its backend by a part of its prompt. */
#define PART_SOUND_RUN_US 300000
/** A run clears the parts of its prompt at most this often. */
#define PART_SOUND_INTERVAL_US 100000

static void begin_stream(struct exchange *exchange, struct http_message *message)
{
    struct buffer head = {0};
    exchange_write_head(message, &head);
    edge_client_stream_begin(exchange->client, &head);
    buffer_clear(&head);
    exchange->streaming = true;
}

/* A part that crashes the backend does so as it begins to answer: a run that goes on for a while
 * clears the parts of its prompt. */
static void note_events(struct exchange *exchange, uint64_t now)
{
    if (!exchange->run_begun_at)
        exchange->run_begun_at = now;
    if (now < exchange->run_begun_at + PART_SOUND_RUN_US ||
        now < exchange->parts_sound_at + PART_SOUND_INTERVAL_US)
        return;
    exchange->parts_sound_at = now;
    exchange_record_sound_parts(exchange);
}

void exchange_forward_events(struct exchange *exchange, struct http_message *message)
{
    struct buffer events = {0};
    event_stream_feed(&exchange->events, message->body.data, message->body.size, &events);
    buffer_reset(&message->body);
    if (events.size) {
        uint64_t now = cluster_now();
        note_events(exchange, now);
        if (exchange->streaming)
            metric_observe(METRIC_EVENT_PAUSE, now - exchange->last_event_at);
        exchange->last_event_at = now;
        if (!exchange->streaming)
            begin_stream(exchange, message);
        edge_client_stream_data(exchange->client, events.data, events.size);
    }
    buffer_clear(&events);
}

void exchange_complete_stream(struct exchange *exchange)
{
    struct edge_client *client = exchange->client;
    if (!exchange->resuming)
        stream_length_record(&exchange->service_state->stream_length,
                             exchange->head.expected_output_tokens,
                             cluster_now() - exchange->sent_at);
    exchange_end_attempt(exchange, BACKEND_SUCCEEDED);
    exchange_clear_suspicion(exchange);
    exchange_count_done(exchange);
    exchange_log_end(exchange, 200, END_DONE, exchange_first_tried(exchange));
    exchange_finish(exchange);
    edge_client_stream_end(client);
}

void exchange_finish_stream(struct exchange *exchange, struct http_message *message)
{
    exchange_forward_events(exchange, message);
    if (exchange->events.partial.size) {
        /* The body is complete by its framing, but ends within an event. */
        exchange_on_attempt_failed(exchange, BACKEND_BROKEN, END_TRUNCATED_EVENT);
        return;
    }
    bool may_be_empty = message->framed || exchange_continues_stream(exchange);
    if (!may_be_empty && !exchange->run_begun_at) {
        exchange_on_attempt_failed(exchange, BACKEND_BROKEN, END_EMPTY_STREAM);
        return;
    }
    if (!exchange->streaming)
        begin_stream(exchange, message);
    if (message->framed)
        exchange_complete_stream(exchange);
    else
        exchange_await_liveness(exchange, NULL);
}
