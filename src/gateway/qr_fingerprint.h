/*
 * What makes two requests of callers the same, whatever their ids: method,
 * host, path and query, team, body.
 */
#ifndef QR_FINGERPRINT_H
#define QR_FINGERPRINT_H

#include "base/qr_base.h"

#define QR_FINGERPRINT_BYTES 16
#define QR_FINGERPRINT_HEX (2 * QR_FINGERPRINT_BYTES + 1)

typedef struct QRFingerprint {
    uint8_t bytes[QR_FINGERPRINT_BYTES];
} QRFingerprint;

typedef struct QRFingerprintParts {
    const char *method, *host, *target, *team;
    const void *body;
    size_t body_len;
} QRFingerprintParts;

/*
 * The start of a SHA-256 over all parts, each behind its length: callers choose
 * their bytes, and must not be able to make another's request look like theirs.
 * Returns false, and logs it, if the library fails.
 */
bool qr_fingerprint_make(const QRFingerprintParts *parts, QRFingerprint *out);
void qr_fingerprint_text(const QRFingerprint *f, char out[QR_FINGERPRINT_HEX]);
/* False if 'text' is none. */
bool qr_fingerprint_parse(const char *text, QRFingerprint *out);
/* For hash tables whose keys are fingerprints. */
guint qr_fingerprint_hash(const void *f);
gboolean qr_fingerprint_equal(const void *a, const void *b);

#endif
