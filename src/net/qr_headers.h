/*
 * Header fields of one HTTP message, in the order of arrival.
 */
#ifndef QR_HEADERS_H
#define QR_HEADERS_H

#include "base/qr_base.h"

typedef struct QRHeaders {
    GString *text;  /* NUL-terminated names and values */
    GArray *fields; /* QRHeaderField */
} QRHeaders;

typedef struct QRHeaderField {
    uint32_t name, value; /* offsets in text */
} QRHeaderField;

void qr_headers_init(QRHeaders *h);
void qr_headers_clear(QRHeaders *h);
/* Removes all fields and keeps the memory. */
void qr_headers_reset(QRHeaders *h);
/* Replaces the fields of 'h' with those of 'from'. */
void qr_headers_copy(QRHeaders *h, const QRHeaders *from);
void qr_headers_add(QRHeaders *h, const char *name, const char *value);
unsigned qr_headers_count(const QRHeaders *h);
const char *qr_headers_name(const QRHeaders *h, unsigned i);
const char *qr_headers_value(const QRHeaders *h, unsigned i);
/* Returns the first value of 'name', ignoring case, or NULL. The value belongs
   to 'h' and is valid until 'h' changes. */
const char *qr_headers_get(const QRHeaders *h, const char *name);
/* Returns the number of fields called 'name', ignoring case. */
unsigned qr_headers_count_of(const QRHeaders *h, const char *name);
/* Whether a field concerns one connection only and must not be forwarded
   (RFC 9110, 7.6.1). */
bool qr_headers_is_hop_by_hop(const QRHeaders *h, const char *name);
/* Whether the comma-separated list 'value' contains 'token', ignoring case. */
bool qr_headers_list_has(const char *value, const char *token);

#endif
