/**
 * Included by every test program: cmocka and its prerequisites, in the order that it needs.
 */
#ifndef SHUNTRUN_TESTING_H
#define SHUNTRUN_TESTING_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#endif
