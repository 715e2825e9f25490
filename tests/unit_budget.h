/*
 * Unit tests of the retry budget, with a model of a whole fleet.
 */
#ifndef UNIT_BUDGET_H
#define UNIT_BUDGET_H

#include <check.h>

TCase *unit_budget_case(void);

#endif
