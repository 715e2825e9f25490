/*
 * Unit tests of the turns of refused callers.
 */
#ifndef UNIT_RETRY_H
#define UNIT_RETRY_H

#include <check.h>

TCase *unit_retry_case(void);

#endif
