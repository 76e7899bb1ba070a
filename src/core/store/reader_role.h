/**
 * Decides whether a gateway reads the platform's store itself. Calls to the store are expensive and
 * its link is narrow, so one gateway per region, the leader by rendezvous weight, reads it with a
 * short delay and sends the changes to the others. The next one by weight is the standby: it reads
 * with a longer delay, and takes over as soon as the leader gets no answers.
 *
 * While no reader of the region gets answers, more gateways read, some at a time.
 */
#ifndef SHUNTRUN_READER_ROLE_H
#define SHUNTRUN_READER_ROLE_H

#include "core/membership/membership.h"

/** How a gateway reads the store at present. */
enum reader_duty {
    READER_INACTIVE, /**< receives changes from other nodes only */
    READER_STANDBY,  /**< reads with the longer batch delay, in case the leader fails */
    READER_LEADER,   /**< reads with the short batch delay and updates its region */
};

/** State of the decision; begins as all zeros. Times are microseconds. */
struct reader_role {
    enum reader_duty duty;
    uint64_t unhealthy_since;  /**< no reader of the region gets answers since; 0: one does */
    uint64_t unneeded_since;   /**< time since which this node need not read; 0: it must */
    uint64_t first_update_at;  /**< time of the first decision, 0: none yet */
    uint64_t first_contact_at; /**< time at which another gateway was first known, 0: none yet */
    bool announced_healthy;    /**< store health that was last sent to the other gateways */
};

/**
 * \brief Decide again, from the member table and the store health that readers report.
 * A node that has just started looks for other gateways first; for nodes without any state see
 * may_read_snapshot().
 */
enum reader_duty reader_role_update(struct reader_role *role, struct membership *membership,
                                    uint64_t now);
/**
 * \brief Time between an answer with changes and the next call. Changes come in bursts and every
 * call is paid for, so that one call fetches all changes of this time.
 * \param bound_ms drain bound: time in which all nodes must know that a backend leaves
 * \return batch delay, ms
 */
uint32_t reader_role_batch_delay_ms(enum reader_duty duty, uint64_t bound_ms);
/**
 * \brief Record the store health that this node sees. Other gateways must learn at once whether
 * they can rely on this reader. \return whether the health changed and must be announced now
 */
bool reader_role_must_announce(struct reader_role *role, bool healthy);
/** \return whether a gateway of the own or any other region reads the store and gets answers */
bool reader_role_any_reader_is_healthy(struct membership *membership);

#endif
