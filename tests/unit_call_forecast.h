/*
 * Unit tests of the forecast of calls and of admission by it.
 */
#ifndef UNIT_CALL_FORECAST_H
#define UNIT_CALL_FORECAST_H

#include <check.h>

TCase *unit_call_forecast_case(void);

#endif
