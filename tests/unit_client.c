/*
 * Unit tests of the HTTP client on a loopback listener.
 */
#include "unit_client.h"

#include "net/qr_client.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SEND_WITHIN_MS 40
#define UPLOAD_BYTES (32u << 20) /* more than the kernel buffers */

typedef struct Outcome {
    bool ended, failed;
    QRCallFault fault;
    int reset_peer; /* reset once the head has been read; 0: none */
    bool confirms_end;
} Outcome;

static void reset_connection(int fd)
{
    struct linger now = {.l_onoff = 1};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

static void on_head(void *owner, QRClientCall *call, unsigned status,
                    const QRHeaders *headers)
{
    const Outcome *o = owner;

    (void)call;
    (void)status;
    (void)headers;
    if (o->reset_peer)
        reset_connection(o->reset_peer);
}

static void on_body(void *owner, QRClientCall *call, const char *data,
                    size_t len)
{
    (void)owner;
    (void)call;
    (void)data;
    (void)len;
}

static void on_end(void *owner, QRClientCall *call)
{
    Outcome *o = owner;

    (void)call;
    o->ended = true;
}

static void on_failed(void *owner, QRClientCall *call, QRCallFault fault,
                      const char *why)
{
    Outcome *o = owner;

    (void)call;
    (void)why;
    o->failed = true;
    o->fault = fault;
}

static bool confirms_end(void *owner, QRClientCall *call)
{
    const Outcome *o = owner;

    (void)call;
    return o->confirms_end;
}

static const QRClientHandlers handlers = {on_head, on_body, on_end, on_failed,
                                          confirms_end};

static int listen_on_loopback(char address[32])
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&in, len), 0);
    ck_assert_int_eq(listen(fd, 4), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&in, &len), 0);
    g_snprintf(address, 32, "127.0.0.1:%u", ntohs(in.sin_port));
    return fd;
}

/* Sends a request on a new connection while the process does not run for
   'pause_ms'. Returns the number of bytes that arrived. */
static ssize_t send_with_pause(unsigned pause_ms, Outcome *o)
{
    char address[32], bytes[64];
    int fd = listen_on_loopback(address), peer;
    QRClientRequest request = {.address = address,
                               .data = "GET / HTTP/1.1\r\n\r\n",
                               .len = 18,
                               .connect_ms = 1000,
                               .send_within_ms = SEND_WITHIN_MS};
    uv_loop_t loop;
    QRClient *client;
    ssize_t n;

    uv_loop_init(&loop);
    client = qr_client_new(&loop, "X-Id");
    (void)qr_client_send(client, &request, &handlers, o);
    g_usleep(pause_ms * 1000);
    uv_run(&loop, UV_RUN_ONCE);
    uv_run(&loop, UV_RUN_NOWAIT);
    peer = accept(fd, NULL, NULL);
    ck_assert_int_ge(peer, 0);
    n = recv(peer, bytes, sizeof(bytes), MSG_DONTWAIT);
    qr_client_close(client);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    close(peer);
    close(fd);
    return n;
}

START_TEST(request_is_sent_within_its_limit)
{
    Outcome o = {0};

    ck_assert_int_eq(send_with_pause(0, &o), 18);
    ck_assert(!o.failed);
}
END_TEST

/* Guards against sending a request after its limit because the process was
   suspended while the connection was opened. */
START_TEST(request_is_not_sent_after_its_limit)
{
    Outcome o = {0};

    ck_assert_int_le(send_with_pause(SEND_WITHIN_MS * 3, &o), 0);
    ck_assert(o.failed);
    ck_assert_int_eq(o.fault, QR_CALL_FAULT_UNSENT);
}
END_TEST

/* Reads what has arrived, so that the client can write more. */
static void drain(int fd)
{
    char bytes[65536];

    while (recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT) > 0)
        ;
}

/* An upload is being written; the peer answers with 'answer' and, if 'reset',
   resets the connection as soon as the client has read the head. Else it sends
   FIN and does not read the rest. */
static Outcome answer_during_upload(const char *answer, bool reset)
{
    char address[32];
    int fd = listen_on_loopback(address), peer;
    g_autofree char *upload = g_malloc0(UPLOAD_BYTES);
    QRClientRequest request = {.address = address,
                               .data = upload,
                               .len = UPLOAD_BYTES,
                               .connect_ms = 1000};
    Outcome o = {0};
    uv_loop_t loop;
    QRClient *client;

    uv_loop_init(&loop);
    client = qr_client_new(&loop, "X-Id");
    (void)qr_client_send(client, &request, &handlers, &o);
    uv_run(&loop, UV_RUN_ONCE);
    peer = accept(fd, NULL, NULL);
    ck_assert_int_ge(peer, 0);
    if (reset) {
        o.reset_peer = peer;
        drain(peer);
    }
    ck_assert_int_gt(send(peer, answer, strlen(answer), 0), 0);
    if (!reset)
        shutdown(peer, SHUT_WR);
    for (unsigned i = 0; i < 10 && !o.ended && !o.failed; i++)
        uv_run(&loop, UV_RUN_ONCE);
    qr_client_close(client);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    if (!reset)
        close(peer);
    close(fd);
    return o;
}

/* Guards against taking a reset for the end of an answer without a length: the
   write of the upload gets the error, and the read then gets an end of file. */
START_TEST(reset_that_a_write_reports_is_no_end)
{
    Outcome o = answer_during_upload(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", true);

    ck_assert(o.failed && !o.ended);
    ck_assert_int_eq(o.fault, QR_CALL_FAULT_BROKEN);
}
END_TEST

/* As above, for a peer that closes without having received the upload: nothing
   tells whether it meant to end the answer. */
START_TEST(close_before_the_upload_is_received_is_no_end)
{
    Outcome o = answer_during_upload(
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", false);

    ck_assert(o.failed && !o.ended);
    ck_assert_int_eq(o.fault, QR_CALL_FAULT_BROKEN);
}
END_TEST

/* An answer without a length, FIN behind it, and a peer that listens or not. */
static Outcome answer_and_end(bool listens, bool confirms, bool reset)
{
    char address[32];
    int fd = listen_on_loopback(address), peer;
    QRClientRequest request = {.address = address,
                               .data = "GET / HTTP/1.1\r\n\r\n",
                               .len = 18,
                               .connect_ms = 1000};
    Outcome o = {.confirms_end = confirms};
    static const char answer[] = "HTTP/1.1 200 OK\r\n\r\npart";
    char bytes[64];
    uv_loop_t loop;
    QRClient *client;

    uv_loop_init(&loop);
    client = qr_client_new(&loop, "X-Id");
    (void)qr_client_send(client, &request, &handlers, &o);
    uv_run(&loop, UV_RUN_ONCE);
    peer = accept(fd, NULL, NULL);
    ck_assert_int_eq(recv(peer, bytes, sizeof(bytes), 0), 18);
    if (!listens)
        close(fd);
    if (reset)
        ck_assert_int_eq(fcntl(fd, F_SETFL, O_NONBLOCK), 0);
    ck_assert_int_gt(send(peer, answer, strlen(answer), 0), 0);
    close(peer);
    for (unsigned i = 0; i < 100 && !o.ended && !o.failed; i++) {
        uv_run(&loop, UV_RUN_NOWAIT);
        /* accepted by the kernel of a process that is just ending */
        if (reset && (peer = accept(fd, NULL, NULL)) >= 0)
            reset_connection(peer);
        qr_client_tick(client, qr_client_now(client));
        g_usleep(1000);
    }
    qr_client_close(client);
    uv_run(&loop, UV_RUN_DEFAULT);
    uv_loop_close(&loop);
    if (listens)
        close(fd);
    return o;
}

/* Guards against a whole answer of a process that has crashed under it: its
   kernel ends the connection in order. */
START_TEST(end_of_a_peer_that_no_longer_listens_is_no_end)
{
    Outcome o = answer_and_end(false, true, false);

    ck_assert(o.failed && !o.ended);
    ck_assert_int_eq(o.fault, QR_CALL_FAULT_BROKEN);
    o = answer_and_end(true, true, true);
    ck_assert(o.failed && !o.ended);
}
END_TEST

START_TEST(end_of_a_peer_that_listens_ends_the_answer)
{
    ck_assert(answer_and_end(true, true, false).ended);
    ck_assert(answer_and_end(true, false, false).ended);
    ck_assert(answer_and_end(false, false, false).ended);
}
END_TEST

/* An answer with a length is whole though its upload was not read. */
START_TEST(answer_with_a_length_needs_no_end)
{
    Outcome o = answer_during_upload(
        "HTTP/1.1 413 Large\r\nContent-Length: 4\r\n\r\npart", false);

    ck_assert(o.ended && !o.failed);
}
END_TEST

TCase *unit_client_case(void)
{
    TCase *t = tcase_create("client");

    tcase_add_test(t, request_is_sent_within_its_limit);
    tcase_add_test(t, request_is_not_sent_after_its_limit);
    tcase_add_test(t, reset_that_a_write_reports_is_no_end);
    tcase_add_test(t, close_before_the_upload_is_received_is_no_end);
    tcase_add_test(t, answer_with_a_length_needs_no_end);
    tcase_add_test(t, end_of_a_peer_that_no_longer_listens_is_no_end);
    tcase_add_test(t, end_of_a_peer_that_listens_ends_the_answer);
    return t;
}
