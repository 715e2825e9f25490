/* Unit tests of records after the store was restored without its latest ones.
 */
#ifndef UNIT_EPOCHS_H
#define UNIT_EPOCHS_H

#include <check.h>

TCase *unit_epochs_case(void);

#endif
