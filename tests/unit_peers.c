/*
 * Unit tests of the limits on connections between processes.
 */
#include "unit_peers.h"

#include "net/qr_peer_parts.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define FRAME_TIMEOUT_MS 30000

static void greet(void *owner, QRFrame *frame, Qr__Fleet__Hello *hello)
{
    (void)owner;
    frame->body_case = QR__FLEET__FRAME__BODY_HELLO;
    frame->hello = hello;
}

static void on_frame(void *owner, QRPeerConn *peer, const QRFrame *frame)
{
    (void)owner;
    (void)peer;
    (void)frame;
}

static void on_closed(void *owner, QRPeerConn *peer)
{
    (void)peer;
    ++*(unsigned *)owner;
}

static const QRPeerHandlers handlers = {greet, on_frame, on_closed};

/* Listens at a port that was free a moment ago. */
static QRPeerNet *listening(uv_loop_t *loop, unsigned *closed)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    char address[32];
    QRPeerNet *p;

    ck_assert_int_eq(bind(fd, (struct sockaddr *)&in, len), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&in, &len), 0);
    close(fd);
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(in.sin_port));
    p = qr_peers_new(loop, address, &handlers, closed, NULL);
    ck_assert_ptr_nonnull(p);
    return p;
}

/* Returns a socket that is connected to the listener of 'p'. */
static int dial(const QRPeerNet *p)
{
    struct sockaddr_in in;
    int len = sizeof(in), fd = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_eq(uv_tcp_getsockname(&p->tcp, (struct sockaddr *)&in, &len),
                     0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&in, (socklen_t)len), 0);
    return fd;
}

/* Guards against a frame that never ends: bytes arrive now and then, so that
   the connection is not silent, and its memory is kept. */
START_TEST(incomplete_frame_is_given_up)
{
    static const char header[] = {0, 0, 0x10, 0, 'x'};
    uv_loop_t loop;
    unsigned closed = 0;
    QRPeerNet *p;
    QRPeerConn *peer;
    uint64_t begun;
    int fd;

    uv_loop_init(&loop);
    p = listening(&loop, &closed);
    fd = dial(p);
    ck_assert_int_eq(send(fd, header, sizeof(header), 0), sizeof(header));
    while (p->partial < sizeof(header))
        uv_run(&loop, UV_RUN_ONCE);
    peer = p->connections->pdata[0];
    begun = peer->frame_start_ms;
    ck_assert_int_eq(send(fd, "x", 1, 0), 1);
    while (p->partial == sizeof(header))
        uv_run(&loop, UV_RUN_ONCE);
    ck_assert_uint_eq(peer->frame_start_ms, begun);

    qr_peers_check_frames(p, begun + FRAME_TIMEOUT_MS);
    ck_assert_uint_eq(closed, 0);
    qr_peers_check_frames(p, begun + FRAME_TIMEOUT_MS + 1);
    ck_assert_uint_eq(closed, 1);
    ck_assert_uint_eq(p->partial, 0);
    ck_assert_uint_eq(p->frames_dropped, 1);

    qr_peers_close(p);
    uv_run(&loop, UV_RUN_DEFAULT);
    ck_assert_int_eq(uv_loop_close(&loop), 0);
    close(fd);
}
END_TEST

TCase *unit_peers_case(void)
{
    TCase *t = tcase_create("peers");

    tcase_add_test(t, incomplete_frame_is_given_up);
    return t;
}
