/**
 * Status codes with a last message per thread.
 *
 * A function that can fail returns `enum status`; the text of the newest failure of the calling
 * thread is kept and read with status_message().
 */
#ifndef SHUNTRUN_STATUS_H
#define SHUNTRUN_STATUS_H

enum status {
    STATUS_OK = 0,
    STATUS_INVALID,   /**< input breaks a rule; the message says where */
    STATUS_NOT_FOUND, /**< the named thing is not known */
    STATUS_EXHAUSTED, /**< a bound is reached */
    STATUS_CORRUPT,   /**< bytes do not match their digest */
    STATUS_IO,        /**< a socket, file or peer failed */
    STATUS_STALE,     /**< older than what is already held */
};

/** \brief Keep a message for the calling thread. \return `status`, so that callers return it. */
enum status status_fail(enum status status, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** \brief The newest message of the calling thread, "" when none; valid until the next failure. */
const char *status_message(void);

#endif
