/**
 * Checks the text of a setting against its type and bounds.
 */
#ifndef SHUNTRUN_SETTING_CHECK_H
#define SHUNTRUN_SETTING_CHECK_H

#include "base/findings.h"
#include "base/settings.h"

/** Text and source of one setting; text is NULL while the setting has no value. */
struct setting_value {
    char *text; /**< owned until it moves to struct settings */
    char place[256];
};

/** \brief Add what is wrong with a value to `findings`, and store it in `target`. */
void setting_check(const struct setting_descriptor *descriptor, const struct setting_value *value,
                   void *target, struct findings *findings);

#endif
