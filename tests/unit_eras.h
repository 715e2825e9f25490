/* Records of a store that comes back without its last ones. */
#ifndef UNIT_ERAS_H
#define UNIT_ERAS_H

#include <check.h>

TCase *unit_eras_case(void);

#endif
