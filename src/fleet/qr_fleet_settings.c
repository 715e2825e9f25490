/*
 * Settings of gateways and sidecars.
 */
#include "qr_fleet_settings.h"

#include <string.h>

#define TEXT(name, type, required)                                             \
    {                                                                          \
#name, type, offsetof(QRFleetSettings, name), required, 0, 0, 0        \
    }
#define WHOLE(name, type, min, max, fallback)                                  \
    {#name, type, offsetof(QRFleetSettings, name), false, min, max, fallback},
#define DEF(name, min, max, fallback)                                          \
    WHOLE(name, QR_FIELD_INT, min, max, fallback)
#define LIMIT(name, min, max, fallback)                                        \
    WHOLE(name, QR_FIELD_LIMIT, min, max, fallback)

#define NUMBER(name, min, max, fallback)                                       \
    {                                                                          \
#name, QR_FIELD_NUMBER, offsetof(QRFleetSettings, name), false, min,   \
            max, fallback                                                      \
    }

#define TEXT_BOTH                                                              \
    TEXT(role, QR_FIELD_NAME, true), TEXT(host, QR_FIELD_NAME, true),          \
        TEXT(availability_zone, QR_FIELD_NAME, true),                          \
        TEXT(region, QR_FIELD_NAME, true),                                     \
        TEXT(platform, QR_FIELD_NAME, true),                                   \
        TEXT(store, QR_FIELD_ADDRESS, true),                                   \
        TEXT(peers, QR_FIELD_ADDRESS, true),                                   \
        TEXT(seeds, QR_FIELD_ADDRESSES, false),                                \
        TEXT(metrics, QR_FIELD_ADDRESS, false),                                \
        TEXT(regions, QR_FIELD_VALUE, false), NUMBER(grace_s, 1, 3600, 8),

static const QRField gateway_fields[] = {
    TEXT_BOTH TEXT(callers, QR_FIELD_ADDRESS, true),
    TEXT(directory, QR_FIELD_ADDRESS, true),
    TEXT(readiness, QR_FIELD_ADDRESS, true),
    NUMBER(retry_ratio, 0, 100, 0),
    NUMBER(retry_window_s, 1, 3600, 10),
    QR_FLEET_SETTINGS_BOTH QR_FLEET_SETTINGS_GATEWAY{0},
};

static const QRField sidecar_fields[] = {
    TEXT_BOTH TEXT(engine, QR_FIELD_ADDRESS, true),
    TEXT(service, QR_FIELD_NAME, true),
    NUMBER(link_mbit_s, 0, 1000000, 0),
    QR_FLEET_SETTINGS_BOTH QR_FLEET_SETTINGS_SIDECAR{0},
};
#undef DEF
#undef LIMIT
#undef WHOLE
#undef TEXT
#undef NUMBER
#undef TEXT_BOTH

/* Checks that involve more than the type and range of one field. */
static void settings_check(const QRFleetSettings *s, QRFindings *f)
{
    if (s->platform && !qr_platform_find(s->platform))
        qr_findings_add(f, "platform", "'%s' is not known", s->platform);
    if (s->lease_ms < 3 * s->heartbeat_ms)
        qr_findings_add(f, "lease_ms", "must be three heartbeats at least");
    if (s->regions && !json_object_is_type(s->regions, json_type_object))
        qr_findings_add(f, "regions", "must be an object of zone: region");
}

static const QRField *fields_of(const char *role)
{
    if (strcmp(role, "gateway") == 0)
        return gateway_fields;
    return strcmp(role, "sidecar") == 0 ? sidecar_fields : NULL;
}

QRFleetSettings *qr_fleet_settings_read(const char *text, size_t len,
                                        QRFindings *f)
{
    g_autoptr(json_object) o = qr_json_parse(text, len, f);
    g_autoptr(QRFleetSettings) s = NULL;
    const QRField *fields;

    if (!o)
        return NULL;
    fields = json_object_is_type(o, json_type_object)
                 ? fields_of(qr_json_get_str(o, "role"))
                 : NULL;
    if (!fields) {
        qr_findings_add(f, "role", "must be gateway or sidecar");
        return NULL;
    }
    s = g_new0(QRFleetSettings, 1);
    qr_json_read(o, "", fields, s, f);
    settings_check(s, f);
    if (qr_findings_count(f) > 0)
        return NULL;
    s->source = g_steal_pointer(&o);
    return g_steal_pointer(&s);
}

void qr_fleet_settings_free(QRFleetSettings *s)
{
    if (!s)
        return;
    qr_json_release(gateway_fields, s);
    qr_json_release(sidecar_fields, s);
    if (s->source)
        json_object_put(s->source);
    g_free(s);
}

bool qr_fleet_settings_recognize(const char *text, size_t len)
{
    g_auto(QRFindings) f = {0};
    g_autoptr(json_object) o = NULL;

    qr_findings_init(&f, "");
    o = qr_json_parse(text, len, &f);
    return o && json_object_is_type(o, json_type_object) &&
           fields_of(qr_json_get_str(o, "role"));
}

GHashTable *qr_fleet_settings_regions(const QRFleetSettings *s)
{
    GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);

    if (!s->regions)
        return regions;
    json_object_object_foreach(s->regions, zone, region)
    {
        g_hash_table_insert(regions, zone,
                            (void *)json_object_get_string(region));
    }
    return regions;
}
