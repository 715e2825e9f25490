/*
 * The agent and the weights: asking for chunks, and giving them on.
 */
#include "qr_agent.h"

#include <string.h>

/* Chunks on the way to all takers: few, so that each arrives soon and can be
 * handed on, rather than all at once and late. */
#define GIVE_WINDOW 5
#define TAKERS_MAX 4096
#define WANTS_MAX QR_CHUNKS_MAX
/* Index in a ChunkGive that only says "still at work for you". */
#define INDEX_WAIT UINT32_MAX
/* Such a word goes out so many times in a stall time. */
#define WAIT_WORDS_PER_STALL 4

void qr_bulk_free(void *p)
{
    QRBulk *b = p;

    g_free(b->host);
    g_free(b->address);
    g_free(b);
}

void qr_taker_free(void *p)
{
    QRTaker *t = p;

    g_array_unref(t->wants);
    g_free(t);
}

static QRBulk *agent_bulk(QRAgent *s, const char *host)
{
    QRBulk *b;

    for (unsigned i = 0; i < s->bulks->len; i++) {
        b = s->bulks->pdata[i];
        if (strcmp(b->host, host) == 0)
            return b;
    }
    b = g_new0(QRBulk, 1);
    b->host = g_strdup(host);
    g_ptr_array_add(s->bulks, b);
    return b;
}

static QRBulk *agent_bulk_of_conn(const QRAgent *s, QRHandle conn)
{
    for (unsigned i = 0; i < s->bulks->len; i++) {
        QRBulk *b = s->bulks->pdata[i];

        if (b->conn == conn)
            return b;
    }
    return NULL;
}

static QRTaker *agent_taker(const QRAgent *s, QRHandle conn)
{
    for (unsigned i = 0; i < s->takers->len; i++) {
        QRTaker *t = s->takers->pdata[i];

        if (t->conn == conn)
            return t;
    }
    return NULL;
}

/* Asks the host at 'place' for every chunk that 'only' or all name. */
static void agent_send_wants(QRAgent *s, QRHandle conn, int place,
                             const GArray *only, QREffects *out)
{
    g_autoptr(GArray) index = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__ChunkWant m = QR__CHUNK_WANT__INIT;

    for (uint32_t i = 0; !only && i < s->fetch->n; i++) {
        if (s->fetch->chunks[i].source == place)
            g_array_append_val(index, i);
    }
    if (!only)
        only = index;
    if (only->len == 0)
        return;
    m.manifest = s->fetch->manifest;
    m.n_index = only->len;
    m.index = (uint32_t *)(void *)only->data;
    frame.body_case = QR__FRAME__BODY_CHUNK_WANT;
    frame.chunk_want = &m;
    qr_effect_send(out, conn, &frame);
}

/* Address of the agent on 'host', or NULL if none is registered. */
static const char *agent_address_of(const QRAgent *s, const char *host)
{
    const QRMember *m = qr_config_member_of_host(s->config, host);

    return m ? m->address : NULL;
}

bool qr_agent_bulk_opened(QRAgent *s, const QREvent *ev, QREffects *out)
{
    int place;

    for (unsigned i = 0; ev->text && i < s->bulks->len; i++) {
        QRBulk *b = s->bulks->pdata[i];

        if (!b->dialling || strcmp(b->address, ev->text) != 0)
            continue;
        b->conn = ev->ref;
        b->dialling = false;
        place = s->fetch ? qr_fetch_place(s->fetch, b->host) : QR_SOURCE_NONE;
        if (place != QR_SOURCE_NONE)
            agent_send_wants(s, b->conn, place, NULL, out);
        return true;
    }
    return false;
}

static void agent_bulk_gone(QRAgent *s, QRBulk *b)
{
    int place = s->fetch ? qr_fetch_place(s->fetch, b->host) : QR_SOURCE_NONE;

    b->conn = QR_HANDLE_NONE;
    b->dialling = false;
    if (place != QR_SOURCE_NONE)
        qr_fetch_lost(s->fetch, place, s->now_ms);
}

void qr_agent_bulk_closed(QRAgent *s, const QREvent *ev, QREffects *out)
{
    QRTaker *t = agent_taker(s, ev->ref);

    if (t)
        g_ptr_array_remove(s->takers, t);
    for (unsigned i = 0; i < s->bulks->len; i++) {
        QRBulk *b = s->bulks->pdata[i];
        bool failed = ev->ref == QR_HANDLE_NONE && b->dialling &&
                      g_strcmp0(b->address, ev->text) == 0;

        if (failed || (ev->ref != QR_HANDLE_NONE && b->conn == ev->ref))
            agent_bulk_gone(s, b);
    }
    qr_agent_weights_step(s, out);
}

void qr_agent_manifest_read(QRAgent *s, const QREvent *ev, QREffects *out)
{
    const QRIntent *in = qr_config_intent_of_host(s->config, s->set->host);
    g_autoptr(GError) err = NULL;

    s->manifest_reading = false;
    s->manifest_next_ms = s->now_ms + (uint64_t)s->set->stall_ms;
    if (s->fetch || !in || g_strcmp0(ev->text, s->target) != 0)
        return; /* superseded meanwhile */
    if (!ev->ok) {
        qr_agent_set_text(&s->why, "the weight store gives no manifest");
        return;
    }
    if (strcmp(ev->digest, s->target) != 0) {
        s->count[QR_AGENT_COUNT_chunks_corrupt]++;
        qr_agent_set_text(&s->why, "the manifest is corrupt");
        return;
    }
    s->fetch = qr_fetch_new(s->target, ev->data, in->hosts, s->set->host,
                            in->objective, s->set, &err);
    if (!s->fetch) {
        qr_agent_set_text(&s->why, err->message);
        return;
    }
    qr_agent_set_text(&s->why, "");
    if (s->previous)
        qr_fetch_reuse(s->fetch, s->previous);
    qr_agent_weights_step(s, out);
}

static void agent_took_chunk(QRAgent *s, const QREvent *ev, unsigned index,
                             GBytes *data, int place, QREffects *out)
{
    int got = qr_fetch_got(s->fetch, index, data, ev->digest, place, s->now_ms);

    if (got < 0) {
        s->count[QR_AGENT_COUNT_chunks_corrupt]++;
        qr_effect_log(out, QR_LEVEL_WARN, "weights",
                      "Chunk %u from %s is corrupt.", index,
                      place >= 0 ? (char *)s->fetch->tree.ring->pdata[place]
                                 : "the origin");
    }
    s->count[QR_AGENT_COUNT_chunks_in] += got > 0;
    qr_agent_weights_step(s, out);
}

void qr_agent_chunk_read(QRAgent *s, const QREvent *ev, QREffects *out)
{
    if (ev->ok)
        s->count[QR_AGENT_COUNT_origin_bytes] += g_bytes_get_size(ev->data);
    if (!s->fetch || strcmp(ev->text, s->fetch->manifest) != 0)
        return;
    if (!ev->ok) {
        qr_fetch_origin_failed(s->fetch, ev->index, s->now_ms);
        return;
    }
    agent_took_chunk(s, ev, ev->index, ev->data, QR_TREE_ORIGIN, out);
}

void qr_agent_chunk_give(QRAgent *s, const QREvent *ev, QREffects *out)
{
    const Qr__ChunkGive *m = ev->frame->chunk_give;
    QRBulk *b = agent_bulk_of_conn(s, ev->ref);
    g_autoptr(GBytes) data = NULL;
    int place;

    if (!b || !s->fetch || strcmp(m->manifest, s->fetch->manifest) != 0)
        return;
    place = qr_fetch_place(s->fetch, b->host);
    if (place == QR_SOURCE_NONE)
        return;
    if (m->index == INDEX_WAIT) {
        qr_fetch_progress(s->fetch, place, s->now_ms);
        return;
    }
    data = g_bytes_new(m->data.data, m->data.len);
    agent_took_chunk(s, ev, m->index, data, place, out);
}

void qr_agent_chunk_progress(QRAgent *s, const QREvent *ev, QREffects *out)
{
    const QRBulk *b = agent_bulk_of_conn(s, ev->ref);

    (void)out;
    if (b && s->fetch)
        qr_fetch_progress(s->fetch, qr_fetch_place(s->fetch, b->host),
                          s->now_ms);
}

void qr_agent_chunk_want(QRAgent *s, QRHandle conn, const Qr__ChunkWant *m,
                         QREffects *out)
{
    QRTaker *t = agent_taker(s, conn);

    if (!t && s->takers->len < TAKERS_MAX) {
        t = g_new0(QRTaker, 1);
        t->conn = conn;
        t->wants = g_array_new(FALSE, TRUE, sizeof(QRWant));
        g_ptr_array_add(s->takers, t);
    }
    if (!t || strlen(m->manifest) != QR_SHA_HEX - 1 ||
        t->wants->len + m->n_index > WANTS_MAX) {
        s->count[QR_AGENT_COUNT_bad_frames]++;
        return;
    }
    for (size_t i = 0; i < m->n_index; i++) {
        QRWant w = {.index = m->index[i]};

        memcpy(w.manifest, m->manifest, QR_SHA_HEX);
        g_array_append_val(t->wants, w);
    }
    qr_agent_weights_step(s, out);
}

void qr_agent_chunk_sent(QRAgent *s, const QREvent *ev, QREffects *out)
{
    QRTaker *t = agent_taker(s, ev->ref);

    if (!t)
        return;
    if (t->in_flight > 0)
        t->in_flight--;
    qr_agent_weights_step(s, out);
}

/* The chunk that 'w' asks for, if it is here. */
static GBytes *agent_find_chunk(const QRAgent *s, const QRWant *w)
{
    const QRFetch *places[] = {s->fetch, s->previous};

    for (unsigned i = 0; i < G_N_ELEMENTS(places); i++) {
        const QRFetch *f = places[i];

        if (f && strcmp(f->manifest, w->manifest) == 0 && w->index < f->n)
            return f->chunks[w->index].data;
    }
    return NULL;
}

static void agent_send_chunk(QRTaker *t, const char *manifest, uint32_t index,
                             GBytes *data, bool notify, QREffects *out)
{
    Qr__Frame frame = QR__FRAME__INIT;
    Qr__ChunkGive m = QR__CHUNK_GIVE__INIT;
    QREffect *e;
    gsize len = 0;

    m.manifest = (char *)manifest;
    m.index = index;
    if (data)
        m.data.data = (uint8_t *)g_bytes_get_data(data, &len);
    m.data.len = len;
    frame.body_case = QR__FRAME__BODY_CHUNK_GIVE;
    frame.chunk_give = &m;
    e = qr_effect(out, QR_EFFECT_SEND, t->conn);
    e->data = qr_frame_pack(&frame);
    e->notify = notify;
}

/* Chunks on the way, but for those to takers that take nothing any more. */
static unsigned agent_gives_in_flight(const QRAgent *s)
{
    unsigned n = 0;

    for (unsigned i = 0; i < s->takers->len; i++) {
        const QRTaker *t = s->takers->pdata[i];

        if (s->now_ms - t->given_ms < (uint64_t)s->set->stall_ms)
            n += t->in_flight;
    }
    return n;
}

/* Gives 't' one chunk that it wants and we have. */
static void agent_give_one(QRAgent *s, QRTaker *t, QREffects *out)
{
    for (unsigned i = 0; i < t->wants->len; i++) {
        QRWant w = g_array_index(t->wants, QRWant, i);
        GBytes *data = agent_find_chunk(s, &w);

        if (!data)
            continue;
        agent_send_chunk(t, w.manifest, w.index, data, true, out);
        g_array_remove_index(t->wants, i);
        t->in_flight++;
        t->given_ms = s->now_ms;
        s->count[QR_AGENT_COUNT_chunks_out]++;
        return;
    }
}

static void agent_say_wait(QRAgent *s, QRTaker *t, QREffects *out)
{
    uint64_t word_ms = (uint64_t)s->set->stall_ms / WAIT_WORDS_PER_STALL;

    /* a taker that waits for us hears that we are at work, as long as we
     * are; else it turns elsewhere */
    if (t->wants->len > 0 && s->now_ms - t->given_ms >= word_ms && s->fetch &&
        qr_fetch_alive(s->fetch, s->now_ms)) {
        agent_send_chunk(t, s->fetch->manifest, INDEX_WAIT, NULL, false, out);
        t->given_ms = s->now_ms;
    }
}

/* Takers come in turn, so that none waits for another's whole list. */
static void agent_give(QRAgent *s, QREffects *out)
{
    unsigned n = s->takers->len;

    for (unsigned i = 0; i < n; i++) {
        QRTaker *t = s->takers->pdata[(s->give_turn + i) % n];

        if (t->in_flight == 0 && agent_gives_in_flight(s) < GIVE_WINDOW)
            agent_give_one(s, t, out);
        agent_say_wait(s, t, out);
    }
    s->give_turn++;
}

/* New asks of one step, gathered by place. */
typedef struct AgentAsks {
    QRAgent *s;
    QREffects *out;
    GHashTable *by_place; /* place + 1 -> GArray of uint32_t */
} AgentAsks;

static void agent_ask(void *arg, int place, unsigned index)
{
    AgentAsks *a = arg;
    GArray *list;
    QREffect *e;

    if (place == QR_TREE_ORIGIN) {
        e = qr_effect_text(a->out, QR_EFFECT_READ_CHUNK, QR_HANDLE_NONE,
                           a->s->fetch->manifest);
        e->key = g_strdup(a->s->fetch->chunks[index].hash);
        e->index = index;
        return;
    }
    list = g_hash_table_lookup(a->by_place, GINT_TO_POINTER(place + 1));
    if (!list) {
        list = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        g_hash_table_insert(a->by_place, GINT_TO_POINTER(place + 1), list);
    }
    g_array_append_val(list, index);
}

static void agent_send_asks(QRAgent *s, int place, const GArray *index,
                            QREffects *out)
{
    const char *host = s->fetch->tree.ring->pdata[place];
    const char *address = agent_address_of(s, host);
    QRBulk *b = agent_bulk(s, host);

    if (b->conn != QR_HANDLE_NONE) {
        agent_send_wants(s, b->conn, place, index, out);
    } else if (!address) {
        qr_fetch_lost(s->fetch, place, s->now_ms);
    } else if (!b->dialling) {
        b->dialling = true; /* what is asked goes out when it opens */
        qr_agent_set_text(&b->address, address);
        qr_effect_text(out, QR_EFFECT_DIAL, QR_HANDLE_NONE, address)->status =
            QR_LANE_BULK;
    }
}

void qr_agent_weights_step(QRAgent *s, QREffects *out)
{
    if (s->fetch && !qr_fetch_complete(s->fetch)) {
        g_autoptr(GHashTable) by_place = g_hash_table_new_full(
            NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
        AgentAsks asks = {s, out, by_place};
        GHashTableIter it;
        void *key, *list;

        qr_fetch_step(s->fetch, s->now_ms, agent_ask, &asks);
        if (s->fetch->stalls > 0)
            qr_effect_log(out, QR_LEVEL_WARN, "weights",
                          "Gave up %u stalled sources.",
                          (unsigned)s->fetch->stalls);
        s->count[QR_AGENT_COUNT_stalls] += s->fetch->stalls;
        s->fetch->stalls = 0;
        g_hash_table_iter_init(&it, by_place);
        while (g_hash_table_iter_next(&it, &key, &list))
            agent_send_asks(s, GPOINTER_TO_INT(key) - 1, list, out);
    }
    agent_give(s, out);
}
