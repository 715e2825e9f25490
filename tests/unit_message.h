/*
 * Unit tests of reading HTTP messages.
 */
#ifndef UNIT_MESSAGE_H
#define UNIT_MESSAGE_H

#include <check.h>

#include <stddef.h>

/* Bytes that may hold NUL. */
typedef struct UnitText {
    const char *bytes;
    size_t len;
} UnitText;

/* Answers with a body of 4 bytes. */
extern const UnitText unit_sound_answers[];
extern const unsigned unit_sound_answers_count;
/* Answers whose head the grammar doesn't allow. */
extern const UnitText unit_unsound_answers[];
extern const unsigned unit_unsound_answers_count;

TCase *unit_message_case(void);

#endif
