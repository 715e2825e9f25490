/*
 * Unit tests of the choice of sources for pieces of weights.
 */
#ifndef UNIT_SOURCES_H
#define UNIT_SOURCES_H

#include <check.h>

TCase *unit_sources_case(void);

#endif
