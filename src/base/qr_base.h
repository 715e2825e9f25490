/*
 * Common ground of every module: errors, findings, handles, hashing.
 */
#ifndef QR_BASE_H
#define QR_BASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>

/* What a GError of QR_ERROR says. */
typedef enum QRErrorCode {
    QR_ERROR_BAD_INPUT,
    QR_ERROR_TOO_LARGE,
    QR_ERROR_IO,         /* it surely was not done */
    QR_ERROR_MAYBE_DONE, /* no answer: it may have been done */
    QR_ERROR_REFUSED,
    QR_ERROR_CONFLICT,
} QRErrorCode;

#define QR_ERROR (qr_error_quark())
GQuark qr_error_quark(void);

/* What is wrong with an input, and where; collected, reported together. */
typedef struct QRFindings {
    const char *file; /* shown before each place, borrowed */
    GPtrArray *lines; /* char * */
} QRFindings;

void qr_findings_init(QRFindings *f, const char *file);
void qr_findings_clear(QRFindings *f);
void qr_findings_add(QRFindings *f, const char *place, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
static inline unsigned qr_findings_count(const QRFindings *f)
{
    return f->lines->len;
}
/* All findings as one text, one a line. The caller frees it. */
char *qr_findings_text(const QRFindings *f);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRFindings, qr_findings_clear)

/*
 * A handle names a row of a QRTable. A freed row changes its generation, so
 * a late message that carries an old handle finds nothing.
 */
typedef uint64_t QRHandle;
#define QR_HANDLE_NONE ((QRHandle)0)

typedef struct QRTable {
    GPtrArray *rows; /* row or NULL */
    GArray *gens;    /* uint32_t generation of each row */
    GArray *unused;  /* uint32_t free indexes */
    unsigned count;  /* rows in use */
} QRTable;

void qr_table_init(QRTable *t);
void qr_table_clear(QRTable *t, GDestroyNotify row_free);
/* 'row' stays owned by the caller's module. */
QRHandle qr_table_add(QRTable *t, void *row);
void *qr_table_get(const QRTable *t, QRHandle h);
/* Returns the row that was removed, or NULL. */
void *qr_table_remove(QRTable *t, QRHandle h);

#define QR_TABLE_FOR(t, i, row)                                                \
    for (unsigned i = 0; i < (t)->rows->len; i++)                              \
        if (((row) = (t)->rows->pdata[i]) != NULL)

/* 64-bit hash for spreading load; not for integrity. */
uint64_t qr_hash64(const void *p, size_t len, uint64_t seed);
uint64_t qr_hash_str(const char *s, uint64_t seed);
/* Rendezvous weight of 'name' for 'key': the largest wins. */
uint64_t qr_rendezvous(const char *key, const char *name);

/* SHA-256 as 64 hex digits and a NUL. */
#define QR_SHA_HEX 65
void qr_sha256_hex(const void *p, size_t len, char out[QR_SHA_HEX]);

/* Monotonic milliseconds and wall-clock seconds. Never called by core/. */
uint64_t qr_now_ms(void);
uint64_t qr_wall_s(void);

/* Splits "ip:port"; returns -1 and sets 'err' when it is neither. */
int qr_parse_address(const char *text, char **ip, int *port, GError **err);

bool qr_address_ok(const char *text);

/* Allowed in names of hosts, teams, services, calls: printable, no quote. */
#define QR_NAME_MAX 128
bool qr_name_ok(const char *s);

#endif
