/*
 * Unit tests of fair sharing among ranks, teams and retrying callers.
 */
#ifndef UNIT_SHARES_H
#define UNIT_SHARES_H

#include <check.h>

TCase *unit_shares_case(void);

#endif
