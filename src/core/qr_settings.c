/*
 * Settings of a process, read from JSON with comments and checked as a whole.
 */
#include "qr_settings.h"

#include <string.h>

#define BYTES_PER_MB (1 << 20)
/* Part of the memory that the body of one request may have, with its copies. */
#define BODY_MEMORY_DIVISOR 8

#define TEXT(name, type, required)                                             \
    {                                                                          \
#name, type, offsetof(QRSettings, name), required, 0, 0, 0             \
    }
#define DEF(name, min, max, fallback)                                          \
    {#name, QR_FIELD_INT, offsetof(QRSettings, name), false, min,              \
     max,   fallback},

/* Texts of both roles. */
#define TEXT_BOTH                                                              \
    TEXT(role, QR_FIELD_NAME, true), TEXT(host, QR_FIELD_NAME, true),          \
        TEXT(availability_zone, QR_FIELD_NAME, true),                          \
        TEXT(listen, QR_FIELD_ADDRESS, true),                                  \
        TEXT(log, QR_FIELD_ADDRESS, true),                                     \
        TEXT(host_list, QR_FIELD_ADDRESS, true),                               \
        TEXT(entries, QR_FIELD_ADDRESSES, false),

static const QRField entry_fields[] = {
    TEXT_BOTH TEXT(callers, QR_FIELD_ADDRESS, true),
    QR_SETTINGS_BOTH QR_SETTINGS_ENTRY{0},
};

static const QRField agent_fields[] = {
    TEXT_BOTH TEXT(service, QR_FIELD_NAME, true),
    TEXT(kind, QR_FIELD_NAME, true),
    TEXT(backend, QR_FIELD_ADDRESS, true),
    TEXT(weight_store, QR_FIELD_ADDRESS, false),
    TEXT(origin, QR_FIELD_ADDRESS, false),
    TEXT(metrics, QR_FIELD_ADDRESS, false),
    TEXT(checks_fence, QR_FIELD_BOOL, true),
    QR_SETTINGS_BOTH QR_SETTINGS_AGENT{0},
};
#undef DEF
#undef TEXT
#undef TEXT_BOTH

/* What single fields cannot tell. */
static void settings_check(const QRSettings *s, bool agent, QRFindings *f)
{
    if (s->lease_ms < 3 * s->heartbeat_ms)
        qr_findings_add(f, "lease_ms", "must be three heartbeats at least");
    if (!agent &&
        s->body_max > s->memory_mb * (BYTES_PER_MB / BODY_MEMORY_DIVISOR))
        qr_findings_add(f, "body_max",
                        "must not exceed an eighth of memory_mb");
    if (!agent && s->stop_bound_ms <= s->address_valid_ms)
        qr_findings_add(f, "stop_bound_ms",
                        "must be longer than address_valid_ms");
    if (!agent || !s->kind)
        return;
    if (!g_str_equal(s->kind, "engine") && !g_str_equal(s->kind, "plain"))
        qr_findings_add(f, "kind", "must be engine or plain");
    if (g_str_equal(s->kind, "engine") && (!s->weight_store || !s->origin))
        qr_findings_add(f, "kind", "an engine needs weight_store and origin");
}

QRSettings *qr_settings_read(const char *text, size_t len, QRFindings *f)
{
    g_autoptr(json_object) o = qr_json_parse(text, len, f);
    g_autoptr(QRSettings) s = g_new0(QRSettings, 1);
    const char *role;
    bool agent;

    if (!o)
        return NULL;
    role = json_object_is_type(o, json_type_object) ? qr_json_get_str(o, "role")
                                                    : "";
    agent = strcmp(role, "agent") == 0;
    if (!agent && strcmp(role, "entry") != 0) {
        qr_findings_add(f, "role", "must be entry or agent");
        return NULL;
    }
    qr_json_read(o, "", agent ? agent_fields : entry_fields, s, f);
    settings_check(s, agent, f);
    return qr_findings_count(f) > 0 ? NULL : g_steal_pointer(&s);
}

void qr_settings_free(QRSettings *s)
{
    if (!s)
        return;
    qr_json_release(agent_fields, s);
    qr_json_release(entry_fields, s);
    g_free(s);
}
