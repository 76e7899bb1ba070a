/**
 * Status codes with a last error message per thread.
 *
 * A function that can fail returns `enum status`; status_message() returns the text of the calling
 * thread's latest failure.
 */
#ifndef SHUNTRUN_STATUS_H
#define SHUNTRUN_STATUS_H

enum status {
    STATUS_OK = 0,
    STATUS_INVALID,   /**< invalid input; the message says where */
    STATUS_NOT_FOUND, /**< no such item */
    STATUS_EXHAUSTED, /**< a limit is reached */
    STATUS_CORRUPT,   /**< data does not match its digest */
    STATUS_IO,        /**< I/O error of a socket, file or peer */
    STATUS_STALE,     /**< older than the data already held */
};

/** \brief Store a message for the calling thread. \return `status`, so that callers can return the
 * result */
enum status status_fail(enum status status, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** \brief Latest message of the calling thread, "" when there is none; valid until the next
 * failure. */
const char *status_message(void);

#endif
