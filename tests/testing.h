/**
 * What every test program includes, in the order that cmocka needs.
 */
#ifndef SHUNTRUN_TESTING_H
#define SHUNTRUN_TESTING_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#endif
