/*
 * Unit tests of the HTTP client of the faces.
 */
#ifndef UNIT_HTTP_H
#define UNIT_HTTP_H

#include <check.h>

TCase *unit_http_case(void);

#endif
