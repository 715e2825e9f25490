/*
 * Fingerprints of what may crash engines: a caller's request, or a part of its
 * prompt. Requests with equal method, host, path and query, team and body have
 * the same fingerprint; call ids are not included. A part has one fingerprint
 * for each service, whoever sends it.
 */
#ifndef QR_FINGERPRINT_H
#define QR_FINGERPRINT_H

#include "fleet/qr_platform.h"
#include "net/qr_body.h"

#define QR_FINGERPRINT_BYTES 16
#define QR_FINGERPRINT_PART_PREFIX "part."
#define QR_FINGERPRINT_TEXT                                                    \
    (sizeof(QR_FINGERPRINT_PART_PREFIX) + (size_t)2 * QR_FINGERPRINT_BYTES)

typedef enum QRFingerprintKind {
    QR_FINGERPRINT_REQUEST,
    QR_FINGERPRINT_PART, /* of a prompt */
} QRFingerprintKind;

typedef struct QRFingerprint {
    uint8_t bytes[QR_FINGERPRINT_BYTES];
    QRFingerprintKind kind;
} QRFingerprint;

typedef struct QRFingerprintParts {
    const char *method, *host, *target, *team;
    const QRBody *body; /* NULL: empty */
} QRFingerprintParts;

/*
 * Computes the first QR_FINGERPRINT_BYTES of a SHA-256 over all parts, each
 * preceded by its length. A cryptographic hash is needed because callers choose
 * the bytes, and must not be able to make another caller's request match
 * theirs. Returns false and logs an error if the library fails.
 */
bool qr_fingerprint_make(const QRFingerprintParts *parts, QRFingerprint *out);
/* The same for a part of a prompt, sent to 'service'. */
bool qr_fingerprint_make_part(const char *service, const QRPromptPart *part,
                              QRFingerprint *out);
/* Writes the fingerprint in hexadecimal, that of a part with a prefix. */
void qr_fingerprint_text(const QRFingerprint *f, char out[QR_FINGERPRINT_TEXT]);
/* Returns false if 'text' was not written by qr_fingerprint_text(). */
bool qr_fingerprint_parse(const char *text, QRFingerprint *out);
/* For a GHashTable whose keys are fingerprints. */
guint qr_fingerprint_hash(const void *f);
gboolean qr_fingerprint_equal(const void *a, const void *b);

#endif
