/*
 * Checks the bytes of an HTTP/1.1 message against the grammar of RFC 9110 and
 * 9112 where http-parser, as Debian builds it, is more lenient.
 */
#ifndef QR_GRAMMAR_H
#define QR_GRAMMAR_H

#include "qr_headers.h"

#include <stdint.h>

typedef enum QRGrammarState {
    QR_GRAMMAR_BEFORE,     /* blank lines before the start line */
    QR_GRAMMAR_START_LINE, /* status line of an answer, or request line */
    QR_GRAMMAR_LINE,       /* first byte of a field line, or the blank line */
    QR_GRAMMAR_NAME,
    QR_GRAMMAR_VALUE,
    QR_GRAMMAR_HEAD_END,
    QR_GRAMMAR_OPAQUE, /* a body that is not chunked: any bytes */
    QR_GRAMMAR_CHUNK_SIZE,
    QR_GRAMMAR_CHUNK_EXTENSION,
    QR_GRAMMAR_CHUNK_DATA,
    QR_GRAMMAR_CHUNK_END,
} QRGrammarState;

typedef struct QRGrammar {
    QRGrammarState state;
    bool answer; /* else a request */
    bool cr;     /* the last byte was a CR that ends a line */
    bool trailer;
    unsigned at;         /* bytes of the status line, or digits of a size */
    unsigned blanks;     /* in a request line */
    uint64_t chunk_left; /* bytes of the chunk that are still to come */
} QRGrammar;

void qr_grammar_init(QRGrammar *g, bool answer);
/*
 * Checks bytes up to the end of the head, or of the message; an opaque body is
 * not checked. Returns the number of valid bytes. Sets '*valid' to false if the
 * byte behind them is invalid.
 */
size_t qr_grammar_check(QRGrammar *g, const char *data, size_t len,
                        bool *valid);
/* The head was parsed. 'chunked': a body in chunks follows. */
void qr_grammar_begin_body(QRGrammar *g, bool chunked);
/*
 * Whether the fields that frame a body have exactly one meaning: no
 * Content-Length or one, all digits, or else one Transfer-Encoding of HTTP/1.1,
 * "chunked".
 */
bool qr_grammar_framing_ok(const QRHeaders *headers, unsigned http_minor);

#endif
