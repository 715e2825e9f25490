/*
 * Unit tests of the HTTP client on a loopback listener.
 */
#include "unit_client.h"

#include "net/qr_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define SEND_WITHIN_MS 40

typedef struct Outcome {
    bool failed;
    QRCallFault fault;
} Outcome;

static void on_head(void *owner, QRClientCall *call, unsigned status,
                    const QRHeaders *headers)
{
    (void)owner;
    (void)call;
    (void)status;
    (void)headers;
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
    (void)owner;
    (void)call;
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

static const QRClientHandlers handlers = {on_head, on_body, on_end, on_failed};

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

TCase *unit_client_case(void)
{
    TCase *t = tcase_create("client");

    tcase_add_test(t, request_is_sent_within_its_limit);
    tcase_add_test(t, request_is_not_sent_after_its_limit);
    return t;
}
