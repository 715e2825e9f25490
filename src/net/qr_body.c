/*
 * The body of a client's request, in segments that are charged to an account.
 */
#include "qr_body.h"

#include <string.h>

#define SEGMENT_BYTES (16u << 10)
#define FIRST_SEGMENT_BYTES 2048u /* of a body of unknown length */

struct QRBody {
    unsigned refs;
    QRAccount *account;
    QRAccountClass class;
    size_t len, held;
    uint64_t expected; /* bytes in all; 0: unknown */
    GArray *segments;  /* QRBodySegment */
};

QRBody *qr_body_new(QRAccount *account)
{
    QRBody *b = g_new0(QRBody, 1);

    b->refs = 1;
    b->account = account;
    b->segments = g_array_new(FALSE, FALSE, sizeof(QRBodySegment));
    return b;
}

QRBody *qr_body_ref(QRBody *b)
{
    b->refs++;
    return b;
}

void qr_body_unref(QRBody *b)
{
    if (--b->refs > 0)
        return;
    qr_account_release(b->account, b->class, b->held);
    for (unsigned i = 0; i < b->segments->len; i++)
        g_free(g_array_index(b->segments, QRBodySegment, i).data);
    g_array_unref(b->segments);
    g_free(b);
}

void qr_body_expect(QRBody *b, uint64_t length)
{
    b->expected = length;
}

/* The last segment; NULL if it is full or there is none. */
static QRBodySegment *open_segment(const QRBody *b)
{
    QRBodySegment *s;

    if (b->segments->len == 0)
        return NULL;
    s = &g_array_index(b->segments, QRBodySegment, b->segments->len - 1);
    return s->len < s->size ? s : NULL;
}

static size_t next_size(const QRBody *b)
{
    if (b->expected > b->len)
        return (size_t)MIN(b->expected - b->len, SEGMENT_BYTES);
    return b->len == 0 ? FIRST_SEGMENT_BYTES : SEGMENT_BYTES;
}

static QRAccountClass class_of(size_t held)
{
    /* a small body of unknown length ends within its second segment */
    return held > QR_ACCOUNT_SMALL_BYTES + FIRST_SEGMENT_BYTES
               ? QR_ACCOUNT_LARGE
               : QR_ACCOUNT_SMALL;
}

size_t qr_body_next_charge(const QRBody *b, QRAccountClass *class)
{
    size_t more;

    if (open_segment(b))
        return 0;
    more = next_size(b);
    *class = class_of(b->held + more);
    return *class == b->class ? more : b->held + more;
}

static QRBodySegment *add_segment(QRBody *b)
{
    QRBodySegment s = {.size = next_size(b)};
    QRAccountClass class = class_of(b->held + s.size);

    qr_account_release(b->account, b->class, b->held);
    b->held += s.size;
    b->class = class;
    qr_account_charge(b->account, b->class, b->held);
    s.data = g_malloc(s.size);
    g_array_append_val(b->segments, s);
    return open_segment(b);
}

size_t qr_body_append(QRBody *b, const char *data, size_t len)
{
    QRBodySegment *s = open_segment(b);
    size_t n;

    if (!s)
        s = add_segment(b);
    n = MIN(len, s->size - s->len);
    memcpy(s->data + s->len, data, n);
    s->len += n;
    b->len += n;
    return n;
}

size_t qr_body_len(const QRBody *b)
{
    return b ? b->len : 0;
}

size_t qr_body_held(const QRBody *b)
{
    return b->held;
}

unsigned qr_body_segments(const QRBody *b)
{
    return b->segments->len;
}

const QRBodySegment *qr_body_segment(const QRBody *b, unsigned i)
{
    return &g_array_index(b->segments, QRBodySegment, i);
}
