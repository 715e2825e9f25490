/*
 * Fetching one version of the weights.
 */
#include "qr_fetch.h"

#include <string.h>

/* A source that failed is passed over for so many stall times. */
#define PASS_OVER_STALLS 10
/* After so many failed reads in a row those who wait for us wait no more. */
#define ORIGIN_FAILURES_MAX 2

static int fetch_read_chunks(QRFetch *f, GError **err)
{
    g_auto(QRFindings) found = {0};
    g_autoptr(json_object) o = NULL;
    json_object *a = NULL;
    gsize len;
    const char *text = g_bytes_get_data(f->text, &len);
    size_t n = 0;

    qr_findings_init(&found, "manifest");
    o = qr_json_parse(text, len, &found);
    if (o && json_object_is_type(o, json_type_object) &&
        json_object_object_get_ex(o, "chunks", &a) &&
        json_object_is_type(a, json_type_array))
        n = json_object_array_length(a);
    if (n == 0 || n > QR_CHUNKS_MAX)
        goto fail;
    f->chunks = g_new0(QRChunk, n);
    f->n = (unsigned)n;
    for (size_t i = 0; i < n; i++) {
        const char *h = json_object_get_string(json_object_array_get_idx(a, i));

        if (!h || strspn(h, "0123456789abcdef") != QR_SHA_HEX - 1 ||
            h[QR_SHA_HEX - 1] != '\0')
            goto fail;
        memcpy(f->chunks[i].hash, h, QR_SHA_HEX);
        f->chunks[i].source = QR_SOURCE_NONE;
    }
    return 0;
fail:
    g_set_error(err, QR_ERROR, QR_ERROR_BAD_INPUT,
                "the manifest has no list of chunk hashes");
    return -1;
}

QRFetch *qr_fetch_new(const char *manifest, GBytes *text,
                      const GPtrArray *hosts, const char *self,
                      const char *objective, const QRSettings *set,
                      GError **err)
{
    g_autoptr(QRFetch) f = g_new0(QRFetch, 1);
    unsigned roots = qr_tree_roots(objective, hosts->len);

    if (set->origin_roots > 0)
        roots = (unsigned)set->origin_roots;
    f->manifest = g_strdup(manifest);
    f->text = g_bytes_ref(text);
    f->hosts = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < hosts->len; i++)
        g_ptr_array_add(f->hosts, g_strdup(hosts->pdata[i]));
    f->sources = g_new0(QRSource, hosts->len + 1);
    f->stall_ms = (uint64_t)set->stall_ms;
    f->origin_window = (unsigned)set->origin_window;
    qr_tree_init(&f->tree, f->hosts, manifest, self, (unsigned)set->trees,
                 (unsigned)set->fan_out, roots);
    if (fetch_read_chunks(f, err))
        return NULL;
    return g_steal_pointer(&f);
}

void qr_fetch_free(QRFetch *f)
{
    if (!f)
        return;
    for (unsigned i = 0; i < f->n; i++)
        g_clear_pointer(&f->chunks[i].data, g_bytes_unref);
    g_free(f->chunks);
    qr_tree_clear(&f->tree);
    g_ptr_array_unref(f->hosts);
    g_free(f->sources);
    g_bytes_unref(f->text);
    g_free(f->manifest);
    g_free(f);
}

void qr_fetch_reuse(QRFetch *f, const QRFetch *old)
{
    g_autoptr(GHashTable) by_hash = g_hash_table_new(g_str_hash, g_str_equal);

    for (unsigned i = 0; i < old->n; i++) {
        if (old->chunks[i].data)
            g_hash_table_insert(by_hash, old->chunks[i].hash,
                                old->chunks[i].data);
    }
    for (unsigned i = 0; i < f->n; i++) {
        GBytes *data = g_hash_table_lookup(by_hash, f->chunks[i].hash);

        if (data && !f->chunks[i].data) {
            f->chunks[i].data = g_bytes_ref(data);
            f->have++;
        }
    }
}

static QRSource *fetch_source(QRFetch *f, int place)
{
    return place == QR_TREE_ORIGIN ? &f->origin : &f->sources[place];
}

typedef struct FetchUsable {
    const QRFetch *f;
    uint64_t now_ms;
} FetchUsable;

static bool fetch_usable(void *arg, unsigned place)
{
    const FetchUsable *u = arg;

    return u->now_ms >= u->f->sources[place].passed_until_ms;
}

static void fetch_unask(QRFetch *f, unsigned index)
{
    QRChunk *c = &f->chunks[index];

    if (c->source == QR_SOURCE_NONE)
        return;
    fetch_source(f, c->source)->asked--;
    c->source = QR_SOURCE_NONE;
}

void qr_fetch_lost(QRFetch *f, int place, uint64_t now_ms)
{
    if (place < 0)
        return;
    f->sources[place].passed_until_ms = now_ms + PASS_OVER_STALLS * f->stall_ms;
    for (unsigned i = 0; i < f->n; i++) {
        if (f->chunks[i].source == place)
            fetch_unask(f, i);
    }
}

void qr_fetch_origin_failed(QRFetch *f, unsigned index, uint64_t now_ms)
{
    if (index >= f->n || f->chunks[index].source != QR_TREE_ORIGIN)
        return;
    fetch_unask(f, index);
    f->origin_failures++;
    /* a breath, so that a refusing origin is not hammered */
    f->origin.passed_until_ms = now_ms + f->stall_ms / 4;
}

void qr_fetch_progress(QRFetch *f, int place, uint64_t now_ms)
{
    if (place >= 0)
        f->sources[place].progress_ms = now_ms;
}

/* No progress for a stall time: the link or the host behind it is stuck. */
static void fetch_give_up_stalled(QRFetch *f, uint64_t now_ms)
{
    for (unsigned p = 0; p < f->tree.ring->len; p++) {
        QRSource *s = &f->sources[p];

        if (s->asked > 0 && now_ms - s->progress_ms > f->stall_ms) {
            f->stalls++;
            qr_fetch_lost(f, (int)p, now_ms);
        }
    }
}

static void fetch_ask(QRFetch *f, unsigned index, int place, uint64_t now_ms,
                      QRFetchAsk *ask, void *arg)
{
    QRChunk *c = &f->chunks[index];
    QRSource *s = fetch_source(f, place);

    if (s->asked == 0)
        s->progress_ms = now_ms;
    s->asked++;
    c->source = place;
    c->asked_ms = f->asked_ms = now_ms;
    ask(arg, place, index);
}

void qr_fetch_step(QRFetch *f, uint64_t now_ms, QRFetchAsk *ask, void *arg)
{
    FetchUsable u = {f, now_ms};

    if (qr_fetch_complete(f))
        return;
    fetch_give_up_stalled(f, now_ms);
    for (unsigned i = 0; i < f->n; i++) {
        int place;

        if (f->chunks[i].data || f->chunks[i].source != QR_SOURCE_NONE)
            continue;
        place = qr_tree_source(&f->tree, i, fetch_usable, &u);
        if (place == QR_TREE_ORIGIN && (f->origin.asked >= f->origin_window ||
                                        now_ms < f->origin.passed_until_ms))
            continue;
        fetch_ask(f, i, place, now_ms, ask, arg);
    }
}

int qr_fetch_got(QRFetch *f, unsigned index, GBytes *data, const char *digest,
                 int source, uint64_t now_ms)
{
    QRChunk *c;

    if (index >= f->n || source == QR_SOURCE_NONE)
        return -1;
    c = &f->chunks[index];
    if (strcmp(c->hash, digest) != 0) {
        f->corrupt++;
        if (source == QR_TREE_ORIGIN)
            qr_fetch_origin_failed(f, index, now_ms);
        else
            qr_fetch_lost(f, source, now_ms);
        return -1;
    }
    fetch_source(f, source)->progress_ms = now_ms;
    if (source == QR_TREE_ORIGIN)
        f->origin_failures = 0;
    fetch_unask(f, index);
    if (c->data)
        return 0;
    c->data = g_bytes_ref(data);
    f->have++;
    return 1;
}

int qr_fetch_place(const QRFetch *f, const char *host)
{
    for (unsigned i = 0; i < f->tree.ring->len; i++) {
        if (strcmp(f->tree.ring->pdata[i], host) == 0)
            return (int)i;
    }
    return QR_SOURCE_NONE;
}

bool qr_fetch_complete(const QRFetch *f)
{
    return f->have == f->n;
}

bool qr_fetch_alive(const QRFetch *f, uint64_t now_ms)
{
    if (qr_fetch_complete(f) || now_ms - f->asked_ms <= f->stall_ms)
        return true;
    if (f->origin.asked > 0 && f->origin_failures < ORIGIN_FAILURES_MAX)
        return true; /* it may be slow: asking it more often makes it slower */
    for (unsigned p = 0; p < f->tree.ring->len; p++) {
        const QRSource *s = &f->sources[p];

        if (s->asked > 0 && now_ms - s->progress_ms <= f->stall_ms)
            return true;
    }
    return false;
}
