/**
 * Incremental parser of one HTTP/1.1 message, based on the http-parser library.
 *
 * Target and header fields are stored byte for byte as received. The parser stops at the end of
 * each message, so the bytes after it are never taken for a part of it.
 */
#ifndef SHUNTRUN_HTTP_MESSAGE_H
#define SHUNTRUN_HTTP_MESSAGE_H

#include "base/buffer.h"

#include <http_parser.h>
#include <stdbool.h>

/** Most bytes of a chunked body's framing per byte of data, beyond as many as the head may have. A
 * chunk of one byte has five. */
#define HTTP_MESSAGE_FRAMING_PER_BYTE 8

/** Responses with a lower status are interim; another response to the same request follows. */
#define HTTP_MESSAGE_FIRST_FINAL_STATUS 200

enum http_message_kind { HTTP_MESSAGE_REQUEST, HTTP_MESSAGE_RESPONSE };

enum http_parse_result {
    HTTP_PARSE_MORE,           /**< the message is not complete */
    HTTP_PARSE_DONE,           /**< the message is complete */
    HTTP_PARSE_MALFORMED,      /**< the bytes are not a valid HTTP message, its status is none of
                                  HTTP, or nearly all of them frame its body */
    HTTP_PARSE_HEAD_TOO_LARGE, /**< the head exceeds its limit */
    HTTP_PARSE_BODY_TOO_LARGE, /**< the body exceeds its limit */
};

/** Offsets and lengths of a header field in `http_message.text`, bytes. */
struct http_field {
    uint32_t name;
    uint32_t name_length;
    uint32_t value;
    uint32_t value_length;
};

struct http_message {
    enum http_message_kind kind;
    http_parser parser;
    struct buffer text; /**< target, field names and values, concatenated */
    uint32_t target_length;
    struct buffer field_table;       /**< the array of header fields; the head's limit bounds it */
    const struct http_field *fields; /**< in `field_table`; NULL: there is none */
    uint32_t field_count;
    bool in_value;
    bool head_complete;
    bool complete;
    bool framed;          /**< Content-Length, chunked coding or the status delimits the body */
    bool keep_alive;      /**< the connection stays open after this message */
    size_t head_limit;    /**< bytes; 0: unlimited */
    size_t body_limit;    /**< bytes; 0: unlimited */
    size_t head_bytes;    /**< bytes of the head so far */
    size_t body_bytes;    /**< bytes of the body so far */
    size_t framing_bytes; /**< bytes after the head so far that frame the body */
    struct buffer body;   /**< bytes of the body that were not consumed yet */
    enum http_parse_result failure;
};

/** \brief Start a new message; limits are kept, and buffers of an earlier message are reused. */
void http_message_begin(struct http_message *message, enum http_message_kind kind);
/** \brief Free the buffers. */
void http_message_clear(struct http_message *message);

/**
 * \brief Parse received bytes. \param used bytes that belong to this message; the rest belongs to
 * the next one
 */
enum http_parse_result http_message_parse(struct http_message *message, const char *bytes,
                                          size_t size, size_t *used);
/** \brief Handle the orderly end of the connection. \return HTTP_PARSE_DONE when it completes the
 * message, as for a response without a length */
enum http_parse_result http_message_end_of_input(struct http_message *message);

/** \brief Method of a request, for example "GET". */
const char *http_message_method(const struct http_message *message);
/** \return length of the target's path, which its query may follow */
size_t http_message_path_length(const struct http_message *message);
/** \return bytes of the body that are still to come, as far as a Content-Length tells */
size_t http_message_remaining_body(const struct http_message *message);
/** \brief Status code of a response. */
unsigned http_message_status(const struct http_message *message);
/** \return whether another response to the same request follows */
bool http_message_is_interim(const struct http_message *message);
/** \brief Find a header field by name, ignoring case. \return its index, or -1 */
int http_message_find_field(const struct http_message *message, const char *name);
/** \brief Copy the value of a header field. \return false, with `value` empty, when it is absent or
 * does not fit */
bool http_message_field_value(const struct http_message *message, const char *name, char *value,
                              size_t size);
/** \return whether the header field at `index` has this name, ignoring case */
bool http_message_field_is(const struct http_message *message, uint32_t index, const char *name);

/** \brief Copy one percent-decoded parameter of the query string, cut to fit. \return false when
 * absent */
bool http_query_value(const char *target, size_t length, const char *name, char *value,
                      size_t size);

#endif
