/*
 * Callers and operators over HTTP, by libmicrohttpd.
 *
 * A request waits suspended until the reducer has answered it. Address
 * questions do not reach the reducer: they are answered from what it last
 * published, read under RCU.
 */
#include "qr_face.h"
#include "qr_front_connections.h"
#include "qr_front_memory.h"
#include "qr_front_request.h"

#include "io/qr_log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <sys/resource.h>
#include <urcu-bp.h>

#define CONNECTIONS_MAX 4096
#define IDLE_S 120
#define STREAM_BLOCK 16384
#define RETRY_AFTER_S "1"
#define DROPPED_BODIES                                                         \
    4 /* bytes of a refused body, as multiples of body_max                     \
       */
/* Of a connection: its buffers, which bound the head of a request. */
#define CONNECTION_BYTES 16384
#define RECEIVE_BYTES 8192 /* of a connection, in the kernel */

/* What address questions are answered with. Never changed once published. */
typedef struct Published {
    json_object *o;
} Published;

struct QRFront {
    const QRSettings *set;
    QREventQueue *queue;
    struct MHD_Daemon *daemon;
    /* of the daemon's thread */
    QRFrontMemory memory;
    QRFrontConnections connections;
    pthread_mutex_t lock; /* of 'requests' and every request's state */
    QRTable requests;     /* FrontRequest * */
    Published *published; /* RCU */
    bool closing;
};

typedef struct FrontRequest {
    QRFront *front;
    QRHandle self;
    struct MHD_Connection *conn;
    QRFrontBody body;
    size_t dropped; /* bytes of a refused body that were read */
    bool too_large, posted, suspended, answered, streaming, ended;
    bool metrics; /* its answer is completed by what this thread counts */
    unsigned status;
    GBytes *data;    /* the whole answer */
    GString *stream; /* bytes of a streamed answer not yet sent */
    char *type, *manifest;
    uint32_t retry_after_ms;
} FrontRequest;

static enum MHD_Result front_queue_text(struct MHD_Connection *conn,
                                        unsigned status, const char *text)
{
    struct MHD_Response *resp = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result ret;

    MHD_add_response_header(resp, "Content-Type", "application/json");
    ret = MHD_queue_response(conn, status, resp);
    MHD_destroy_response(resp);
    return ret;
}

typedef struct AddressRow {
    json_object *o;
    bool near;
    uint64_t weight;
} AddressRow;

static int address_compare(const void *a, const void *b)
{
    const AddressRow *x = a, *y = b;

    if (x->near != y->near)
        return x->near ? -1 : 1;
    return x->weight > y->weight ? -1 : x->weight < y->weight;
}

/*
 * The caller's own availability zone first; within one, an order that
 * differs from caller to caller.
 */
static json_object *front_sort_addresses(json_object *list, const char *caller,
                                         const char *zone)
{
    size_t n = json_object_array_length(list);
    g_autofree AddressRow *rows = g_new(AddressRow, n + 1);
    json_object *out = json_object_new_array();

    for (size_t i = 0; i < n; i++) {
        json_object *o = json_object_array_get_idx(list, i);

        rows[i].o = o;
        rows[i].near =
            strcmp(qr_json_get_str(o, "availability_zone"), zone) == 0;
        rows[i].weight = qr_rendezvous(caller, qr_json_get_str(o, "host"));
    }
    qsort(rows, n, sizeof(*rows), address_compare);
    for (size_t i = 0; i < n; i++) {
        json_object *row = json_object_new_object();

        qr_json_str(row, "address", qr_json_get_str(rows[i].o, "address"));
        qr_json_str(row, "availability_zone",
                    qr_json_get_str(rows[i].o, "availability_zone"));
        json_object_array_add(out, row);
    }
    return out;
}

static enum MHD_Result front_addresses(QRFront *f, struct MHD_Connection *conn)
{
    const char *caller =
        MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "caller");
    const char *zone = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND,
                                                   "availability_zone");
    g_autoptr(json_object) o = json_object_new_object();
    g_autofree char *text = NULL;
    json_object *list = NULL;
    Published *p;

    rcu_read_lock();
    p = rcu_dereference(f->published);
    if (p && json_object_object_get_ex(p->o, "addresses", &list)) {
        qr_json_int(o, "revision", qr_json_get_int(p->o, "revision"));
        qr_json_int(o, "valid_for_ms", qr_json_get_int(p->o, "valid_for_ms"));
        qr_json_str(o, "ticket", qr_json_get_str(p->o, "ticket"));
        qr_json_add(
            o, "addresses",
            front_sort_addresses(list, caller ? caller : "", zone ? zone : ""));
    }
    rcu_read_unlock();
    text = qr_json_text(o);
    return front_queue_text(conn, list ? 200 : 503, text);
}

/* Body of a streamed answer; called by MHD whenever it can send. */
static ssize_t front_stream_read(void *arg, uint64_t pos, char *buf, size_t max)
{
    FrontRequest *r = arg;
    ssize_t n = 0;

    (void)pos;
    pthread_mutex_lock(&r->front->lock);
    if (r->stream->len > 0) {
        n = (ssize_t)MIN(max, r->stream->len);
        memcpy(buf, r->stream->str, (size_t)n);
        g_string_erase(r->stream, 0, n);
    } else if (r->ended) {
        n = MHD_CONTENT_READER_END_OF_STREAM;
    } else {
        r->suspended = true;
        MHD_suspend_connection(r->conn);
    }
    pthread_mutex_unlock(&r->front->lock);
    return n;
}

static struct MHD_Response *front_response(FrontRequest *r)
{
    struct MHD_Response *resp;
    char seconds[32];
    gsize len;

    if (r->streaming) {
        resp = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK,
                                                 front_stream_read, r, NULL);
        MHD_add_response_header(resp, "Content-Type",
                                "application/octet-stream");
        return resp;
    }
    resp = MHD_create_response_from_buffer(
        g_bytes_get_size(r->data), (void *)g_bytes_get_data(r->data, &len),
        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(resp, "Content-Type",
                            r->type ? r->type : "application/json");
    if (r->manifest) {
        MHD_add_response_header(resp, "X-Outcome", "answered");
        MHD_add_response_header(resp, "X-Manifest", r->manifest);
    }
    if (r->retry_after_ms) {
        g_snprintf(seconds, sizeof(seconds), "%u",
                   (r->retry_after_ms + 999) / 1000);
        MHD_add_response_header(resp, "Retry-After", seconds);
    }
    return resp;
}

/* What callers hold is counted by the server's thread only. */
static void front_complete_metrics(FrontRequest *r)
{
    gsize len;
    const char *p = g_bytes_get_data(r->data, &len);
    GString *text = g_string_new_len(p, (gssize)len);

    qr_account_append_metrics(&r->front->memory.account, text);
    g_bytes_unref(r->data);
    r->data = g_string_free_to_bytes(text);
}

static enum MHD_Result front_send(FrontRequest *r)
{
    struct MHD_Response *resp;
    enum MHD_Result ret;

    if (r->metrics && r->answered && r->status == 200)
        front_complete_metrics(r);
    resp = front_response(r);
    ret = MHD_queue_response(r->conn, r->streaming ? 200 : r->status, resp);
    MHD_destroy_response(resp);
    return ret;
}

/* The request is whole: it becomes an event. Returns findings if it cannot. */
static char *front_post(FrontRequest *r, const char *method, const char *url)
{
    QREvent *ev = NULL;
    g_autoptr(GByteArray) body = qr_front_body_take(&r->body);
    char *findings = NULL;

    qr_front_connection_busy(r->conn, true);
    r->metrics = strcmp(url, "/metrics") == 0;
    ev = qr_front_event(r->conn, method, url, body, &findings);
    if (!ev)
        return findings;
    pthread_mutex_lock(&r->front->lock);
    r->self = qr_table_add(&r->front->requests, r);
    r->posted = true;
    r->suspended = true;
    ev->ref = r->self;
    MHD_suspend_connection(r->conn);
    pthread_mutex_unlock(&r->front->lock);
    qr_events_post(r->front->queue, ev);
    return NULL;
}

static enum MHD_Result front_too_large(QRFront *f, struct MHD_Connection *conn)
{
    f->memory.account.counts[QR_ACCOUNT_COUNT_bodies_too_large]++;
    return front_queue_text(conn, 413,
                            "{\"outcome\":\"bad_request\","
                            "\"reason\":\"body_too_large\"}");
}

static enum MHD_Result front_no_memory(struct MHD_Connection *conn)
{
    static const char text[] =
        "{\"outcome\":\"rejected\",\"reason\":\"no_memory\"}";
    struct MHD_Response *resp = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result ret;

    MHD_add_response_header(resp, "Content-Type", "application/json");
    MHD_add_response_header(resp, "Retry-After", RETRY_AFTER_S);
    ret = MHD_queue_response(conn, 503, resp);
    MHD_destroy_response(resp);
    return ret;
}

/*
 * The head is here. What cannot be taken is refused at once if the client waits
 * for 100 Continue. Others hear it at the end of their body: an answer before
 * that would close the connection, and most clients would not read it.
 */
static enum MHD_Result front_head(QRFront *f, FrontRequest *r)
{
    const char *text =
        MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, "Content-Length");
    bool waits =
        MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, "Expect") != NULL;
    uint64_t length = text ? g_ascii_strtoull(text, NULL, 10) : 0;

    r->too_large = length > (uint64_t)f->set->body_max;
    r->body.yielded =
        !r->too_large && !qr_front_memory_may_fit(&f->memory, length);
    if (r->body.yielded)
        f->memory.account.counts[QR_ACCOUNT_COUNT_refused_memory]++;
    if (waits && r->too_large)
        return front_too_large(f, r->conn);
    if (waits && r->body.yielded)
        return front_no_memory(r->conn);
    if (!r->too_large && !r->body.yielded)
        qr_front_body_begin(&f->memory, &r->body, length);
    return MHD_YES;
}

/* Part of the body is here. A refused one is read to its end, up to a limit,
   and dropped. */
static enum MHD_Result front_data(QRFront *f, FrontRequest *r, const char *data,
                                  size_t len)
{
    if (!r->too_large && !r->body.yielded &&
        qr_body_len(r->body.body) + len > (size_t)f->set->body_max) {
        r->too_large = true;
        qr_front_body_end(&r->body);
    }
    if (!r->too_large && !r->body.yielded &&
        qr_front_body_append(&r->body, data, len))
        return MHD_YES;
    r->dropped += len;
    return r->dropped <= DROPPED_BODIES * (size_t)f->set->body_max ? MHD_YES
                                                                   : MHD_NO;
}

static enum MHD_Result front_whole(FrontRequest *r, const char *method,
                                   const char *url)
{
    g_autofree char *findings = NULL;
    enum MHD_Result ret = MHD_YES;

    if (r->too_large)
        return front_too_large(r->front, r->conn);
    if (r->body.yielded)
        return front_no_memory(r->conn);
    if (strcmp(method, "GET") == 0 && strcmp(url, "/v1/addresses") == 0)
        return front_addresses(r->front, r->conn);
    if (!r->posted) {
        findings = front_post(r, method, url);
        return findings ? front_queue_text(r->conn, 400, findings) : MHD_YES;
    }
    pthread_mutex_lock(&r->front->lock);
    if (r->answered || r->streaming)
        ret = front_send(r);
    pthread_mutex_unlock(&r->front->lock);
    return ret;
}

static enum MHD_Result front_handle(void *arg, struct MHD_Connection *conn,
                                    const char *url, const char *method,
                                    const char *version, const char *data,
                                    size_t *len, void **state)
{
    QRFront *f = arg;
    FrontRequest *r = *state;

    (void)version;
    if (!r) {
        r = g_new0(FrontRequest, 1);
        r->front = f;
        r->conn = conn;
        *state = r;
        return front_head(f, r);
    }
    if (*len > 0) {
        size_t n = *len;

        *len = 0;
        return front_data(f, r, data, n);
    }
    return front_whole(r, method, url);
}

static void front_completed(void *arg, struct MHD_Connection *conn,
                            void **state, enum MHD_RequestTerminationCode code)
{
    QRFront *f = arg;
    FrontRequest *r = *state;
    bool gone;

    (void)code;
    if (!r)
        return;
    qr_front_connection_busy(conn, false);
    pthread_mutex_lock(&f->lock);
    if (r->posted)
        qr_table_remove(&f->requests, r->self);
    gone = r->posted && !r->answered && !r->ended;
    pthread_mutex_unlock(&f->lock);
    if (gone) {
        QREvent *ev = qr_event_new(QR_EVENT_CALLER_GONE);

        ev->ref = r->self;
        qr_events_post(f->queue, ev);
    }
    qr_front_body_end(&r->body);
    g_clear_pointer(&r->data, g_bytes_unref);
    if (r->stream)
        g_string_free(r->stream, TRUE);
    g_free(r->type);
    g_free(r->manifest);
    g_free(r);
    *state = NULL;
}

static void front_wake(FrontRequest *r)
{
    if (r->suspended) {
        r->suspended = false;
        MHD_resume_connection(r->conn);
    }
}

static void front_take_answer(FrontRequest *r, const QREffect *e)
{
    r->answered = true;
    r->status = e->status;
    r->data = g_bytes_ref(e->data);
    r->type = g_strdup(e->key);
    r->manifest = g_strdup(e->text);
    r->retry_after_ms = e->retry_after_ms;
}

static void front_take_data(FrontRequest *r, const QREffect *e)
{
    gsize len;
    const char *p = g_bytes_get_data(e->data, &len);

    g_string_append_len(r->stream, p, (gssize)len);
}

static void front_answer(QRFront *f, const QREffect *e)
{
    FrontRequest *r;

    pthread_mutex_lock(&f->lock);
    r = qr_table_get(&f->requests, e->ref);
    if (!r)
        goto done; /* the caller has gone */
    if (e->type == QR_EFFECT_ANSWER) {
        front_take_answer(r, e);
    } else if (e->type == QR_EFFECT_ANSWER_START) {
        r->streaming = true;
        r->stream = g_string_new(NULL);
    } else if (e->type == QR_EFFECT_ANSWER_DATA) {
        front_take_data(r, e);
    } else {
        g_string_append_printf(r->stream, "\n%s\n", e->text);
        r->ended = true;
    }
    front_wake(r);
done:
    pthread_mutex_unlock(&f->lock);
}

static void front_publish(QRFront *f, const char *text)
{
    g_auto(QRFindings) found = {0};
    Published *p = g_new0(Published, 1), *old;

    qr_findings_init(&found, "addresses");
    p->o = qr_json_parse(text, strlen(text), &found);
    old = rcu_xchg_pointer(&f->published, p);
    if (!old)
        return;
    synchronize_rcu();
    json_object_put(old->o);
    g_free(old);
}

/* The kernel holds no more than RECEIVE_BYTES of a connection that is accepted
   from now on. */
static void limit_receive_buffers(struct MHD_Daemon *daemon)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD);
    int bytes = RECEIVE_BYTES;

    if (!info || setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes,
                            sizeof(bytes)) != 0)
        qr_logf(QR_LEVEL_WARN, "callers",
                "receive buffers keep the system's size why=%s",
                g_strerror(errno));
}

/* Their buffers take half of the memory that callers may hold at most, and they
   half of the descriptors. */
static unsigned connections_max(const QRFront *f)
{
    uint64_t most =
        MIN(f->memory.account.limit / 2 / CONNECTION_BYTES, CONNECTIONS_MAX);
    struct rlimit files;

    if (getrlimit(RLIMIT_NOFILE, &files) == 0)
        most = MIN(most, files.rlim_cur / 2);
    return (unsigned)most;
}

static QRFront *front_start(const QRSettings *set, const char *address,
                            QREventQueue *queue, GError **err)
{
    QRFront *f = g_new0(QRFront, 1);
    struct sockaddr_in sa = {.sin_family = AF_INET};
    g_autofree char *ip = NULL;
    int port;

    f->set = set;
    f->queue = queue;
    pthread_mutex_init(&f->lock, NULL);
    qr_table_init(&f->requests);
    qr_front_memory_init(&f->memory, (uint64_t)set->memory_mb << 20);
    qr_front_connections_init(&f->connections, &f->memory.account,
                              connections_max(f));
    if (qr_parse_address(address, &ip, &port, err))
        goto fail;
    sa.sin_port = htons((uint16_t)port);
    inet_pton(AF_INET, ip, &sa.sin_addr);
    f->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        0, NULL, NULL, front_handle, f, MHD_OPTION_SOCK_ADDR, &sa,
        MHD_OPTION_NOTIFY_COMPLETED, front_completed, f,
        MHD_OPTION_CONNECTION_LIMIT, f->connections.most,
        MHD_OPTION_NOTIFY_CONNECTION, qr_front_connection_notify,
        &f->connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)CONNECTION_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)IDLE_S, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_END);
    if (!f->daemon) {
        g_set_error(err, QR_ERROR, QR_ERROR_IO, "cannot listen on %s", address);
        goto fail;
    }
    limit_receive_buffers(f->daemon);
    return f;
fail:
    qr_table_clear(&f->requests, NULL);
    qr_front_memory_clear(&f->memory);
    qr_front_connections_clear(&f->connections);
    g_free(f);
    return NULL;
}

static void front_stop(QRFront *f)
{
    FrontRequest *r;

    if (!f)
        return;
    pthread_mutex_lock(&f->lock);
    QR_TABLE_FOR(&f->requests, i, r)
    {
        r->ended = true;
        if (!r->answered && !r->streaming) {
            r->answered = true;
            r->status = 503;
            r->data = g_bytes_new_static("", 0);
        }
        front_wake(r);
    }
    pthread_mutex_unlock(&f->lock);
    MHD_stop_daemon(f->daemon);
    qr_table_clear(&f->requests, NULL);
    if (f->published) {
        json_object_put(f->published->o);
        g_free(f->published);
    }
    pthread_mutex_destroy(&f->lock);
    qr_front_memory_clear(&f->memory);
    qr_front_connections_clear(&f->connections);
    g_free(f);
}

const QRFrontFace qr_front_http = {front_start, front_stop, front_answer,
                                   front_publish};
