/*
 * Checks the bytes of an HTTP/1.1 message against the grammar of RFC 9110 and
 * 9112 where http-parser, as Debian builds it, is more lenient.
 */
#include "qr_grammar.h"

#include <string.h>

#define CHUNK_DIGITS_MAX 15 /* keeps the size below 2^60 */

void qr_grammar_init(QRGrammar *g, bool answer)
{
    memset(g, 0, sizeof(*g));
    g->answer = answer;
}

static bool is_token_byte(unsigned char b)
{
    return g_ascii_isalnum(b) || (b && strchr("!#$%&'*+-.^_`|~", b));
}

static bool is_text_byte(unsigned char b)
{
    return b == '\t' || (b >= 0x20 && b != 0x7f);
}

/* "HTTP/1.x SSS" and a blank or the end of the line, 'at' counted from 0. */
static bool status_line_byte_ok(unsigned at, unsigned char b)
{
    static const char version[] = "HTTP/1.";

    if (at < 7)
        return b == (unsigned char)version[at];
    if (at == 7)
        return g_ascii_isdigit(b);
    if (at == 8)
        return b == ' ';
    if (at == 9)
        return b >= '1' && b <= '5'; /* the classes of status codes */
    if (at <= 11)
        return g_ascii_isdigit(b);
    return at == 12 ? b == ' ' : is_text_byte(b);
}

/* A method, a target and a version, each without blanks or control bytes. */
static bool request_line_byte_ok(QRGrammar *g, unsigned char b)
{
    if (b == ' ')
        return ++g->blanks <= 2;
    return b > 0x20 && b < 0x7f;
}

/* Handles CR and LF at the end of a line. Returns false if the byte belongs to
   the line itself. */
static bool line_end(QRGrammar *g, unsigned char b, QRGrammarState next)
{
    if (b == '\r') {
        g->cr = true;
        return true;
    }
    if (b != '\n')
        return false;
    g->cr = false;
    g->state = next;
    g->at = 0;
    return true;
}

static bool check_start_line(QRGrammar *g, unsigned char b)
{
    bool whole = g->answer ? g->at >= 12 : g->blanks == 2;

    if (whole && line_end(g, b, QR_GRAMMAR_LINE))
        return true;
    if (!g->answer)
        return request_line_byte_ok(g, b);
    return status_line_byte_ok(g->at++, b);
}

/* A line that begins with a blank would continue the one before it. */
static bool check_line(QRGrammar *g, unsigned char b)
{
    if (line_end(g, b, QR_GRAMMAR_HEAD_END))
        return true;
    g->state = QR_GRAMMAR_NAME;
    return is_token_byte(b);
}

static bool check_name(QRGrammar *g, unsigned char b)
{
    if (b == ':')
        g->state = QR_GRAMMAR_VALUE;
    return b == ':' || is_token_byte(b);
}

static bool check_chunk_size(QRGrammar *g, unsigned char b)
{
    if (g_ascii_isxdigit(b)) {
        g->chunk_left =
            g->chunk_left * 16 + (unsigned)g_ascii_xdigit_value((char)b);
        return ++g->at <= CHUNK_DIGITS_MAX;
    }
    if (g->at == 0)
        return false;
    if (b == ';')
        g->state = QR_GRAMMAR_CHUNK_EXTENSION;
    return b == ';' || b == '\r';
}

/* Behind a line of a chunk size. */
static void begin_chunk(QRGrammar *g)
{
    g->at = 0;
    g->trailer = g->chunk_left == 0;
    g->state = g->trailer ? QR_GRAMMAR_LINE : QR_GRAMMAR_CHUNK_DATA;
}

static bool check_byte(QRGrammar *g, unsigned char b)
{
    if (g->cr && b != '\n')
        return false;
    switch (g->state) {
    case QR_GRAMMAR_BEFORE:
        if (line_end(g, b, QR_GRAMMAR_BEFORE))
            return true;
        g->state = QR_GRAMMAR_START_LINE;
        return check_start_line(g, b);
    case QR_GRAMMAR_START_LINE:
        return check_start_line(g, b);
    case QR_GRAMMAR_LINE:
        return check_line(g, b);
    case QR_GRAMMAR_NAME:
        return check_name(g, b);
    case QR_GRAMMAR_VALUE:
        return line_end(g, b, QR_GRAMMAR_LINE) || is_text_byte(b);
    case QR_GRAMMAR_CHUNK_SIZE:
    case QR_GRAMMAR_CHUNK_EXTENSION:
        if (g->cr) {
            g->cr = false;
            begin_chunk(g);
            return true;
        }
        g->cr = b == '\r';
        return g->state == QR_GRAMMAR_CHUNK_SIZE ? check_chunk_size(g, b)
                                                 : b == '\r' || is_text_byte(b);
    case QR_GRAMMAR_CHUNK_END:
        if (g->cr)
            return line_end(g, b, QR_GRAMMAR_CHUNK_SIZE);
        g->cr = true;
        return b == '\r';
    default:
        return true;
    }
}

/* Passes over data of a chunk. */
static size_t skip_chunk_data(QRGrammar *g, size_t len)
{
    size_t n = (size_t)MIN((uint64_t)len, g->chunk_left);

    g->chunk_left -= n;
    if (g->chunk_left == 0)
        g->state = QR_GRAMMAR_CHUNK_END;
    return n;
}

size_t qr_grammar_check(QRGrammar *g, const char *data, size_t len, bool *valid)
{
    size_t at = 0;

    *valid = true;
    while (at < len) {
        if (g->state == QR_GRAMMAR_OPAQUE)
            return len;
        if (g->state == QR_GRAMMAR_HEAD_END)
            return at;
        if (g->state == QR_GRAMMAR_CHUNK_DATA) {
            at += skip_chunk_data(g, len - at);
            continue;
        }
        if (!check_byte(g, (unsigned char)data[at])) {
            *valid = false;
            return at;
        }
        at++;
    }
    return at;
}

void qr_grammar_begin_body(QRGrammar *g, bool chunked)
{
    g->state = chunked ? QR_GRAMMAR_CHUNK_SIZE : QR_GRAMMAR_OPAQUE;
    g->chunk_left = 0;
    g->at = 0;
}

static bool is_number(const char *s)
{
    return *s && strspn(s, "0123456789") == strlen(s);
}

bool qr_grammar_framing_ok(const QRHeaders *headers, unsigned http_minor)
{
    unsigned lengths = qr_headers_count_of(headers, "Content-Length");
    unsigned codings = qr_headers_count_of(headers, "Transfer-Encoding");

    if (codings > 0)
        return codings == 1 && lengths == 0 && http_minor > 0 &&
               g_ascii_strcasecmp(qr_headers_get(headers, "Transfer-Encoding"),
                                  "chunked") == 0;
    return lengths == 0 ||
           (lengths == 1 &&
            is_number(qr_headers_get(headers, "Content-Length")));
}
