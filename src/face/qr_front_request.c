/*
 * Requests of callers and operators: from HTTP to events.
 */
#include "qr_front_request.h"
#include "base/qr_json.h"

#include <microhttpd.h>
#include <string.h>

#define DEADLINE_MAX_MS 3600000
#define CALLS_PREFIX "/v1/calls/"

static const char *front_header(struct MHD_Connection *conn, const char *name)
{
    return MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);
}

static char *front_name(struct MHD_Connection *conn, const char *header,
                        QRFindings *f)
{
    const char *v = front_header(conn, header);

    if (!v)
        qr_findings_add(f, header, "is required");
    else if (!qr_name_ok(v))
        qr_findings_add(f, header, "'%.60s' is not a name", v);
    return g_strdup(v ? v : "");
}

static bool front_yes(struct MHD_Connection *conn, const char *header,
                      bool required, QRFindings *f)
{
    const char *v = front_header(conn, header);

    if (!v && required)
        qr_findings_add(f, header, "is required, yes or no");
    else if (v && strcmp(v, "yes") != 0 && strcmp(v, "no") != 0)
        qr_findings_add(f, header, "must be yes or no");
    return v && strcmp(v, "yes") == 0;
}

static uint32_t front_number(struct MHD_Connection *conn, const char *header,
                             uint64_t most, QRFindings *f)
{
    const char *v = front_header(conn, header);
    guint64 n = 0;

    if (v && !g_ascii_string_to_unsigned(v, 10, 0, most, &n, NULL))
        qr_findings_add(f, header, "must be a whole number up to %lu",
                        (unsigned long)most);
    return (uint32_t)n;
}

static QRPriority front_priority(struct MHD_Connection *conn, QRFindings *f)
{
    static const char *const names[] = {"urgent", "normal", "batch"};
    const char *v = front_header(conn, "X-Priority");

    if (!v)
        return QR_PRIORITY_NORMAL;
    for (unsigned i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(v, names[i]) == 0)
            return (QRPriority)i;
    }
    qr_findings_add(f, "X-Priority", "must be urgent, normal or batch");
    return QR_PRIORITY_NORMAL;
}

static QREvent *front_call(struct MHD_Connection *conn, const char *service,
                           const GByteArray *body, QRFindings *f)
{
    QREvent *ev = qr_event_new(QR_EVENT_CALL);
    QRRequest *r = g_new0(QRRequest, 1);

    ev->call = r;
    if (!qr_name_ok(service))
        qr_findings_add(f, "path", "names no service");
    r->service = g_strdup(service);
    r->team = front_name(conn, "X-Team", f);
    r->call_id = front_name(conn, "X-Call-Id", f);
    r->ticket = g_strdup(front_header(conn, "X-Ticket"));
    r->priority = front_priority(conn, f);
    r->deadline_ms = front_number(conn, "X-Deadline-Ms", DEADLINE_MAX_MS, f);
    r->attempt = front_number(conn, "X-Attempt", G_MAXUINT32, f);
    r->repeatable = front_yes(conn, "X-Repeatable", true, f);
    r->stream = front_yes(conn, "X-Stream", false, f);
    r->body = g_bytes_new(body->data, body->len);
    return ev;
}

static QREvent *front_text_event(QREventType type, const GByteArray *body)
{
    QREvent *ev = qr_event_new(type);

    ev->text = body->len > 0 ? g_strndup((const char *)body->data, body->len)
                             : g_strdup("");
    return ev;
}

static QREvent *front_view(const char *view)
{
    QREvent *ev = qr_event_new(QR_EVENT_STATUS);

    ev->text = g_strdup(view);
    return ev;
}

/* Views that may be asked for; DEF(path, view). */
#define FRONT_VIEWS                                                            \
    DEF("/v1/status", "status")                                                \
    DEF("/v1/intents", "intents")                                              \
    DEF("/v1/burn", "burn")                                                    \
    DEF("/metrics", "metrics")

static QREvent *front_route(struct MHD_Connection *conn, const char *method,
                            const char *url, const GByteArray *body,
                            QRFindings *f)
{
    static const struct {
        const char *path, *view;
    } views[] = {
#define DEF(path, view) {path, view},
        FRONT_VIEWS
#undef DEF
    };
    bool post = strcmp(method, "POST") == 0;

    if (post && g_str_has_prefix(url, CALLS_PREFIX))
        return front_call(conn, url + strlen(CALLS_PREFIX), body, f);
    if (post && strcmp(url, "/v1/plans") == 0)
        return front_text_event(QR_EVENT_PLAN, body);
    if (post && strcmp(url, "/v1/confirms") == 0)
        return front_text_event(QR_EVENT_CONFIRM, body);
    for (unsigned i = 0; !post && i < G_N_ELEMENTS(views); i++) {
        if (strcmp(url, views[i].path) == 0)
            return front_view(views[i].view);
    }
    qr_findings_add(f, "path", "%s %.100s is not served", method, url);
    return NULL;
}

QREvent *qr_front_event(struct MHD_Connection *conn, const char *method,
                        const char *url, const GByteArray *body,
                        char **findings)
{
    g_auto(QRFindings) f = {0};
    g_autoptr(json_object) o = NULL;
    QREvent *ev;

    qr_findings_init(&f, "request");
    ev = front_route(conn, method, url, body, &f);
    if (qr_findings_count(&f) == 0)
        return ev;
    qr_event_free(ev);
    o = json_object_new_object();
    qr_json_str(o, "outcome", "bad_request");
    qr_json_str(o, "reason", "bad_request");
    qr_json_add(o, "findings", qr_json_names(f.lines));
    *findings = qr_json_text(o);
    return NULL;
}
