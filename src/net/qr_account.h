/*
 * Account of the memory that the clients of a process hold: what they have
 * sent, what is queued for engines on their behalf, and the answers that they
 * have not read. See docs/design/client-memory.md.
 */
#ifndef QR_ACCOUNT_H
#define QR_ACCOUNT_H

#include "base/qr_base.h"

/* A request with more bytes of body counts as large. */
#define QR_ACCOUNT_SMALL_BYTES (16u << 10)

typedef enum QRAccountClass {
    QR_ACCOUNT_SMALL, /* connections, heads, bodies up to that size */
    QR_ACCOUNT_LARGE, /* other bodies, and unread answers */
    QR_ACCOUNT_CLASS_COUNT
} QRAccountClass;

/* DEF(name, help) */
#define QR_ACCOUNT_COUNTER_LIST                                                \
    DEF(bodies_too_large, "413: a body over its limit")                        \
    DEF(refused_memory, "503: no memory for a request")                        \
    DEF(yielded_memory, "503: ended unfinished, as others needed its memory")  \
    DEF(yielded_unread, "answers aborted, as others needed their memory")      \
    DEF(yielded_connection, "connections closed in favour of new ones")        \
    DEF(refused_connection, "new connections closed, as none could yield")

typedef enum QRAccountCounter {
#define DEF(name, help) QR_ACCOUNT_COUNT_##name,
    QR_ACCOUNT_COUNTER_LIST
#undef DEF
        QR_ACCOUNT_COUNTER_COUNT
} QRAccountCounter;

typedef struct QRAccount {
    size_t limit;                        /* bytes, of all classes */
    size_t held[QR_ACCOUNT_CLASS_COUNT]; /* bytes */
    size_t receiving; /* of these: bodies of requests that are not whole */
    size_t windows;   /* of these: large receive buffers of such requests */
    unsigned connections;
    GPtrArray *servers; /* QRServer *: whose connections may yield */
    bool yielding;      /* some connection is being ended for its memory */
    uint64_t counts[QR_ACCOUNT_COUNTER_COUNT];
    /* bound on log lines about clients */
    uint64_t log_second;
    unsigned log_lines, log_dropped;
} QRAccount;

void qr_account_init(QRAccount *a);
void qr_account_clear(QRAccount *a);
/* Sets the limit by the memory of the process; 0: a default. What is held
   already stays. */
void qr_account_set_memory(QRAccount *a, uint64_t memory_bytes);
/* Bytes of all classes. */
size_t qr_account_held(const QRAccount *a);
/* The largest sum of bytes of the class. */
size_t qr_account_share(const QRAccount *a, QRAccountClass c);
/* Bytes by which 'more' of the class would exceed a limit; 0: there is room. */
size_t qr_account_excess(const QRAccount *a, QRAccountClass c, size_t more);
/* Whether half of the limit is held. */
bool qr_account_is_scarce(const QRAccount *a);
/* Whether there is room for one more large receive buffer of 'bytes', for which
   nobody yields. */
bool qr_account_may_grow_window(const QRAccount *a, size_t bytes);
/* Whether a body of 'length' could be held if all requests that are not whole
   yielded. */
bool qr_account_may_fit(const QRAccount *a, size_t length);
void qr_account_charge(QRAccount *a, QRAccountClass c, size_t bytes);
void qr_account_release(QRAccount *a, QRAccountClass c, size_t bytes);
/* Whether one more line about clients may be logged in this second. Sets
   'dropped' to the number of lines left out since the last one. */
bool qr_account_may_log(QRAccount *a, uint64_t now_ms, unsigned *dropped);
/* Appends counters and gauges as metrics text. */
void qr_account_append_metrics(const QRAccount *a, GString *out);

#endif
