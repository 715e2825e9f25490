/*
 * Unit tests of the memory that clients hold.
 */
#ifndef UNIT_ACCOUNT_H
#define UNIT_ACCOUNT_H

#include <check.h>

TCase *unit_account_case(void);

#endif
