/**
 * Whether a gateway reads the platform's store itself. Calls to the store are dear and its link is
 * narrow, so in each region one gateway follows it closely, by rendezvous weight, and tells the
 * others. The next one by weight stands by: it reads too, but less often, and follows closely as
 * soon as the first one has no answers.
 *
 * Others step in, some at a time, while no reader of the region gets answers.
 */
#ifndef SHUNTRUN_READER_ROLE_H
#define SHUNTRUN_READER_ROLE_H

#include "core/membership.h"

enum reader_duty {
    READER_INACTIVE, /**< others tell this node */
    READER_STANDBY,  /**< it reads, and leaves it to another one to be quick */
    READER_LEADER,   /**< it tells its region as soon as it can */
};

struct reader_role {
    enum reader_duty duty;
    uint64_t unhealthy_since;  /**< no reader of the region got answers since then; 0: one does */
    uint64_t unneeded_since;   /**< this node need not read since then; 0: it must */
    uint64_t first_update_at;  /**< time of the first decision, 0: none yet */
    uint64_t first_contact_at; /**< this node knew another gateway for the first time, 0: not yet */
    bool announced_healthy;    /**< what the other gateways were last told of the store */
};

/**
 * \brief Decide anew, from who lives and what readers said of the store.
 * A node that has just begun looks for others first; see may_read_snapshot() for those that know
 * nothing yet.
 */
enum reader_duty reader_role_update(struct reader_role *role, struct membership *membership,
                                    uint64_t now);
/**
 * \brief Time between an answer with changes and the next call: what comes meanwhile comes
 * together, as changes come in bursts and every call is paid for. \param bound_ms time in which a
 * back end that leaves must be known
 */
uint32_t reader_role_batch_delay_ms(enum reader_duty duty, uint64_t bound_ms);
/**
 * \brief Others have to know at once whether they can rely on this reader.
 * \return whether they are to be told now that the store is `sound`
 */
bool reader_role_must_announce(struct reader_role *role, bool healthy);
/** \return whether a gateway of the own region, or else of any, reads the store and gets answers */
bool reader_role_any_reader_is_healthy(struct membership *membership);

#endif
