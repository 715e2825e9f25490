/*
 * Unit tests of what engines announce in response headers.
 */
#ifndef UNIT_NOTICES_H
#define UNIT_NOTICES_H

#include <check.h>

TCase *unit_notices_case(void);

#endif
