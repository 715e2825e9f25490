/*
 * Unit tests of the schedule of versions of weights, of access to their origin
 * and of the owners of their pieces.
 */
#ifndef UNIT_SCHEDULE_H
#define UNIT_SCHEDULE_H

#include <check.h>

TCase *unit_schedule_case(void);

#endif
