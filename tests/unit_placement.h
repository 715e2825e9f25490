/*
 * Unit tests of where calls may run: allowed regions and evacuated zones.
 */
#ifndef UNIT_PLACEMENT_H
#define UNIT_PLACEMENT_H

#include <check.h>

TCase *unit_placement_case(void);

#endif
