/*
 * Header fields of one HTTP message, in the order in which they came.
 */
#ifndef QR_HEADERS_H
#define QR_HEADERS_H

#include "base/qr_base.h"

typedef struct QRHeaders {
    GString *text;  /* names and values, each ended by a NUL */
    GArray *fields; /* QRHeaderField */
} QRHeaders;

typedef struct QRHeaderField {
    uint32_t name, value; /* offsets in text */
} QRHeaderField;

void qr_headers_init(QRHeaders *h);
void qr_headers_clear(QRHeaders *h);
/* Forgets all fields and keeps the memory. */
void qr_headers_reset(QRHeaders *h);
/* Makes 'h' hold what 'from' holds. */
void qr_headers_copy(QRHeaders *h, const QRHeaders *from);
void qr_headers_add(QRHeaders *h, const char *name, const char *value);
unsigned qr_headers_count(const QRHeaders *h);
const char *qr_headers_name(const QRHeaders *h, unsigned i);
const char *qr_headers_value(const QRHeaders *h, unsigned i);
/* The first value of 'name' (case is ignored), or NULL. Borrowed. */
const char *qr_headers_get(const QRHeaders *h, const char *name);
unsigned qr_headers_count_of(const QRHeaders *h, const char *name);
/* Concerns one connection only, so is never passed on (RFC 9110, 7.6.1). */
bool qr_headers_is_hop_by_hop(const QRHeaders *h, const char *name);
/* Whether the comma-separated list 'value' holds 'token'. */
bool qr_headers_list_has(const char *value, const char *token);

#endif
