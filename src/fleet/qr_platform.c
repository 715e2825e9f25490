/*
 * Frees what a platform's parsers return, and caps the retry delay that
 * servers ask for.
 */
#include "qr_platform.h"

#define RETRY_DELAY_MAX_MS 2000

uint64_t qr_platform_retry_delay_ms(const QRPlatform *p, unsigned status,
                                    const QRHeaders *headers)
{
    return MIN(p->parse_retry_delay_ms(status, headers),
               (uint64_t)RETRY_DELAY_MAX_MS);
}

void qr_directory_query_clear(QRDirectoryQuery *q)
{
    g_clear_pointer(&q->host, g_free);
    g_clear_pointer(&q->region, g_free);
}

void qr_store_record_free(void *record)
{
    QRStoreRecord *r = record;

    if (!r)
        return;
    g_free(r->key);
    g_bytes_unref(r->value);
    g_free(r);
}

void qr_store_page_clear(QRStorePage *page)
{
    g_clear_pointer(&page->records, g_ptr_array_unref);
}

void qr_manifest_free(QRManifest *m)
{
    if (!m)
        return;
    g_free(m->model);
    if (m->digests)
        g_ptr_array_unref(m->digests);
    g_free(m);
}

void qr_engine_report_clear(QREngineReport *r)
{
    g_clear_pointer(&r->model, g_free);
}
