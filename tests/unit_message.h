/*
 * Unit tests of reading HTTP messages.
 */
#ifndef UNIT_MESSAGE_H
#define UNIT_MESSAGE_H

#include <check.h>

TCase *unit_message_case(void);

#endif
