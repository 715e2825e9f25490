/*
 * Unit tests of the pure modules of gateways and sidecars.
 */
#ifndef UNIT_FLEET_H
#define UNIT_FLEET_H

#include <check.h>

TCase *unit_fleet_case(void);

#endif
