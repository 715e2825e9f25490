/*
 * Fingerprint of a caller's request. Requests with equal method, host, path and
 * query, team and body have the same fingerprint; call ids are not included.
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
 * Computes the first QR_FINGERPRINT_BYTES of a SHA-256 over all parts, each
 * preceded by its length. A cryptographic hash is needed because callers choose
 * the bytes, and must not be able to make another caller's request match
 * theirs. Returns false and logs an error if the library fails.
 */
bool qr_fingerprint_make(const QRFingerprintParts *parts, QRFingerprint *out);
/* Writes the fingerprint in hexadecimal. */
void qr_fingerprint_text(const QRFingerprint *f, char out[QR_FINGERPRINT_HEX]);
/* Returns false if 'text' is not a fingerprint in hexadecimal. */
bool qr_fingerprint_parse(const char *text, QRFingerprint *out);
/* For a GHashTable whose keys are fingerprints. */
guint qr_fingerprint_hash(const void *f);
gboolean qr_fingerprint_equal(const void *a, const void *b);

#endif
