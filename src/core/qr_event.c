/*
 * Events and effects: all that goes into a reducer and all that comes out.
 */
#include "qr_event.h"

#include <stdarg.h>

const char *qr_event_name(QREventType type)
{
    static const char *const names[] = {
#define DEF(name) #name,
        QR_EVENT_LIST
#undef DEF
    };

    return type < QR_EVENT_COUNT ? names[type] : "?";
}

const char *qr_effect_name(QREffectType type)
{
    static const char *const names[] = {
#define DEF(name) #name,
        QR_EFFECT_LIST
#undef DEF
    };

    return type < QR_EFFECT_COUNT ? names[type] : "?";
}

void qr_host_free(QRHost *h)
{
    g_free(h->host);
    g_free(h->role);
    g_free(h->availability_zone);
    g_free(h->address);
    g_free(h->caller_address);
    g_free(h);
}

void qr_request_free(QRRequest *r)
{
    g_free(r->service);
    g_free(r->team);
    g_free(r->call_id);
    g_free(r->ticket);
    g_clear_pointer(&r->body, g_bytes_unref);
    g_free(r);
}

QREvent *qr_event_new(QREventType type)
{
    QREvent *e = g_new0(QREvent, 1);

    e->type = type;
    return e;
}

void qr_event_free(QREvent *e)
{
    if (!e)
        return;
    g_clear_pointer(&e->records, g_ptr_array_unref);
    g_clear_pointer(&e->hosts, g_ptr_array_unref);
    g_clear_pointer(&e->call, qr_request_free);
    g_clear_pointer(&e->data, g_bytes_unref);
    if (e->frame)
        qr__frame__free_unpacked(e->frame, NULL);
    g_free(e->text);
    g_free(e);
}

static void effect_free(void *p)
{
    QREffect *e = p;

    g_free(e->text);
    g_free(e->key);
    g_clear_pointer(&e->data, g_bytes_unref);
    g_free(e);
}

void qr_effects_init(QREffects *out)
{
    out->list = g_ptr_array_new_with_free_func(effect_free);
}

void qr_effects_clear(QREffects *out)
{
    g_clear_pointer(&out->list, g_ptr_array_unref);
}

QREffect *qr_effect(QREffects *out, QREffectType type, QRHandle ref)
{
    QREffect *e = g_new0(QREffect, 1);

    e->type = type;
    e->ref = ref;
    g_ptr_array_add(out->list, e);
    return e;
}

QREffect *qr_effect_text(QREffects *out, QREffectType type, QRHandle ref,
                         const char *text)
{
    QREffect *e = qr_effect(out, type, ref);

    e->text = g_strdup(text);
    return e;
}

void qr_effect_send(QREffects *out, QRHandle conn, const Qr__Frame *frame)
{
    QREffect *e = qr_effect(out, QR_EFFECT_SEND, conn);

    e->data = qr_frame_pack(frame);
}

void qr_effect_log(QREffects *out, QRLevel level, const char *part,
                   const char *fmt, ...)
{
    QREffect *e = qr_effect(out, QR_EFFECT_LOG_LINE, QR_HANDLE_NONE);
    va_list ap;

    va_start(ap, fmt);
    e->text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    e->key = g_strdup(part);
    e->status = level;
}
