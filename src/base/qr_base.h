/*
 * Shared by all modules: error codes, findings, handles, hashing, clocks and
 * checks of names and addresses.
 */
#ifndef QR_BASE_H
#define QR_BASE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>

/* Codes of a GError in the domain QR_ERROR. */
typedef enum QRErrorCode {
    QR_ERROR_BAD_INPUT,
    QR_ERROR_TOO_LARGE,
    QR_ERROR_IO,         /* the operation certainly was not done */
    QR_ERROR_MAYBE_DONE, /* no answer: the operation may have been done */
    QR_ERROR_REFUSED,
    QR_ERROR_CONFLICT,
} QRErrorCode;

#define QR_ERROR (qr_error_quark())
GQuark qr_error_quark(void);

/* Problems found in an input, collected to be reported together. */
typedef struct QRFindings {
    const char *file; /* the input's name, opens each line; borrowed */
    GPtrArray *lines; /* char *: "file: location: text" */
} QRFindings;

void qr_findings_init(QRFindings *f, const char *file);
void qr_findings_clear(QRFindings *f);
void qr_findings_add(QRFindings *f, const char *location, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
static inline unsigned qr_findings_count(const QRFindings *f)
{
    return f->lines->len;
}
/* All findings as one text, one per line. The caller frees it. */
char *qr_findings_text(const QRFindings *f);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(QRFindings, qr_findings_clear)

/*
 * A handle identifies a row of a QRTable: generation in the upper 32 bits,
 * index in the lower. Removing a row raises the generation of its index; a late
 * message with the handle of a removed row therefore finds no row.
 */
typedef uint64_t QRHandle;
#define QR_HANDLE_NONE ((QRHandle)0)

typedef struct QRTable {
    GPtrArray *rows;      /* row or NULL */
    GArray *generations;  /* uint32_t generation of each row */
    GArray *free_indexes; /* uint32_t */
    unsigned count;       /* rows in use */
} QRTable;

void qr_table_init(QRTable *t);
/* Calls 'row_free', if not NULL, for each row in use. */
void qr_table_clear(QRTable *t, GDestroyNotify row_free);
/* The table borrows 'row'. */
QRHandle qr_table_add(QRTable *t, void *row);
/* Returns NULL if the row was removed. */
void *qr_table_get(const QRTable *t, QRHandle h);
/* Returns the row that was removed, or NULL. */
void *qr_table_remove(QRTable *t, QRHandle h);

/* Runs the statement that follows for each row in use. */
#define QR_TABLE_FOR(t, i, row)                                                \
    for (unsigned i = 0; i < (t)->rows->len; i++)                              \
        if (((row) = (t)->rows->pdata[i]) != NULL)

/* 64-bit hash for load distribution; not for integrity checks. */
uint64_t qr_hash64(const void *p, size_t len, uint64_t seed);
uint64_t qr_hash_str(const char *s, uint64_t seed);
/* Weight of 'name' for 'key' in rendezvous hashing: the name with the largest
   weight is chosen. */
uint64_t qr_rendezvous(const char *key, const char *name);

/* Size of a SHA-256 in hex: 64 digits and a NUL. */
#define QR_SHA_HEX 65
void qr_sha256_hex(const void *p, size_t len, char out[QR_SHA_HEX]);

/* Monotonic time in ms, and Unix time in s. Code in core/ calls neither. */
uint64_t qr_now_ms(void);
uint64_t qr_wall_s(void);

/* Splits "ip:port" (IPv4, port 1 to 65535). The caller frees 'ip'. Returns -1
   and sets 'err' if 'text' is malformed. */
int qr_parse_address(const char *text, char **ip, int *port, GError **err);

/* Whether qr_parse_address() accepts 'text'. */
bool qr_address_ok(const char *text);

/* Whether 's' may name a host, team, service or call: 1 to QR_NAME_MAX bytes,
   each an ASCII letter, a digit or one of -_.:/ */
#define QR_NAME_MAX 128 /* bytes */
bool qr_name_ok(const char *s);

#endif
