/*
 * An HTTP client for the faces: one request, one session, by neon.
 */
#include "qr_http.h"

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <string.h>

#define PIECE_BYTES 16384

void qr_http_init(void)
{
    ne_sock_init();
}

void qr_http_answer_clear(QRHttpAnswer *a)
{
    if (a->body)
        g_string_free(a->body, TRUE);
    g_free(a->header);
    memset(a, 0, sizeof(*a));
}

/*
 * A session of its own for each request: neon sends a request again by
 * itself when a kept connection turns out to be closed, and a call that may
 * not be repeated must not be sent twice.
 */
static ne_session *http_session(const QRHttpRequest *r, GError **err)
{
    g_autofree char *ip = NULL;
    int seconds = (int)MAX((r->timeout_ms + 999) / 1000, 1);
    ne_session *s;
    int port;

    if (qr_parse_address(r->address, &ip, &port, err))
        return NULL;
    s = ne_session_create("http", ip, (unsigned)port);
    ne_set_session_flag(s, NE_SESSFLAG_PERSIST, 0);
    ne_set_connect_timeout(s, seconds);
    ne_set_read_timeout(s, seconds);
    return s;
}

static int http_read(const QRHttpRequest *r, QRHttpAnswer *a, ne_request *q,
                     GError **err)
{
    char buf[PIECE_BYTES];
    size_t total = 0;
    ssize_t got;

    while ((got = ne_read_response_block(q, buf, sizeof(buf))) > 0) {
        total += (size_t)got;
        if (total > r->answer_max) {
            g_set_error(err, QR_ERROR, QR_ERROR_MAYBE_DONE,
                        "the answer is over %zu bytes", r->answer_max);
            return -1;
        }
        if (r->cancelled && *r->cancelled) {
            g_set_error(err, QR_ERROR, QR_ERROR_MAYBE_DONE, "cancelled");
            return -1;
        }
        if (r->piece)
            r->piece(r->arg, buf, (size_t)got);
        else
            g_string_append_len(a->body, buf, got);
    }
    if (got < 0 || ne_end_request(q) != NE_OK) {
        g_set_error(err, QR_ERROR, QR_ERROR_MAYBE_DONE, "the answer broke off");
        return -1;
    }
    return 0;
}

int qr_http_do(const QRHttpRequest *r, QRHttpAnswer *a, GError **err)
{
    ne_session *s = http_session(r, err);
    ne_request *q;
    const char *header;
    int ret = -1, begun;

    memset(a, 0, sizeof(*a));
    if (!s)
        return -1;
    q = ne_request_create(s, r->method, r->path);
    a->body = g_string_new(NULL);
    for (const QRHttpHeader *h = r->headers; h && h->name; h++)
        ne_add_request_header(q, h->name, h->value);
    if (r->body)
        ne_set_request_body_buffer(q, r->body, r->body_len);
    begun = ne_begin_request(q);
    if (begun != NE_OK) {
        bool unsent = begun == NE_CONNECT || begun == NE_LOOKUP;

        g_set_error(err, QR_ERROR, unsent ? QR_ERROR_IO : QR_ERROR_MAYBE_DONE,
                    "%s: %s", r->address, ne_get_error(s));
        goto done;
    }
    a->status = (unsigned)ne_get_status(q)->code;
    header = r->want_header ? ne_get_response_header(q, r->want_header) : NULL;
    a->header = g_strdup(header ? header : "");
    ret = http_read(r, a, q, err);
done:
    ne_request_destroy(q);
    ne_session_destroy(s);
    return ret;
}
