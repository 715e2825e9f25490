/*
 * A simulation of many gateways that share one engine's rate limit.
 */
#ifndef UNIT_LIMITS_H
#define UNIT_LIMITS_H

#include <check.h>

TCase *unit_limits_case(void);

#endif
