/*
 * Unit tests of the slots of engines, and of which calls are served under load.
 */
#ifndef UNIT_LOAD_H
#define UNIT_LOAD_H

#include <check.h>

TCase *unit_load_case(void);

#endif
