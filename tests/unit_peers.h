/*
 * Unit tests of the limits on connections between processes.
 */
#ifndef UNIT_PEERS_H
#define UNIT_PEERS_H

#include <check.h>

TCase *unit_peers_case(void);

#endif
