/*
 * Unit tests and a short fuzz test of the parser for engines' records.
 */
#ifndef UNIT_ENTRIES_H
#define UNIT_ENTRIES_H

#include <check.h>

TCase *unit_entries_case(void);

#endif
