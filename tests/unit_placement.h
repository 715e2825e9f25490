#ifndef UNIT_PLACEMENT_H
#define UNIT_PLACEMENT_H

#include <check.h>

/* Where calls may run: allowed regions and evacuated zones. */
TCase *unit_placement_case(void);

#endif
