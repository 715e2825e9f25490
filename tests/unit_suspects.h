/*
 * Unit tests and a model of the detection of requests that crash engines.
 */
#ifndef UNIT_SUSPECTS_H
#define UNIT_SUSPECTS_H

#include <check.h>

TCase *unit_suspects_case(void);

#endif
