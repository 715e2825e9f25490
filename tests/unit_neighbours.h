/*
 * Unit tests of which gateways a process keeps connections to.
 */
#ifndef UNIT_NEIGHBOURS_H
#define UNIT_NEIGHBOURS_H

#include <check.h>

TCase *unit_neighbours_case(void);

#endif
