/**
 * One HTTP/1.1 message, parsed as its bytes come, over the parser library http-parser.
 *
 * Target and header fields are kept byte for byte as they came. The parser stops after each
 * message, so bytes behind it are never taken for a part of it.
 */
#ifndef SHUNTRUN_HTTP_MESSAGE_H
#define SHUNTRUN_HTTP_MESSAGE_H

#include "base/buffer.h"

#include <http_parser.h>
#include <stdbool.h>

#define HTTP_MESSAGE_MAX_FIELDS 64

enum http_message_kind { HTTP_MESSAGE_REQUEST, HTTP_MESSAGE_RESPONSE };

enum http_parse_result {
    HTTP_PARSE_MORE,           /**< the message is not complete */
    HTTP_PARSE_DONE,           /**< the message is complete */
    HTTP_PARSE_MALFORMED,      /**< these bytes are no HTTP message */
    HTTP_PARSE_HEAD_TOO_LARGE, /**< the head is longer than allowed */
    HTTP_PARSE_BODY_TOO_LARGE, /**< the body is longer than allowed */
};

/** Place of a header field in the text of the head. */
struct http_field {
    uint32_t name;
    uint32_t name_length;
    uint32_t value;
    uint32_t value_length;
};

struct http_message {
    enum http_message_kind kind;
    http_parser parser;
    struct buffer text; /**< target, names and values, one after the other */
    uint32_t target_length;
    struct http_field fields[HTTP_MESSAGE_MAX_FIELDS];
    uint32_t field_count;
    bool in_value;
    bool head_complete;
    bool complete;
    bool framed;        /**< a length or chunks say where the body ends */
    bool keep_alive;    /**< the sender keeps the connection */
    size_t head_limit;  /**< bytes; 0: none */
    size_t body_limit;  /**< bytes; 0: none */
    size_t head_bytes;  /**< bytes parsed before the head was complete */
    size_t body_bytes;  /**< bytes of body so far */
    struct buffer body; /**< bytes of body that nobody took yet */
    enum http_parse_result failure;
};

/** \brief Begin a new message; memory of an earlier one is used again. */
void http_message_begin(struct http_message *message, enum http_message_kind kind);
void http_message_clear(struct http_message *message);

/**
 * \brief Parse bytes. \param used how many belong to this message; the rest begins the next one
 */
enum http_parse_result http_message_parse(struct http_message *message, const char *bytes,
                                          size_t size, size_t *used);
/** \brief The connection ended in order. \return HTTP_PARSE_DONE when that ends the message */
enum http_parse_result http_message_end_of_input(struct http_message *message);

/** \brief Method of a request, as "GET". */
const char *http_message_method(const struct http_message *message);
unsigned http_message_status(const struct http_message *message);
/** \brief Find a field by name, ignoring case. \return its number, or -1 */
int http_message_find_field(const struct http_message *message, const char *name);
/** \brief Copy the value of a field. \return false, and "" in `value`, when absent or too long */
bool http_message_field_value(const struct http_message *message, const char *name, char *value,
                              size_t size);
/** \return whether the field `index` has this name, ignoring case */
bool http_message_field_is(const struct http_message *message, uint32_t index, const char *name);

/** \brief Copy one value of a query string, with escapes undone. \return false when absent */
bool http_query_value(const char *target, size_t length, const char *name, char *value,
                      size_t size);

#endif
