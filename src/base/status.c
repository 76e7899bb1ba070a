#include "base/status.h"

#include <stdarg.h>
#include <stdio.h>

#define STATUS_MESSAGE_SIZE 512

static _Thread_local char last_message[STATUS_MESSAGE_SIZE];

enum status status_fail(enum status status, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(last_message, sizeof last_message, format, arguments);
    va_end(arguments);
    return status;
}

const char *status_message(void)
{
    return last_message;
}
