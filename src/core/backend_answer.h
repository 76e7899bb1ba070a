/**
 * What an answer of a back end means: for the request that it answers, and of the back end itself.
 */
#ifndef SHUNTRUN_BACKEND_ANSWER_H
#define SHUNTRUN_BACKEND_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

/** What an answer says, as far as a decision needs it. */
struct answer_properties {
    unsigned status;         /**< of HTTP */
    bool sealed;             /**< it bears the back end's signature */
    bool not_executed;       /**< the back end promises that it did not run the request */
    bool encoded;            /**< its body has an encoding that nobody asked for */
    bool leaving;            /**< the back end says that it is about to end */
    uint64_t retry_after_ms; /**< for which it asks to be left alone; 0: not said */
};

/** What the answer means for its request. */
enum answer_class {
    ANSWER_SUCCEEDED,   /**< a success that may go to the client */
    ANSWER_NOT_RUN,     /**< the back end did not run it, and never will */
    ANSWER_MISDIRECTED, /**< not run: another back end stands there, or it has other weights */
    ANSWER_UNVERIFIED,  /**< nothing shows that the back end made it: the request may have run */
    ANSWER_FAILED,      /**< the back end ran it, and says that it failed or cannot be done */
};

enum answer_class classify_answer(const struct answer_properties *facts);
/** \return time for which the back end wants nothing more from here, microseconds; 0: none */
uint64_t answer_backoff_us(const struct answer_properties *facts);

#endif
