/*
 * Connections between our own processes: one thread, framed TCP.
 */
#include "qr_net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_AT_ONCE 64
#define READ_BYTES 65536
#define CONNS_MAX 8192
#define OUT_BYTES_MAX (64u << 20) /* waiting to be sent on one connection */
#define TORN_FRAME_MS 30000       /* a frame must be whole by then */
#define DIAL_MS 3000
/* Part of the memory for incomplete frames; so many of the largest always fit.
 */
#define FRAMES_MEMORY_DIVISOR 8
#define FRAMES_AT_LEAST 2
#define PACED_WAIT_MS 2 /* a full link is looked at again */
#define IDLE_WAIT_MS 500
#define PROGRESS_MS 50 /* parts of a frame are told of so often at most */
/* Kernel buffers of bulk connections hold a hundredth of a second of the
 * link: what lies in them has been sent for us and not come for the other. */
#define BULK_BUFFER_PER_S 100
#define BULK_BUFFER_MIN 32768

typedef struct NetOut {
    GBytes *bytes;
    size_t at;
    bool notify;
} NetOut;

typedef struct NetConn {
    QRHandle self;
    int fd;
    QRLane lane;
    bool open;     /* false while a dial is under way */
    char *address; /* that was dialled, or NULL */
    GByteArray *in;
    size_t partial;       /* bytes of an incomplete frame, counted in QRNet */
    uint64_t progress_ms; /* when it was last told of */
    uint64_t since_ms; /* of the dial, or of the first byte of a torn frame */
    GQueue out;        /* NetOut * */
    size_t out_bytes;
    uint32_t interest;
} NetConn;

typedef enum NetCommandType { NET_DIAL, NET_SEND, NET_CLOSE } NetCommandType;

typedef struct NetCommand {
    NetCommandType type;
    QRHandle conn;
    char *address;
    QRLane lane;
    GBytes *frame;
    bool notify;
} NetCommand;

struct QRNet {
    int epoll, wake, listener;
    QRLane accept_lane;
    QRBucket *in, *out;
    QREventQueue *queue;
    pthread_t thread;
    pthread_mutex_t lock; /* of 'commands' */
    GQueue commands;
    QRTable conns;
    size_t partial, partial_max; /* bytes of incomplete frames */
    bool paced;                  /* a link is full: look again soon */
    uint64_t look_next_ms;
    atomic_bool closing;
    atomic_uint_fast64_t count[QR_NET_COUNTER_COUNT];
};

static void net_post(QRNet *n, QREventType type, const NetConn *c)
{
    QREvent *ev = qr_event_new(type);

    ev->ref = c->open ? c->self : QR_HANDLE_NONE;
    ev->text = g_strdup(c->address);
    qr_events_post(n->queue, ev);
}

static void net_out_free(void *p)
{
    NetOut *o = p;

    g_bytes_unref(o->bytes);
    g_free(o);
}

static void net_conn_free(void *p)
{
    NetConn *c = p;

    if (c->fd >= 0)
        close(c->fd);
    g_queue_clear_full(&c->out, net_out_free);
    g_byte_array_unref(c->in);
    g_free(c->address);
    g_free(c);
}

static void net_drop(QRNet *n, NetConn *c)
{
    qr_table_remove(&n->conns, c->self);
    n->partial -= c->partial;
    if (c->open || c->address)
        net_post(n, QR_EVENT_CLOSED, c);
    net_conn_free(c);
}

static void net_want(QRNet *n, NetConn *c, uint32_t interest)
{
    struct epoll_event ev = {.events = interest, .data.u64 = c->self};

    if (interest == c->interest)
        return;
    c->interest = interest;
    epoll_ctl(n->epoll, EPOLL_CTL_MOD, c->fd, &ev);
}

static NetConn *net_add(QRNet *n, int fd, QRLane lane, uint32_t interest)
{
    struct epoll_event ev = {.events = interest};
    NetConn *c = g_new0(NetConn, 1);
    int one = 1;

    c->fd = fd;
    c->lane = lane;
    c->in = g_byte_array_new();
    c->interest = interest;
    g_queue_init(&c->out);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    c->self = qr_table_add(&n->conns, c);
    ev.data.u64 = c->self;
    epoll_ctl(n->epoll, EPOLL_CTL_ADD, fd, &ev);
    return c;
}

static void net_bulk_buffers(const QRNet *n, int fd)
{
    int size = (int)MAX(n->out->rate / BULK_BUFFER_PER_S, BULK_BUFFER_MIN);

    if (n->out->rate == 0)
        return;
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

static int net_sockaddr(const char *address, struct sockaddr_in *sa,
                        GError **err)
{
    g_autofree char *ip = NULL;
    int port;

    if (qr_parse_address(address, &ip, &port, err))
        return -1;
    memset(sa, 0, sizeof(*sa));
    sa->sin_family = AF_INET;
    sa->sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip, &sa->sin_addr);
    return 0;
}

static void net_dial_failed(QRNet *n, const char *address)
{
    QREvent *ev = qr_event_new(QR_EVENT_CLOSED);

    ev->text = g_strdup(address);
    qr_events_post(n->queue, ev);
}

static void net_do_dial(QRNet *n, const char *address, QRLane lane)
{
    struct sockaddr_in sa;
    NetConn *c;
    int fd;

    if (net_sockaddr(address, &sa, NULL) || n->conns.count >= CONNS_MAX ||
        (fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) <
            0) {
        net_dial_failed(n, address);
        return;
    }
    if (lane == QR_LANE_BULK)
        net_bulk_buffers(n, fd);
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        net_dial_failed(n, address);
        return;
    }
    c = net_add(n, fd, lane, EPOLLOUT);
    c->address = g_strdup(address);
    c->since_ms = qr_now_ms();
}

static void net_dialled(QRNet *n, NetConn *c)
{
    socklen_t len = sizeof(int);
    int failed = 0;

    getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &failed, &len);
    if (failed) {
        net_drop(n, c);
        return;
    }
    c->open = true;
    c->since_ms = 0;
    net_want(n, c, EPOLLIN);
    net_post(n, QR_EVENT_OPENED, c);
}

static void net_accept(QRNet *n)
{
    int fd;

    while ((fd = accept4(n->listener, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        if (n->conns.count >= CONNS_MAX) {
            close(fd);
            continue;
        }
        net_add(n, fd, n->accept_lane, EPOLLIN)->open = true;
    }
}

/* Returns -1 if the connection broke. */
static int net_write(QRNet *n, NetConn *c)
{
    NetOut *o;

    while ((o = g_queue_peek_head(&c->out)) != NULL) {
        gsize len;
        const char *p = g_bytes_get_data(o->bytes, &len);
        size_t want = len - o->at;
        ssize_t done;

        if (c->lane == QR_LANE_BULK)
            want = qr_bucket_take(n->out, MIN(want, READ_BYTES));
        if (want == 0) {
            n->paced = true;
            net_want(n, c, c->interest & ~EPOLLOUT);
            return 0;
        }
        done = send(c->fd, p + o->at, want, MSG_NOSIGNAL);
        if (c->lane == QR_LANE_BULK)
            qr_bucket_return(n->out, want - (size_t)MAX(done, 0));
        if (done < 0) {
            if (errno != EAGAIN && errno != EINTR)
                return -1;
            net_want(n, c, c->interest | EPOLLOUT);
            return 0;
        }
        n->count[QR_NET_COUNT_net_bytes_out] += (uint64_t)done;
        c->out_bytes -= (size_t)done;
        o->at += (size_t)done;
        if (o->at < len)
            continue;
        if (o->notify)
            net_post(n, QR_EVENT_SENT, c);
        net_out_free(g_queue_pop_head(&c->out));
    }
    net_want(n, c, c->interest & ~EPOLLOUT);
    return 0;
}

static void net_post_frame(QRNet *n, const NetConn *c, Qr__Frame *frame)
{
    QREvent *ev = qr_event_new(QR_EVENT_FRAME);

    ev->ref = c->self;
    ev->frame = frame; /* taken over */
    if (frame->body_case == QR__FRAME__BODY_CHUNK_GIVE) {
        ProtobufCBinaryData *d = &frame->chunk_give->data;

        qr_sha256_hex(d->data, d->len, ev->digest);
    }
    qr_events_post(n->queue, ev);
}

/* Part of a frame is here: it must be whole in time, and is progress. */
static void net_note_part(QRNet *n, NetConn *c)
{
    uint64_t now = qr_now_ms();

    if (c->since_ms == 0)
        c->since_ms = now;
    if (c->lane != QR_LANE_BULK || now - c->progress_ms < PROGRESS_MS)
        return;
    c->progress_ms = now;
    net_post(n, QR_EVENT_PROGRESS, c);
}

/* Posts every whole frame; returns -1 if the bytes are none. */
static int net_take_frames(QRNet *n, NetConn *c)
{
    size_t at = 0, used;
    Qr__Frame *frame;
    int ret;

    while ((ret = qr_frame_take(c->in->data + at, c->in->len - at, &used,
                                &frame, NULL)) == 1) {
        at += used;
        net_post_frame(n, c, frame);
    }
    if (at > 0) {
        g_byte_array_remove_range(c->in, 0, (guint)at);
        c->since_ms = 0;
    }
    if (c->in->len > 0)
        net_note_part(n, c);
    if (ret < 0)
        n->count[QR_NET_COUNT_net_bad_frames]++;
    return ret < 0 ? -1 : 0;
}

static void net_count_partial(QRNet *n, NetConn *c)
{
    size_t partial = c->address ? 0 : c->in->len; /* accepted ones only */

    n->partial = n->partial - c->partial + partial;
    c->partial = partial;
}

/* The buffer of a large frame is not kept. 'most': its bytes before the frame
   was taken. */
static void net_shrink(NetConn *c, size_t most)
{
    if (c->in->len > 0 || most <= (size_t)2 * READ_BYTES)
        return;
    g_byte_array_unref(c->in);
    c->in = g_byte_array_new();
}

/* Drops the connections whose incomplete frames have the most bytes x time.
   Returns -1 if 'current' is to be dropped by its caller. */
static int net_limit_partial(QRNet *n, const NetConn *current)
{
    uint64_t now = qr_now_ms();

    while (n->partial > n->partial_max) {
        NetConn *c, *heaviest = NULL;
        double most = 0;

        QR_TABLE_FOR(&n->conns, i, c)
        {
            double weight =
                (double)c->partial * (double)(now - c->since_ms + 1);

            if (weight > most) {
                most = weight;
                heaviest = c;
            }
        }
        if (!heaviest)
            break;
        n->count[QR_NET_COUNT_net_slow_closed]++;
        if (heaviest == current)
            return -1;
        net_drop(n, heaviest);
    }
    return 0;
}

/* Returns -1 if the connection broke or sent what is no frame. */
static int net_read(QRNet *n, NetConn *c)
{
    uint8_t buf[READ_BYTES];
    size_t want = sizeof(buf), most;
    ssize_t got;

    if (c->lane == QR_LANE_BULK)
        want = qr_bucket_take(n->in, want);
    if (want == 0) {
        n->paced = true;
        net_want(n, c, c->interest & ~EPOLLIN);
        return 0;
    }
    got = recv(c->fd, buf, want, 0);
    if (c->lane == QR_LANE_BULK)
        qr_bucket_return(n->in, want - (size_t)MAX(got, 0));
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return 0;
    if (got <= 0)
        return -1;
    n->count[QR_NET_COUNT_net_bytes_in] += (uint64_t)got;
    g_byte_array_append(c->in, buf, (guint)got);
    most = c->in->len;
    if (net_take_frames(n, c))
        return -1;
    net_shrink(c, most);
    net_count_partial(n, c);
    return n->partial > n->partial_max ? net_limit_partial(n, c) : 0;
}

static void net_do_send(QRNet *n, NetConn *c, GBytes *frame, bool notify)
{
    NetOut *o = g_new0(NetOut, 1);

    o->bytes = g_bytes_ref(frame);
    o->notify = notify;
    c->out_bytes += g_bytes_get_size(frame);
    g_queue_push_tail(&c->out, o);
    if (c->out_bytes > OUT_BYTES_MAX) {
        n->count[QR_NET_COUNT_net_slow_closed]++;
        net_drop(n, c);
    } else if (c->out.length == 1 && net_write(n, c)) {
        net_drop(n, c);
    }
}

static void net_do(QRNet *n, NetCommand *cmd)
{
    NetConn *c = qr_table_get(&n->conns, cmd->conn);

    if (cmd->type == NET_DIAL)
        net_do_dial(n, cmd->address, cmd->lane);
    else if (cmd->type == NET_SEND && c)
        net_do_send(n, c, cmd->frame, cmd->notify);
    else if (cmd->type == NET_CLOSE && c)
        net_drop(n, c);
    g_clear_pointer(&cmd->frame, g_bytes_unref);
    g_free(cmd->address);
    g_free(cmd);
}

static void net_do_commands(QRNet *n)
{
    uint64_t seen;
    ssize_t ignored = read(n->wake, &seen, sizeof(seen));
    GQueue todo;

    (void)ignored;
    pthread_mutex_lock(&n->lock);
    todo = n->commands;
    g_queue_init(&n->commands);
    pthread_mutex_unlock(&n->lock);
    while (!g_queue_is_empty(&todo))
        net_do(n, g_queue_pop_head(&todo));
}

static void net_handle(QRNet *n, NetConn *c, uint32_t events)
{
    if (!c->open) {
        net_dialled(n, c);
        return;
    }
    if ((events & EPOLLOUT) && net_write(n, c)) {
        net_drop(n, c);
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && (c->interest & EPOLLIN) &&
        net_read(n, c))
        net_drop(n, c);
}

/* Paced connections get their turn again; those that hang are dropped. */
static void net_look_after(QRNet *n)
{
    static const uint64_t no_time = 0;
    uint64_t now = qr_now_ms();
    bool paced = n->paced;
    NetConn *c;

    if (!paced && now < n->look_next_ms)
        return;
    n->look_next_ms = now + IDLE_WAIT_MS;
    n->paced = false;
    QR_TABLE_FOR(&n->conns, i, c)
    {
        uint64_t limit = c->open ? TORN_FRAME_MS : DIAL_MS;

        if (c->since_ms != no_time && now - c->since_ms > limit) {
            n->count[QR_NET_COUNT_net_slow_closed]++;
            net_drop(n, c);
            continue;
        }
        if (!paced || c->lane != QR_LANE_BULK || !c->open)
            continue;
        net_want(n, c, c->interest | EPOLLIN);
        if (c->out.length > 0 && net_write(n, c))
            net_drop(n, c);
    }
}

#define DATA_WAKE G_MAXUINT64
#define DATA_LISTEN (G_MAXUINT64 - 1)

static void *net_main(void *arg)
{
    struct epoll_event events[EVENTS_AT_ONCE];
    QRNet *n = arg;

    while (!n->closing) {
        int wait = n->paced ? PACED_WAIT_MS : IDLE_WAIT_MS;
        int got = epoll_wait(n->epoll, events, EVENTS_AT_ONCE, wait);

        for (int i = 0; i < got; i++) {
            uint64_t data = events[i].data.u64;
            NetConn *c;

            if (data == DATA_WAKE)
                net_do_commands(n);
            else if (data == DATA_LISTEN)
                net_accept(n);
            else if ((c = qr_table_get(&n->conns, data)) != NULL)
                net_handle(n, c, events[i].events);
        }
        net_look_after(n);
    }
    net_do_commands(n);
    return NULL;
}

static int net_listen(QRNet *n, const char *address, GError **err)
{
    struct epoll_event ev = {.events = EPOLLIN, .data.u64 = DATA_LISTEN};
    struct sockaddr_in sa;
    int one = 1;

    if (net_sockaddr(address, &sa, err))
        return -1;
    n->listener =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(n->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (n->accept_lane == QR_LANE_BULK)
        net_bulk_buffers(n, n->listener);
    if (bind(n->listener, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(n->listener, SOMAXCONN) != 0) {
        g_set_error(err, QR_ERROR, QR_ERROR_IO, "cannot listen on %s: %s",
                    address, g_strerror(errno));
        return -1;
    }
    epoll_ctl(n->epoll, EPOLL_CTL_ADD, n->listener, &ev);
    return 0;
}

QRNet *qr_net_new(const char *address, QRLane lane, uint64_t memory_bytes,
                  QRBucket *in, QRBucket *out, QREventQueue *queue,
                  GError **err)
{
    struct epoll_event ev = {.events = EPOLLIN, .data.u64 = DATA_WAKE};
    QRNet *n = g_new0(QRNet, 1);

    n->accept_lane = lane;
    n->partial_max = (size_t)MAX(memory_bytes / FRAMES_MEMORY_DIVISOR,
                                 FRAMES_AT_LEAST * QR_FRAME_MAX);
    n->in = in;
    n->out = out;
    n->queue = queue;
    n->listener = -1;
    n->epoll = epoll_create1(EPOLL_CLOEXEC);
    n->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    pthread_mutex_init(&n->lock, NULL);
    g_queue_init(&n->commands);
    qr_table_init(&n->conns);
    epoll_ctl(n->epoll, EPOLL_CTL_ADD, n->wake, &ev);
    if (net_listen(n, address, err))
        goto fail;
    if (pthread_create(&n->thread, NULL, net_main, n) != 0) {
        g_set_error(err, QR_ERROR, QR_ERROR_IO, "no thread for connections");
        goto fail;
    }
    return n;
fail:
    n->closing = true;
    qr_net_free(n);
    return NULL;
}

static void net_wake(QRNet *n)
{
    uint64_t one = 1;
    ssize_t ignored = write(n->wake, &one, sizeof(one));

    (void)ignored; /* a full counter wakes it just as well */
}

void qr_net_free(QRNet *n)
{
    if (!n)
        return;
    if (!n->closing) {
        n->closing = true;
        net_wake(n);
        pthread_join(n->thread, NULL);
    }
    qr_table_clear(&n->conns, net_conn_free);
    if (n->listener >= 0)
        close(n->listener);
    close(n->epoll);
    close(n->wake);
    pthread_mutex_destroy(&n->lock);
    g_free(n);
}

static void net_command(QRNet *n, NetCommand *cmd)
{
    pthread_mutex_lock(&n->lock);
    g_queue_push_tail(&n->commands, cmd);
    pthread_mutex_unlock(&n->lock);
    net_wake(n);
}

void qr_net_dial(QRNet *n, const char *address, QRLane lane)
{
    NetCommand *cmd = g_new0(NetCommand, 1);

    cmd->type = NET_DIAL;
    cmd->address = g_strdup(address);
    cmd->lane = lane;
    net_command(n, cmd);
}

void qr_net_send(QRNet *n, QRHandle conn, GBytes *frame, bool notify)
{
    NetCommand *cmd = g_new0(NetCommand, 1);

    cmd->type = NET_SEND;
    cmd->conn = conn;
    cmd->frame = g_bytes_ref(frame);
    cmd->notify = notify;
    net_command(n, cmd);
}

void qr_net_close(QRNet *n, QRHandle conn)
{
    NetCommand *cmd = g_new0(NetCommand, 1);

    cmd->type = NET_CLOSE;
    cmd->conn = conn;
    net_command(n, cmd);
}

uint64_t qr_net_count(const QRNet *n, QRNetCounter c)
{
    return n->count[c];
}
