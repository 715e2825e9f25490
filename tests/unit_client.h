/*
 * Unit tests of the HTTP client on a loopback listener.
 */
#ifndef UNIT_CLIENT_H
#define UNIT_CLIENT_H

#include <check.h>

TCase *unit_client_case(void);

#endif
