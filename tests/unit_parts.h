/*
 * Unit tests of prompt parts that may crash engines.
 */
#ifndef UNIT_PARTS_H
#define UNIT_PARTS_H

#include <check.h>

TCase *unit_parts_case(void);

#endif
