/*
 * Unit tests of reading HTTP messages: what the grammar of RFC 9110 and 9112
 * allows is read, whatever the parser's library takes beside it is refused.
 */
#include "unit_message.h"

#include "net/qr_message.h"

#include <string.h>

/* A literal that may hold NUL. */
#define TEXT(s) s, sizeof(s) - 1
#define LENGTH_4 "Content-Length: 4\r\n\r\nbody"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define POST "POST /a HTTP/1.1\r\nHost: h\r\n"

typedef struct Outcome {
    unsigned status; /* of the head; 0: none was passed on */
    size_t body;
    bool done, refused;
} Outcome;

static bool on_head(QRMessage *m, void *owner)
{
    Outcome *o = owner;

    o->status = m->parser.type == HTTP_REQUEST ? 1 : m->parser.status_code;
    return false;
}

static void on_body(QRMessage *m, void *owner, const char *data, size_t len)
{
    Outcome *o = owner;

    (void)m;
    (void)data;
    o->body += len;
}

static void on_end(QRMessage *m, void *owner)
{
    (void)m;
    (void)owner;
}

static const QRMessageHandlers handlers = {on_head, on_body, on_end};

/* Reads 'text', 'step' bytes at a time, up to the end of a connection. */
static Outcome read_message(enum http_parser_type type, const UnitText *text,
                            size_t step)
{
    Outcome o = {0};
    QRMessage m;
    size_t at = 0;

    qr_message_init(&m, type, &handlers, &o);
    while (at < text->len && !m.done && m.fault == QR_MESSAGE_OK) {
        size_t n = MIN(step, text->len - at);

        at += qr_message_read(&m, text->bytes + at, n);
    }
    o.refused = m.fault != QR_MESSAGE_OK;
    if (!o.refused && !m.done)
        qr_message_end_of_file(&m);
    o.done = m.done && !o.refused;
    qr_message_clear(&m);
    return o;
}

const UnitText unit_sound_answers[] = {
    {TEXT("HTTP/1.1 200 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 \r\n" LENGTH_4)},
    {TEXT("HTTP/1.0 200 OK\r\n\r\nbody")},
    {TEXT("HTTP/1.1 599 \xc3\xa9\tx\r\n" LENGTH_4)},
    {TEXT("\r\nHTTP/1.1 200 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\nContent-Length:4\n\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9:\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX-Text: \xe9\t\"(:)\"  \r\n" LENGTH_4)},
    {TEXT(CHUNKED "4\r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "0002;a=\"b\"\r\nbo\r\n2\r\ndy\r\n0;x\r\nT: a\r\n\r\n")},
};

const unsigned unit_sound_answers_count = G_N_ELEMENTS(unit_sound_answers);

START_TEST(sound_answers_are_read)
{
    const UnitText *t = &unit_sound_answers[_i];

    for (size_t step = 1; step <= t->len; step++) {
        Outcome o = read_message(HTTP_RESPONSE, t, step);

        ck_assert_msg(o.done, "%s, %zu at a time", t->bytes, step);
        ck_assert_uint_eq(o.body, 4);
    }
}
END_TEST

/* None of these has a head that may be passed on. */
const UnitText unit_unsound_answers[] = {
    {TEXT("HTTP/1.1 000 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 099 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 20 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 0200 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 2000 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 600 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 999 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 2x0 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 -20 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1  200 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1\t200 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 \r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 O\0K\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 O\x1bK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\rX\r\n" LENGTH_4)},
    {TEXT("HTTP/2.0 200 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/0.9 200 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1 200 OK\r\n" LENGTH_4)},
    {TEXT("http/1.1 200 OK\r\n" LENGTH_4)},
    {TEXT(" HTTP/1.1 200 OK\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 101 Switching\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nX Odd: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX-Odd\t: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX\0Odd: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX\xe9Odd: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX(Odd): 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX\"Odd: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\n: 1\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX-Odd\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX-Odd: a\r\n b\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n 0\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nX-Odd: a\rb\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX-Odd: a\0b\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nX-Odd: a\x08"
          "b\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: 4 4\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: 0x4\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: 4.0\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n")},
    {TEXT("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" LENGTH_4)},
    {TEXT("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nbody")},
    {TEXT("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
          "4\r\nbody\r\n0\r\n\r\n")},
    {TEXT("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n"
          "4\r\nbody\r\n0\r\n\r\n")},
    {TEXT("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\nbody\r\n0\r\n\r\n")},
};

const unsigned unit_unsound_answers_count = G_N_ELEMENTS(unit_unsound_answers);

/* Guards against passing on an answer whose head the grammar doesn't allow: the
   library takes a status of 000, blanks in names, continued lines and others.
 */
START_TEST(unsound_answers_are_refused)
{
    const UnitText *t = &unit_unsound_answers[_i];

    for (size_t step = 1; step <= t->len; step++) {
        Outcome o = read_message(HTTP_RESPONSE, t, step);

        ck_assert_msg(o.refused && !o.status, "%s, %zu at a time", t->bytes,
                      step);
    }
}
END_TEST

/* Sound heads, with a body in chunks that has no meaning by the grammar. */
static const UnitText unsound_chunks[] = {
    {TEXT(CHUNKED "4\r\nbodyXX0\r\n\r\n")},
    {TEXT(CHUNKED "4\r\nbody\n\n0\r\n\r\n")},
    {TEXT(CHUNKED "4\rXbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "4\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "4 \r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED " 4\r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "+4\r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "0x4\r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED ";a\r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "\r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "4;a\0b\r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "10000000000000004\r\nbody\r\n0\r\n\r\n")},
    {TEXT(CHUNKED "4\r\nbody\r\n0\r\nT T: a\r\n\r\n")},
    {TEXT(CHUNKED "4\r\nbody\r\n0\r\n T: a\r\n\r\n")},
    {TEXT(CHUNKED "4\r\nbody\r\n0\r\nT\r\n\r\n")},
};

/* Guards against a body other than the engine's: the library takes any two
   bytes for the end of a chunk, and any byte behind CR for LF. */
START_TEST(unsound_chunks_are_refused)
{
    const UnitText *t = &unsound_chunks[_i];

    for (size_t step = 1; step <= t->len; step++) {
        Outcome o = read_message(HTTP_RESPONSE, t, step);

        ck_assert_msg(o.refused && !o.done, "%s, %zu at a time", t->bytes,
                      step);
    }
}
END_TEST

static const UnitText unsound_requests[] = {
    {TEXT("POST /a\tb HTTP/1.1\r\nHost: h\r\n" LENGTH_4)},
    {TEXT("POST /a\x0c"
          "b HTTP/1.1\r\nHost: h\r\n" LENGTH_4)},
    {TEXT("POST /a\x80"
          "b HTTP/1.1\r\nHost: h\r\n" LENGTH_4)},
    {TEXT("POST /a b HTTP/1.1\r\nHost: h\r\n" LENGTH_4)},
    {TEXT("POST  /a HTTP/1.1\r\nHost: h\r\n" LENGTH_4)},
    {TEXT("POST /a\r\nHost: h\r\n" LENGTH_4)},
    {TEXT("POST /a HTTP/1.1\rX\nHost: h\r\n" LENGTH_4)},
    {TEXT(POST "X Odd: 1\r\n" LENGTH_4)},
    {TEXT(POST "X-Odd : 1\r\n" LENGTH_4)},
    {TEXT(POST "Content-Length : 4\r\n\r\nbody")},
    {TEXT(POST "X\x01Odd: 1\r\n" LENGTH_4)},
    {TEXT(POST "X-Odd: a\r\n b\r\n" LENGTH_4)},
    {TEXT(POST "X-Odd: a\0b\r\n" LENGTH_4)},
    {TEXT(POST "Content-Length:\r\n\r\nbody")},
    {TEXT(POST "Content-Length: 4, 4\r\n\r\nbody")},
    {TEXT(POST "Transfer-Encoding: chunked\r\n" LENGTH_4)},
    {TEXT(POST "Transfer-Encoding: gzip\r\n\r\nbody")},
    {TEXT(POST "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n")},
    {TEXT("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")},
    {TEXT(POST "Transfer-Encoding: chunked\r\n\r\n4\r\nbodyXX0\r\n\r\n")},
};

/* As above, for what clients send: an engine may read it in another way. */
START_TEST(unsound_requests_are_refused)
{
    const UnitText *t = &unsound_requests[_i];

    for (size_t step = 1; step <= t->len; step++) {
        Outcome o = read_message(HTTP_REQUEST, t, step);

        ck_assert_msg(o.refused && !o.done, "%s, %zu at a time", t->bytes,
                      step);
    }
}
END_TEST

TCase *unit_message_case(void)
{
    TCase *t = tcase_create("message");

    tcase_add_loop_test(t, sound_answers_are_read, 0, unit_sound_answers_count);
    tcase_add_loop_test(t, unsound_answers_are_refused, 0,
                        unit_unsound_answers_count);
    tcase_add_loop_test(t, unsound_chunks_are_refused, 0,
                        G_N_ELEMENTS(unsound_chunks));
    tcase_add_loop_test(t, unsound_requests_are_refused, 0,
                        G_N_ELEMENTS(unsound_requests));
    return t;
}
