/*
 * Fingerprints of callers' requests and of parts of prompts.
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

static bool hash_body(EVP_MD_CTX *ctx, const QRBody *body)
{
    uint64_t n = qr_body_len(body);
    bool ok = EVP_DigestUpdate(ctx, &n, sizeof(n));

    for (unsigned i = 0; ok && body && i < qr_body_segments(body); i++) {
        const QRBodySegment *s = qr_body_segment(body, i);

        ok = EVP_DigestUpdate(ctx, s->data, s->len);
    }
    return ok;
}

/* Ends the digest and fills 'out'. 'ok': everything was hashed so far. */
static bool finish(EVP_MD_CTX *ctx, bool ok, QRFingerprintKind kind,
                   QRFingerprint *out)
{
    unsigned char md[EVP_MAX_MD_SIZE];

    ok = ok && EVP_DigestFinal_ex(ctx, md, NULL);
    EVP_MD_CTX_free(ctx);
    if (ok) {
        memcpy(out->bytes, md, sizeof(out->bytes));
        out->kind = kind;
    } else {
        qr_logf(QR_LEVEL_ERROR, "requests",
                "fingerprint not computed why=digest failed");
    }
    return ok;
}

bool qr_fingerprint_make(const QRFingerprintParts *parts, QRFingerprint *out)
{
    EVP_MD_CTX *ctx = EVP_MD_CTX_new();
    bool ok = ctx && EVP_DigestInit_ex(ctx, EVP_sha256(), NULL) &&
              hash_text(ctx, parts->method) && hash_text(ctx, parts->host) &&
              hash_text(ctx, parts->target) && hash_text(ctx, parts->team) &&
              hash_body(ctx, parts->body);

    return finish(ctx, ok, QR_FINGERPRINT_REQUEST, out);
}

bool qr_fingerprint_make_part(const char *service, const QRPromptPart *part,
                              QRFingerprint *out)
{
    EVP_MD_CTX *ctx = EVP_MD_CTX_new();
    g_autofree char *id = g_ascii_strdown(part->id, (gssize)part->id_len);
    bool ok = ctx && EVP_DigestInit_ex(ctx, EVP_sha256(), NULL) &&
              hash_text(ctx, service) && hash_bytes(ctx, id, part->id_len);

    return finish(ctx, ok, QR_FINGERPRINT_PART, out);
}

void qr_fingerprint_text(const QRFingerprint *f, char out[QR_FINGERPRINT_TEXT])
{
    const char *prefix =
        f->kind == QR_FINGERPRINT_PART ? QR_FINGERPRINT_PART_PREFIX : "";
    size_t n = g_strlcpy(out, prefix, QR_FINGERPRINT_TEXT);

    for (unsigned i = 0; i < QR_FINGERPRINT_BYTES; i++)
        g_snprintf(out + n + (size_t)2 * i, 3, "%02x", f->bytes[i]);
}

bool qr_fingerprint_parse(const char *text, QRFingerprint *out)
{
    bool is_part = g_str_has_prefix(text, QR_FINGERPRINT_PART_PREFIX);

    if (is_part)
        text += strlen(QR_FINGERPRINT_PART_PREFIX);
    out->kind = is_part ? QR_FINGERPRINT_PART : QR_FINGERPRINT_REQUEST;
    if (strlen(text) != (size_t)2 * QR_FINGERPRINT_BYTES)
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
    const QRFingerprint *x = a, *y = b;

    return x->kind == y->kind &&
           memcmp(x->bytes, y->bytes, QR_FINGERPRINT_BYTES) == 0;
}
