/*
 * Unit tests of where sidecars draw pieces of weights from.
 */
#ifndef UNIT_SOURCES_H
#define UNIT_SOURCES_H

#include <check.h>

TCase *unit_sources_case(void);

#endif
