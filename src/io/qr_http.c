/*
 * An HTTP client for the faces: a connection of its own for each request, in
 * the thread of the caller.
 */
#include "qr_http.h"
#include "net/qr_message.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PIECE_BYTES 16384
/* Bytes that may arrive before the answer begins: interim answers, and its own
   head. */
#define UNANSWERED_MAX_BYTES (256u << 10)

/* A request and the answer to it. */
typedef struct Exchange {
    const QRHttpRequest *request;
    QRHttpAnswer *answer;
    QRMessage message;
    size_t body_bytes, unanswered_bytes;
    bool answered, ended, too_large;
} Exchange;

typedef int Socket;
G_DEFINE_AUTO_CLEANUP_FREE_FUNC(Socket, close, -1)

void qr_http_answer_clear(QRHttpAnswer *a)
{
    if (a->body)
        g_string_free(a->body, TRUE);
    g_free(a->header);
    memset(a, 0, sizeof(*a));
}

static int fail_maybe_done(const Exchange *x, GError **err, const char *why)
{
    g_set_error(err, QR_ERROR, QR_ERROR_MAYBE_DONE, "%s: %s",
                x->request->address, why);
    return -1;
}

static bool message_head(QRMessage *m, void *owner)
{
    Exchange *x = owner;
    const char *want = x->request->want_header, *value;

    if (m->parser.status_code < 200)
        return false;
    x->answered = true;
    x->answer->status = m->parser.status_code;
    value = want ? qr_headers_get(&m->headers, want) : NULL;
    x->answer->header = g_strdup(value ? value : "");
    return strcmp(x->request->method, "HEAD") == 0;
}

static void message_body(QRMessage *m, void *owner, const char *data,
                         size_t len)
{
    Exchange *x = owner;

    x->body_bytes += len;
    if (x->body_bytes > x->request->answer_max) {
        x->too_large = true;
        qr_message_fail(m, QR_MESSAGE_BODY_TOO_LARGE);
    } else if (x->request->piece) {
        x->request->piece(x->request->arg, data, len);
    } else {
        g_string_append_len(x->answer->body, data, (gssize)len);
    }
}

static void message_end(QRMessage *m, void *owner)
{
    Exchange *x = owner;

    if (x->answered)
        x->ended = true;
    else
        qr_message_next(m); /* an interim answer */
}

static const QRMessageHandlers message_handlers = {message_head, message_body,
                                                   message_end};

/* Waits for 'events' on the socket. Returns 0, or an errno. */
static int socket_wait(int fd, short events, unsigned timeout_ms)
{
    struct pollfd p = {.fd = fd, .events = events};
    int n;

    do {
        n = poll(&p, 1, (int)MAX(timeout_ms, 1));
    } while (n < 0 && errno == EINTR);
    if (n == 0)
        return ETIMEDOUT;
    return n < 0 ? errno : 0;
}

static int socket_steal(Socket *fd)
{
    int stolen = *fd;

    *fd = -1;
    return stolen;
}

/* Returns a connected socket, or -1. */
static int http_connect(const QRHttpRequest *r, GError **err)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    g_autofree char *ip = NULL;
    g_auto(Socket) fd = -1;
    socklen_t len = sizeof(int);
    int port, error = 0;

    if (qr_parse_address(r->address, &ip, &port, err))
        return -1;
    to.sin_port = htons((uint16_t)port);
    if (inet_pton(AF_INET, ip, &to.sin_addr) != 1) {
        g_set_error(err, QR_ERROR, QR_ERROR_IO, "%s: not an IPv4 address",
                    r->address);
        return -1;
    }
    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0)
        error = errno;
    if (fd >= 0 && error == EINPROGRESS) {
        error = socket_wait(fd, POLLOUT, r->timeout_ms);
        if (error == 0 &&
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
            error = errno;
    }
    if (error != 0) {
        g_set_error(err, QR_ERROR, QR_ERROR_IO, "%s: %s", r->address,
                    g_strerror(error));
        return -1;
    }
    return socket_steal(&fd);
}

static GString *request_text(const QRHttpRequest *r)
{
    GString *text = g_string_sized_new(256 + r->body_len);

    g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n", r->method,
                           r->path, r->address);
    for (const QRHttpHeader *h = r->headers; h && h->name; h++)
        g_string_append_printf(text, "%s: %s\r\n", h->name, h->value);
    if (r->body)
        g_string_append_printf(text, "Content-Length: %zu\r\n", r->body_len);
    g_string_append(text, "Connection: close\r\n\r\n");
    if (r->body)
        g_string_append_len(text, r->body, (gssize)r->body_len);
    return text;
}

static int http_write(Exchange *x, int fd, GError **err)
{
    g_autoptr(GString) text = request_text(x->request);
    size_t at = 0;

    while (at < text->len) {
        ssize_t n = send(fd, text->str + at, text->len - at, MSG_NOSIGNAL);
        int error = n < 0 ? errno : 0;

        if (error == EAGAIN)
            error = socket_wait(fd, POLLOUT, x->request->timeout_ms);
        if (error != 0 && error != EINTR)
            return fail_maybe_done(x, err, g_strerror(error));
        at += n > 0 ? (size_t)n : 0;
    }
    return 0;
}

/* Parses received bytes. What follows the answer is ignored: the connection is
   not used again. */
static int http_parse(Exchange *x, const char *data, size_t len, GError **err)
{
    size_t used = 0;

    while (used < len && !x->ended) {
        used += qr_message_read(&x->message, data + used, len - used);
        if (x->too_large) {
            g_set_error(err, QR_ERROR, QR_ERROR_MAYBE_DONE,
                        "the answer is over %zu bytes", x->request->answer_max);
            return -1;
        }
        if (x->message.fault != QR_MESSAGE_OK)
            return fail_maybe_done(x, err, "the answer is not valid HTTP");
    }
    x->unanswered_bytes += x->answered ? 0 : len;
    if (x->unanswered_bytes > UNANSWERED_MAX_BYTES)
        return fail_maybe_done(x, err, "too many bytes before the answer");
    return 0;
}

static int http_read(Exchange *x, int fd, GError **err)
{
    const QRHttpRequest *r = x->request;
    char buf[PIECE_BYTES];

    while (!x->ended) {
        ssize_t n = recv(fd, buf, sizeof(buf), 0);
        int error = n < 0 ? errno : 0;

        if (error == EAGAIN)
            error = socket_wait(fd, POLLIN, r->timeout_ms);
        if (error != 0 && error != EINTR)
            return fail_maybe_done(x, err, g_strerror(error));
        if (r->cancelled && *r->cancelled)
            return fail_maybe_done(x, err, "cancelled");
        /* the request was sent whole, so nothing but this read could have taken
           the error of a reset */
        if (n == 0 &&
            (!x->message.head_done || !qr_message_end_of_file(&x->message)))
            return fail_maybe_done(x, err, "the answer broke off");
        if (n > 0 && http_parse(x, buf, (size_t)n, err))
            return -1;
    }
    return 0;
}

int qr_http_do(const QRHttpRequest *r, QRHttpAnswer *a, GError **err)
{
    Exchange x = {.request = r, .answer = a};
    g_auto(Socket) fd = -1;
    int ret = -1;

    memset(a, 0, sizeof(*a));
    fd = http_connect(r, err);
    if (fd < 0)
        return -1;
    a->body = g_string_new(NULL);
    qr_message_init(&x.message, HTTP_RESPONSE, &message_handlers, &x);
    if (http_write(&x, fd, err) == 0)
        ret = http_read(&x, fd, err);
    qr_message_clear(&x.message);
    return ret;
}
