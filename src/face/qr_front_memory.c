/*
 * Memory that callers of an entry hold.
 */
#include "qr_front_memory.h"

#include "io/qr_log.h"

#define YIELD_MIN_MS 500 /* younger bodies do not yield to each other */
/* The event, the frame to an agent and the queue of its connection. */
#define WHOLE_COPIES 3

void qr_front_memory_init(QRFrontMemory *m, uint64_t memory_bytes)
{
    qr_account_init(&m->account);
    qr_account_set_memory(&m->account, memory_bytes);
    m->receiving = g_ptr_array_new();
}

void qr_front_memory_clear(QRFrontMemory *m)
{
    g_ptr_array_unref(m->receiving);
    qr_account_clear(&m->account);
}

bool qr_front_memory_may_fit(const QRFrontMemory *m, uint64_t length)
{
    return length <= m->account.limit / WHOLE_COPIES &&
           qr_account_may_fit(&m->account, (size_t)length);
}

void qr_front_body_begin(QRFrontMemory *m, QRFrontBody *b, uint64_t length)
{
    b->memory = m;
    b->body = qr_body_new(&m->account);
    qr_body_expect(b->body, length);
    b->since_ms = qr_now_ms();
    g_ptr_array_add(m->receiving, b);
}

/* Frees what was received. */
static void body_drop(QRFrontBody *b)
{
    if (!b->body)
        return;
    b->memory->account.receiving -= qr_body_held(b->body);
    g_clear_pointer(&b->body, qr_body_unref);
    g_ptr_array_remove_fast(b->memory->receiving, b);
}

static QRFrontBody *heaviest(const QRFrontMemory *m, const QRFrontBody *except,
                             uint64_t now)
{
    QRFrontBody *found = NULL;
    double most = 0;

    for (unsigned i = 0; i < m->receiving->len; i++) {
        QRFrontBody *b = m->receiving->pdata[i];
        double age = (double)(now - b->since_ms);
        double weight = (double)qr_body_held(b->body) * age;

        if (b != except && age >= YIELD_MIN_MS && weight > most) {
            most = weight;
            found = b;
        }
    }
    return found;
}

static bool make_room(QRFrontBody *b)
{
    QRFrontMemory *m = b->memory;
    uint64_t now = qr_now_ms();
    QRAccountClass class;
    size_t more = qr_body_next_charge(b->body, &class);
    QRFrontBody *other;

    if (more == 0)
        return true;
    while (qr_account_excess(&m->account, class, more) > 0 &&
           (other = heaviest(m, b, now))) {
        m->account.counts[QR_ACCOUNT_COUNT_yielded_memory]++;
        other->yielded = true;
        body_drop(other);
    }
    return qr_account_excess(&m->account, class, more) == 0;
}

static void log_refused(QRFrontMemory *m, const QRFrontBody *b)
{
    unsigned dropped;

    if (qr_account_may_log(&m->account, qr_now_ms(), &dropped))
        qr_logf(QR_LEVEL_WARN, "callers",
                "refused status=503 why=no memory body=%zu held=%zu limit=%zu "
                "lines_left_out=%u",
                qr_body_len(b->body), qr_account_held(&m->account),
                m->account.limit, dropped);
}

bool qr_front_body_append(QRFrontBody *b, const char *data, size_t len)
{
    QRAccount *a = &b->memory->account;

    while (b->body && len > 0) {
        size_t before = qr_body_held(b->body), n;

        if (!make_room(b)) {
            a->counts[QR_ACCOUNT_COUNT_refused_memory]++;
            log_refused(b->memory, b);
            b->yielded = true;
            body_drop(b);
            break;
        }
        n = qr_body_append(b->body, data, len);
        a->receiving += qr_body_held(b->body) - before;
        data += n;
        len -= n;
    }
    return !b->yielded;
}

GByteArray *qr_front_body_take(QRFrontBody *b)
{
    size_t len = qr_body_len(b->body);
    GByteArray *whole = g_byte_array_sized_new((guint)len);

    for (unsigned i = 0; b->body && i < qr_body_segments(b->body); i++) {
        const QRBodySegment *s = qr_body_segment(b->body, i);

        g_byte_array_append(whole, (const guint8 *)s->data, (guint)s->len);
    }
    body_drop(b);
    b->charged = len * WHOLE_COPIES;
    qr_account_charge(&b->memory->account, QR_ACCOUNT_LARGE, b->charged);
    return whole;
}

void qr_front_body_end(QRFrontBody *b)
{
    if (!b->memory)
        return;
    body_drop(b);
    qr_account_release(&b->memory->account, QR_ACCOUNT_LARGE, b->charged);
    b->charged = 0;
}
