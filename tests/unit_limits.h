/*
 * A model of one engine's rate limit before many gateways.
 */
#ifndef UNIT_LIMITS_H
#define UNIT_LIMITS_H

#include <check.h>

TCase *unit_limits_case(void);

#endif
