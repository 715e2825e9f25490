/*
 * Unit tests of the pace of streams and engines.
 */
#ifndef UNIT_STREAM_PACE_H
#define UNIT_STREAM_PACE_H

#include <check.h>

TCase *unit_stream_pace_case(void);

#endif
