/*
 * Fingerprints of callers' requests.
 */
#include "qr_fingerprint.h"

#include "io/qr_log.h"

#include <openssl/evp.h>
#include <string.h>

/* Hashes the length first, which tells "ab" + "c" from "a" + "bc". */
static bool hash_bytes(EVP_MD_CTX *ctx, const void *p, size_t len)
{
    uint64_t n = len;

    return EVP_DigestUpdate(ctx, &n, sizeof(n)) &&
           EVP_DigestUpdate(ctx, p, len);
}

static bool hash_text(EVP_MD_CTX *ctx, const char *text)
{
    return hash_bytes(ctx, text ? text : "", text ? strlen(text) : 0);
}

bool qr_fingerprint_make(const QRFingerprintParts *parts, QRFingerprint *out)
{
    EVP_MD_CTX *ctx = EVP_MD_CTX_new();
    unsigned char md[EVP_MAX_MD_SIZE];
    bool ok = ctx && EVP_DigestInit_ex(ctx, EVP_sha256(), NULL) &&
              hash_text(ctx, parts->method) && hash_text(ctx, parts->host) &&
              hash_text(ctx, parts->target) && hash_text(ctx, parts->team) &&
              hash_bytes(ctx, parts->body, parts->body_len) &&
              EVP_DigestFinal_ex(ctx, md, NULL);

    EVP_MD_CTX_free(ctx);
    if (ok)
        memcpy(out->bytes, md, sizeof(out->bytes));
    else
        qr_logf(QR_LEVEL_ERROR, "requests",
                "fingerprint not computed why=digest failed");
    return ok;
}

void qr_fingerprint_text(const QRFingerprint *f, char out[QR_FINGERPRINT_HEX])
{
    for (unsigned i = 0; i < QR_FINGERPRINT_BYTES; i++)
        g_snprintf(out + (size_t)2 * i, 3, "%02x", f->bytes[i]);
}

bool qr_fingerprint_parse(const char *text, QRFingerprint *out)
{
    if (strlen(text) != QR_FINGERPRINT_HEX - 1)
        return false;
    for (unsigned i = 0; i < QR_FINGERPRINT_BYTES; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);

        if (high < 0 || low < 0)
            return false;
        out->bytes[i] = (uint8_t)(high << 4 | low);
    }
    return true;
}

guint qr_fingerprint_hash(const void *f)
{
    guint h;

    memcpy(&h, f, sizeof(h));
    return h;
}

gboolean qr_fingerprint_equal(const void *a, const void *b)
{
    return memcmp(a, b, QR_FINGERPRINT_BYTES) == 0;
}
