/*
 * Account of the memory that the clients of a process hold.
 */
#include "qr_account.h"

#include <string.h>

#define DEFAULT_MEMORY_BYTES (256u << 20)
#define LOG_LINES_PER_S 20
#define WINDOWS_DIVISOR 4 /* part of the large share for receive buffers */

void qr_account_init(QRAccount *a)
{
    memset(a, 0, sizeof(*a));
    a->servers = g_ptr_array_new();
    qr_account_set_memory(a, 0);
}

void qr_account_clear(QRAccount *a)
{
    g_clear_pointer(&a->servers, g_ptr_array_unref);
}

void qr_account_set_memory(QRAccount *a, uint64_t memory_bytes)
{
    uint64_t memory = memory_bytes ? memory_bytes : DEFAULT_MEMORY_BYTES;

    a->limit = (size_t)(memory / 8 * 3);
}

size_t qr_account_share(const QRAccount *a, QRAccountClass c)
{
    return c == QR_ACCOUNT_LARGE ? a->limit / 4 * 3 : a->limit;
}

size_t qr_account_held(const QRAccount *a)
{
    return a->held[QR_ACCOUNT_SMALL] + a->held[QR_ACCOUNT_LARGE];
}

size_t qr_account_excess(const QRAccount *a, QRAccountClass c, size_t more)
{
    size_t share = qr_account_share(a, QR_ACCOUNT_LARGE);
    size_t large = a->held[QR_ACCOUNT_LARGE], small = a->held[QR_ACCOUNT_SMALL];
    size_t excess;

    /* what is in excess of the large share does not count against small ones */
    if (c == QR_ACCOUNT_SMALL)
        large = MIN(large, share);
    excess = MAX(large + small + more, a->limit) - a->limit;
    if (c == QR_ACCOUNT_LARGE)
        excess = MAX(excess, MAX(large + more, share) - share);
    return excess;
}

bool qr_account_is_scarce(const QRAccount *a)
{
    return qr_account_held(a) >= a->limit / 2;
}

bool qr_account_may_fit(const QRAccount *a, size_t length)
{
    QRAccountClass c =
        length > QR_ACCOUNT_SMALL_BYTES ? QR_ACCOUNT_LARGE : QR_ACCOUNT_SMALL;

    return length <= qr_account_share(a, c) &&
           qr_account_excess(a, c, length) <= a->receiving + a->windows;
}

bool qr_account_may_grow_window(const QRAccount *a, size_t bytes)
{
    return a->windows + bytes <=
               qr_account_share(a, QR_ACCOUNT_LARGE) / WINDOWS_DIVISOR &&
           qr_account_excess(a, QR_ACCOUNT_LARGE, bytes) == 0;
}

void qr_account_charge(QRAccount *a, QRAccountClass c, size_t bytes)
{
    a->held[c] += bytes;
}

void qr_account_release(QRAccount *a, QRAccountClass c, size_t bytes)
{
    g_assert(a->held[c] >= bytes);
    a->held[c] -= bytes;
}

bool qr_account_may_log(QRAccount *a, uint64_t now_ms, unsigned *dropped)
{
    if (now_ms / 1000 != a->log_second) {
        a->log_second = now_ms / 1000;
        a->log_lines = 0;
    }
    if (a->log_lines >= LOG_LINES_PER_S) {
        a->log_dropped++;
        return false;
    }
    a->log_lines++;
    *dropped = a->log_dropped;
    a->log_dropped = 0;
    return true;
}

void qr_account_append_metrics(const QRAccount *a, GString *out)
{
    static const struct {
        const char *name, *help;
    } names[] = {
#define DEF(name, help) {#name, help},
        QR_ACCOUNT_COUNTER_LIST
#undef DEF
    };

    for (unsigned i = 0; i < QR_ACCOUNT_COUNTER_COUNT; i++)
        g_string_append_printf(out,
                               "# HELP quayring_client_%s_total %s\n"
                               "# TYPE quayring_client_%s_total counter\n"
                               "quayring_client_%s_total %" G_GUINT64_FORMAT
                               "\n",
                               names[i].name, names[i].help, names[i].name,
                               names[i].name, a->counts[i]);
    g_string_append_printf(out,
                           "quayring_client_memory_bytes %zu\n"
                           "quayring_client_memory_large_bytes %zu\n"
                           "quayring_client_memory_limit_bytes %zu\n"
                           "quayring_client_receive_buffers_bytes %zu\n"
                           "quayring_client_connections %u\n",
                           qr_account_held(a), a->held[QR_ACCOUNT_LARGE],
                           a->limit, a->windows, a->connections);
}
