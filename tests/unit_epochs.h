/* Records of a store that comes back without its last ones. */
#ifndef UNIT_EPOCHS_H
#define UNIT_EPOCHS_H

#include <check.h>

TCase *unit_epochs_case(void);

#endif
