/*
 * Shared by all modules: error codes, findings, handles, hashing, clocks and
 * checks of names and addresses.
 */
#include "qr_base.h"

#include <arpa/inet.h>
#include <openssl/evp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

GQuark qr_error_quark(void)
{
    return g_quark_from_static_string("quayring");
}

void qr_findings_init(QRFindings *f, const char *file)
{
    f->file = file;
    f->lines = g_ptr_array_new_with_free_func(g_free);
}

void qr_findings_clear(QRFindings *f)
{
    g_clear_pointer(&f->lines, g_ptr_array_unref);
}

void qr_findings_add(QRFindings *f, const char *location, const char *fmt, ...)
{
    g_autofree char *text = NULL;
    va_list ap;

    va_start(ap, fmt);
    text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    g_ptr_array_add(f->lines,
                    g_strdup_printf("%s: %s: %s", f->file, location, text));
}

char *qr_findings_text(const QRFindings *f)
{
    GString *s = g_string_new(NULL);

    for (unsigned i = 0; i < f->lines->len; i++)
        g_string_append_printf(s, "%s\n", (char *)f->lines->pdata[i]);
    return g_string_free(s, FALSE);
}

void qr_table_init(QRTable *t)
{
    t->rows = g_ptr_array_new();
    t->generations = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    t->free_indexes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    t->count = 0;
}

void qr_table_clear(QRTable *t, GDestroyNotify row_free)
{
    for (unsigned i = 0; row_free && i < t->rows->len; i++) {
        if (t->rows->pdata[i])
            row_free(t->rows->pdata[i]);
    }
    g_ptr_array_unref(t->rows);
    g_array_unref(t->generations);
    g_array_unref(t->free_indexes);
}

QRHandle qr_table_add(QRTable *t, void *row)
{
    uint32_t i, generation;

    if (t->free_indexes->len > 0) {
        i = g_array_index(t->free_indexes, uint32_t, t->free_indexes->len - 1);
        g_array_set_size(t->free_indexes, t->free_indexes->len - 1);
        t->rows->pdata[i] = row;
    } else {
        i = t->rows->len;
        generation = 1;
        g_ptr_array_add(t->rows, row);
        g_array_append_val(t->generations, generation);
    }
    t->count++;
    generation = g_array_index(t->generations, uint32_t, i);
    return (QRHandle)generation << 32 | i;
}

static bool table_has(const QRTable *t, QRHandle h)
{
    uint32_t i = (uint32_t)h;

    return i < t->rows->len &&
           g_array_index(t->generations, uint32_t, i) == (uint32_t)(h >> 32);
}

void *qr_table_get(const QRTable *t, QRHandle h)
{
    return table_has(t, h) ? t->rows->pdata[(uint32_t)h] : NULL;
}

void *qr_table_remove(QRTable *t, QRHandle h)
{
    uint32_t i = (uint32_t)h;
    void *row;

    if (!table_has(t, h) || !t->rows->pdata[i])
        return NULL;
    row = t->rows->pdata[i];
    t->rows->pdata[i] = NULL;
    g_array_index(t->generations, uint32_t, i)++;
    g_array_append_val(t->free_indexes, i);
    t->count--;
    return row;
}

/* Finalizer of MurmurHash3; FNV-1a alone mixes the low bits poorly. */
static uint64_t hash_mix(uint64_t h)
{
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdULL;
    h ^= h >> 33;
    h *= 0xc4ceb9fe1a85ec53ULL;
    return h ^ h >> 33;
}

uint64_t qr_hash64(const void *p, size_t len, uint64_t seed)
{
    const unsigned char *s = p;
    uint64_t h = 0xcbf29ce484222325ULL ^ hash_mix(seed);

    for (size_t i = 0; i < len; i++)
        h = (h ^ s[i]) * 0x100000001b3ULL;
    return hash_mix(h);
}

uint64_t qr_hash_str(const char *s, uint64_t seed)
{
    return qr_hash64(s, strlen(s), seed);
}

uint64_t qr_rendezvous(const char *key, const char *name)
{
    return qr_hash_str(name, qr_hash_str(key, 0));
}

void qr_sha256_hex(const void *p, size_t len, char out[QR_SHA_HEX])
{
    static const char digits[] = "0123456789abcdef";
    unsigned char md[EVP_MAX_MD_SIZE];
    unsigned n = 0;

    if (!EVP_Digest(p, len, md, &n, EVP_sha256(), NULL))
        n = 0;
    for (unsigned i = 0; i < n; i++) {
        out[2 * i] = digits[md[i] >> 4];
        out[2 * i + 1] = digits[md[i] & 15];
    }
    out[2 * n] = '\0';
}

uint64_t qr_now_ms(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

uint64_t qr_wall_s(void)
{
    return (uint64_t)time(NULL);
}

int qr_parse_address(const char *text, char **ip, int *port, GError **err)
{
    const char *colon = strrchr(text, ':');
    g_autofree char *host = NULL;
    struct in_addr in;
    char *end = NULL;
    long n = 0;

    if (colon) {
        host = g_strndup(text, (gsize)(colon - text));
        n = strtol(colon + 1, &end, 10);
    }
    if (!colon || inet_pton(AF_INET, host, &in) != 1 || *end || n < 1 ||
        n > 65535) {
        g_set_error(err, QR_ERROR, QR_ERROR_BAD_INPUT,
                    "'%s' is not an ip:port address", text);
        return -1;
    }
    *ip = g_steal_pointer(&host);
    *port = (int)n;
    return 0;
}

bool qr_address_ok(const char *text)
{
    g_autofree char *ip = NULL;
    int port;

    return qr_parse_address(text, &ip, &port, NULL) == 0;
}

bool qr_name_ok(const char *s)
{
    size_t n = s ? strlen(s) : 0;

    if (n == 0 || n > QR_NAME_MAX)
        return false;
    for (size_t i = 0; i < n; i++) {
        if (!g_ascii_isalnum(s[i]) && !strchr("-_.:/", s[i]))
            return false;
    }
    return true;
}
