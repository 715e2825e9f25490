/*
 * The body of a client's request, in segments that are charged to an account.
 * The exchange and the requests to engines share one body.
 */
#ifndef QR_BODY_H
#define QR_BODY_H

#include "qr_account.h"

typedef struct QRBodySegment {
    size_t len, size; /* bytes used, and allocated */
    char *data;
} QRBodySegment;

typedef struct QRBody QRBody;

/* An empty body. 'account' must outlive it. */
QRBody *qr_body_new(QRAccount *account);
QRBody *qr_body_ref(QRBody *b);
void qr_body_unref(QRBody *b);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(QRBody, qr_body_unref)

/* Announces how many bytes follow in all, so that the last segment is no longer
   than needed. 0: unknown. */
void qr_body_expect(QRBody *b, uint64_t length);
/* Bytes that the next append would charge to the account, and their class; 0:
   it needs no further segment. */
size_t qr_body_next_charge(const QRBody *b, QRAccountClass *class);
/* Appends up to 'len' bytes to the last segment, or to a new one, which is
   charged to the account. Returns the number appended. */
size_t qr_body_append(QRBody *b, const char *data, size_t len);
/* NULL is an empty body. */
size_t qr_body_len(const QRBody *b);
/* Bytes that are charged for the body. */
size_t qr_body_held(const QRBody *b);
unsigned qr_body_segments(const QRBody *b);
const QRBodySegment *qr_body_segment(const QRBody *b, unsigned i);

#endif
