#include "net/http_message.h"

#include <ctype.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/** Range of the status codes of HTTP; those below HTTP_MESSAGE_FIRST_FINAL_STATUS are interim. */
#define HTTP_STATUS_FIRST 100
#define HTTP_STATUS_LAST 599

static int on_url(http_parser *parser, const char *bytes, size_t size)
{
    struct http_message *message = parser->data;
    buffer_append(&message->text, bytes, size);
    message->target_length += (uint32_t)size;
    return 0;
}

/* \return whether all bytes may stand in the name of a field */
static bool is_token(const char *bytes, size_t size)
{
    for (size_t i = 0; i < size; i++)
        if (!bytes[i] ||
            (!isalnum((unsigned char)bytes[i]) && !strchr("!#$%&'*+-.^_`|~", bytes[i])))
            return false;
    return true;
}

static void add_field(struct http_message *message)
{
    struct http_field field = {.name = (uint32_t)message->text.size};
    buffer_append(&message->field_table, &field, sizeof field);
    message->fields = (const struct http_field *)message->field_table.data;
    message->field_count++;
    message->in_value = false;
}

static struct http_field *last_field(struct http_message *message)
{
    return (struct http_field *)message->field_table.data + message->field_count - 1;
}

/* The parser takes blanks in names, and readers behind this one may take the field for another. */
static int on_field(http_parser *parser, const char *bytes, size_t size)
{
    struct http_message *message = parser->data;
    if (message->head_complete)
        return 0; /* trailer fields are ignored */
    if (!is_token(bytes, size)) {
        message->failure = HTTP_PARSE_MALFORMED;
        return 1;
    }
    if (message->in_value || !message->field_count)
        add_field(message);
    last_field(message)->name_length += (uint32_t)size;
    buffer_append(&message->text, bytes, size);
    return 0;
}

static int on_value(http_parser *parser, const char *bytes, size_t size)
{
    struct http_message *message = parser->data;
    if (message->head_complete)
        return 0;
    struct http_field *field = last_field(message);
    if (!message->in_value) {
        message->in_value = true;
        field->value = (uint32_t)message->text.size;
    }
    field->value_length += (uint32_t)size;
    buffer_append(&message->text, bytes, size);
    return 0;
}

/* Nobody asks for a switch of protocols, so that 101 is no answer either. */
static bool is_response_status(unsigned status)
{
    return status >= HTTP_STATUS_FIRST && status <= HTTP_STATUS_LAST &&
           status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

/* An interim response has no body, and one that announces it isn't the response either. */
static bool has_interim_body(const http_parser *parser)
{
    bool announced = parser->content_length != ULLONG_MAX && parser->content_length > 0;
    return parser->status_code < HTTP_MESSAGE_FIRST_FINAL_STATUS &&
           (announced || (parser->flags & F_CHUNKED));
}

static int on_head(http_parser *parser)
{
    struct http_message *message = parser->data;
    message->head_complete = true;
    if (message->kind == HTTP_MESSAGE_RESPONSE &&
        (!is_response_status(parser->status_code) || has_interim_body(parser))) {
        message->failure = HTTP_PARSE_MALFORMED;
        return -1;
    }
    message->keep_alive = http_should_keep_alive(parser) != 0;
    message->framed =
        (parser->flags & F_CHUNKED) || parser->content_length != ULLONG_MAX ||
        (message->kind == HTTP_MESSAGE_RESPONSE &&
         (parser->status_code == 204 || parser->status_code == 304 || parser->status_code < 200));
    if (message->body_limit && parser->content_length != ULLONG_MAX &&
        parser->content_length > message->body_limit) {
        message->failure = HTTP_PARSE_BODY_TOO_LARGE;
        return -1;
    }
    http_parser_pause(parser, 1); /* the end of the head is counted */
    return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t size)
{
    struct http_message *message = parser->data;
    message->body_bytes += size;
    if (message->body_limit && message->body_bytes > message->body_limit) {
        message->failure = HTTP_PARSE_BODY_TOO_LARGE;
        return 1;
    }
    buffer_append(&message->body, bytes, size);
    return 0;
}

static int on_complete(http_parser *parser)
{
    struct http_message *message = parser->data;
    message->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void http_message_begin(struct http_message *message, enum http_message_kind kind)
{
    struct http_message next = {.kind = kind,
                                .text = message->text,
                                .body = message->body,
                                .field_table = message->field_table,
                                .head_limit = message->head_limit,
                                .body_limit = message->body_limit,
                                .failure = HTTP_PARSE_MORE};
    buffer_reset(&next.text);
    buffer_reset(&next.body);
    buffer_reset(&next.field_table);
    *message = next;
    http_parser_init(&message->parser, kind == HTTP_MESSAGE_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
    message->parser.data = message;
}

void http_message_clear(struct http_message *message)
{
    buffer_clear(&message->text);
    buffer_clear(&message->body);
    buffer_clear(&message->field_table);
}

/* Chunk extensions and trailers are ignored, so their bytes would never reach the body's limit. */
static bool has_too_much_framing(const struct http_message *message)
{
    return message->head_limit &&
           message->framing_bytes / HTTP_MESSAGE_FRAMING_PER_BYTE >
               message->head_limit / HTTP_MESSAGE_FRAMING_PER_BYTE + message->body_bytes;
}

static enum http_parse_result parse_state(struct http_message *message)
{
    if (message->failure != HTTP_PARSE_MORE)
        return message->failure;
    if (message->head_limit && message->head_bytes > message->head_limit)
        return HTTP_PARSE_HEAD_TOO_LARGE;
    if (has_too_much_framing(message))
        return HTTP_PARSE_MALFORMED;
    if (message->complete)
        return HTTP_PARSE_DONE;
    if (HTTP_PARSER_ERRNO(&message->parser) == HPE_HEADER_OVERFLOW)
        return HTTP_PARSE_HEAD_TOO_LARGE;
    if (HTTP_PARSER_ERRNO(&message->parser) != HPE_OK || message->parser.upgrade)
        return HTTP_PARSE_MALFORMED;
    return HTTP_PARSE_MORE;
}

/* \param overhead count of the bytes that are not data of the body. \return number of bytes used */
static size_t execute(struct http_message *message, const char *bytes, size_t size,
                      size_t *overhead)
{
    size_t body_before = message->body_bytes;
    size_t used = http_parser_execute(&message->parser, &parser_settings, bytes, size);
    *overhead += used - (message->body_bytes - body_before);
    return used;
}

/* The parser pauses before the last byte of the head. \return number of bytes used */
static size_t execute_head(struct http_message *message, const char *bytes, size_t size)
{
    size_t used = execute(message, bytes, size, &message->head_bytes);
    if (!message->head_complete || message->failure != HTTP_PARSE_MORE)
        return used;
    http_parser_pause(&message->parser, 0);
    return used + execute(message, bytes + used, 1, &message->head_bytes);
}

enum http_parse_result http_message_parse(struct http_message *message, const char *bytes,
                                          size_t size, size_t *used)
{
    *used = 0;
    if (message->complete)
        return HTTP_PARSE_DONE;
    if (!message->head_complete)
        *used = execute_head(message, bytes, size);
    enum http_parse_result result = parse_state(message);
    if (result != HTTP_PARSE_MORE || *used == size)
        return result;
    *used += execute(message, bytes + *used, size - *used, &message->framing_bytes);
    return parse_state(message);
}

enum http_parse_result http_message_end_of_input(struct http_message *message)
{
    if (message->complete)
        return HTTP_PARSE_DONE;
    if (!message->head_complete || message->framed)
        return HTTP_PARSE_MALFORMED;
    http_parser_execute(&message->parser, &parser_settings, "", 0);
    return parse_state(message);
}

const char *http_message_method(const struct http_message *message)
{
    return http_method_str((enum http_method)message->parser.method);
}

size_t http_message_path_length(const struct http_message *message)
{
    const char *target = message->text.data;
    const char *query = memchr(target, '?', message->target_length);
    return query ? (size_t)(query - target) : message->target_length;
}

size_t http_message_remaining_body(const struct http_message *message)
{
    bool is_known = message->head_complete && !message->complete &&
                    message->parser.content_length != ULLONG_MAX;
    return is_known ? (size_t)message->parser.content_length : 0;
}

unsigned http_message_status(const struct http_message *message)
{
    return message->parser.status_code;
}

bool http_message_is_interim(const struct http_message *message)
{
    return message->parser.status_code < HTTP_MESSAGE_FIRST_FINAL_STATUS;
}

bool http_message_field_is(const struct http_message *message, uint32_t index, const char *name)
{
    const struct http_field *field = &message->fields[index];
    return field->name_length == strlen(name) &&
           strncasecmp(message->text.data + field->name, name, field->name_length) == 0;
}

int http_message_find_field(const struct http_message *message, const char *name)
{
    for (uint32_t i = 0; i < message->field_count; i++)
        if (http_message_field_is(message, i, name))
            return (int)i;
    return -1;
}

bool http_message_field_value(const struct http_message *message, const char *name, char *value,
                              size_t size)
{
    value[0] = 0;
    int index = http_message_find_field(message, name);
    if (index < 0)
        return false;
    const struct http_field *field = &message->fields[index];
    if (field->value_length >= size)
        return false;
    if (field->value_length)
        memcpy(value, message->text.data + field->value, field->value_length);
    value[field->value_length] = 0;
    return true;
}

static int hex_digit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    c = (char)(c | 32);
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static void percent_decode(const char *from, size_t length, char *to, size_t size)
{
    size_t used = 0;
    for (size_t i = 0; i < length && used + 1 < size; i++) {
        if (from[i] == '%' && i + 2 < length && hex_digit(from[i + 1]) >= 0 &&
            hex_digit(from[i + 2]) >= 0) {
            to[used++] = (char)(hex_digit(from[i + 1]) * 16 + hex_digit(from[i + 2]));
            i += 2;
        } else {
            to[used++] = from[i] == '+' ? ' ' : from[i];
        }
    }
    to[used] = 0;
}

bool http_query_value(const char *target, size_t length, const char *name, char *value, size_t size)
{
    value[0] = 0;
    const char *end = target + length;
    const char *parameter = memchr(target, '?', length);
    size_t name_length = strlen(name);
    while (parameter && parameter < end) {
        parameter++;
        const char *next = memchr(parameter, '&', (size_t)(end - parameter));
        size_t parameter_length = (size_t)((next ? next : end) - parameter);
        if (parameter_length > name_length && memcmp(parameter, name, name_length) == 0 &&
            parameter[name_length] == '=') {
            percent_decode(parameter + name_length + 1, parameter_length - name_length - 1, value,
                           size);
            return true;
        }
        parameter = next;
    }
    return false;
}
