/*
 * Unit tests of what engines say in their answers.
 */
#ifndef UNIT_NOTICES_H
#define UNIT_NOTICES_H

#include <check.h>

TCase *unit_notices_case(void);

#endif
