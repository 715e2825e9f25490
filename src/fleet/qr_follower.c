/*
 * Follows one topic of the store.
 */
#include "qr_follower.h"

#include "io/qr_log.h"

#include <string.h>

#define CONNECT_TIMEOUT_MS 700
/* Longest pause within a response that has begun. On a saturated link a dozen
   readers, each with a window of 64 kB, share 3 MB/s or less. */
#define BODY_GAP_MAX_MS 2000
#define BACKOFF_FIRST_MS 200
#define BACKOFF_MAX_MS 1000
/* Answers are logged if they take longer than a few round trips, or if their
   size occupies a narrow link for a good part of a second. */
#define LOG_MIN_MS 300
#define LOG_MIN_BYTES 65536
/* A longer gap between ticks means that this process was suspended. */
#define SUSPENDED_MIN_MS 300
/* A read is held only if so little time has passed since all records were
   known; later it may meet a record that is older than its wait. */
#define HELD_GAP_MAX_MS 400
/* An answer that comes sooner may bring a record that was there before. */
#define HELD_BEGIN_MS 200
/* An answer so shortly before the end of its wait may be due to that end. */
#define HELD_END_MS 100
/* Share of a wait by which the end of a read is corrected to its phase. */
#define DRIFT_DIVISOR 8

struct QRFollower {
    QRClient *client;
    const QRPlatform *platform;
    QRFollowerOptions options;
    char *address;
    const QRFollowerHandlers *handlers;
    void *owner;
    QRBufferedCall *request;
    bool listing;    /* the request under way is a listing */
    bool listed;     /* a listing is complete; reads continue at 'next' */
    char *after_key; /* last key of the previous page */
    GPtrArray *listed_records; /* QRStoreRecord *, owned; of this listing */
    QRPosition listing_end;    /* end according to the first page */
    QRPosition next;           /* position to be read next */
    QRPosition requested;      /* 'next' when the request under way was sent */
    bool last_read_expired; /* the store no longer kept the offset of the last
                               read */
    uint64_t next_ms, now_ms, max_record_age_ms;
    uint64_t last_tick_ms;
    uint64_t received_after_ms; /* the sockets were read since: what is handled
                                   now arrived later */
    uint64_t head_after_ms;     /* the same for the head of the answer */
    uint64_t answered_ms;       /* bytes of the last valid answer came since */
    uint64_t caught_up_ms;      /* all records written before are known */
    uint64_t listing_ms;        /* the store gave the first page since */
    QROutage outage;
    uint64_t records_ms;   /* when the last records came */
    bool after_records;    /* no read was held since */
    unsigned phase_ms;     /* see qr_follower_set_phase() */
    uint64_t sent_ms;      /* when the request under way was sent */
    unsigned wait_ms;      /* how long the request lets the store hold it */
    bool new_connection;   /* the request opened its connection */
    uint64_t suspended_ms; /* start of a suspension of this process during the
                              request; 0: none */
    unsigned backoff_ms;
    bool reachable, paused;
    uint64_t requests_sent;
};

/* Notes a failed request, unless the cause may be a connection that broke while
   idle or a suspension of this process. Neither is a failure of the store. */
static void record_failure(QRFollower *f, bool answered)
{
    if ((!f->new_connection && !answered) || f->suspended_ms > 0)
        return;
    if (f->outage.first_ms <= f->caught_up_ms)
        f->outage.first_ms = f->sent_ms;
    f->outage.last_ms = f->sent_ms;
}

/* 'min_delay_ms': least delay that the store asks for. */
static void follower_failed(QRFollower *f, const char *why,
                            uint64_t min_delay_ms)
{
    if (f->reachable || f->answered_ms == 0)
        f->handlers->reachable(f->owner, false, why);
    f->reachable = false;
    f->answered_ms = f->answered_ms ? f->answered_ms : 1;
    f->next_ms = f->now_ms + MAX(f->backoff_ms, min_delay_ms);
    f->backoff_ms = MIN(f->backoff_ms * 2, BACKOFF_MAX_MS);
}

/*
 * Earliest time at which the store may have given the answer that is handled
 * now. The answer may have waited in its connection while this process did not
 * run, and its body may have been on its way for long.
 */
static uint64_t given_after_ms(const QRFollower *f)
{
    return MAX(f->sent_ms, MIN(f->head_after_ms, f->sent_ms + f->wait_ms));
}

/*
 * Whether the store held the read until a record was written. An answer at once
 * may bring an older one, and so may one that the end of the wait caused or
 * that lay in its connection.
 */
static bool was_held(const QRFollower *f)
{
    return f->suspended_ms == 0 &&
           f->head_after_ms > f->sent_ms + HELD_BEGIN_MS &&
           f->now_ms + HELD_END_MS < f->sent_ms + f->wait_ms;
}

/* Earliest time at which the records of the answer may have been written. */
static uint64_t unread_since_ms(const QRFollower *f)
{
    return was_held(f) ? MAX(f->caught_up_ms, given_after_ms(f))
                       : f->caught_up_ms;
}

/* Detects a suspension of this process. Called by ticks and answers, since
   either may be the first event after the suspension. */
static void update_time(QRFollower *f, uint64_t now_ms)
{
    if (f->request && f->suspended_ms == 0 &&
        now_ms > f->last_tick_ms + SUSPENDED_MIN_MS)
        f->suspended_ms = f->last_tick_ms;
    f->now_ms = now_ms;
}

static void follower_succeeded(QRFollower *f)
{
    f->backoff_ms = BACKOFF_FIRST_MS;
    f->max_record_age_ms = f->now_ms - unread_since_ms(f);
    f->answered_ms = MAX(f->sent_ms, f->received_after_ms);
    if (!f->reachable) {
        f->reachable = true;
        f->handlers->reachable(f->owner, true, "answered");
    }
}

static void deliver_records(QRFollower *f, const GPtrArray *records)
{
    for (unsigned i = 0; i < records->len; i++)
        f->handlers->record(f->owner, records->pdata[i]);
}

static void reset_listing(QRFollower *f)
{
    g_clear_pointer(&f->after_key, g_free);
    g_ptr_array_set_size(f->listed_records, 0);
}

void qr_follower_relist(QRFollower *f)
{
    f->listed = false;
    reset_listing(f);
    f->next_ms = f->now_ms;
}

static const char *topic_name(const QRFollower *f)
{
    static const char *const topics[QR_TOPIC_COUNT] = {
        [QR_TOPIC_OPERATOR] = "operator",
        [QR_TOPIC_ENGINES] = "engines",
        [QR_TOPIC_HELD] = "held",
    };

    return topics[f->options.topic];
}

/*
 * The store was restored without its latest records. Offsets read before no
 * longer tell which records are new, which is why the topic is listed anew.
 */
static void handle_restored_store(QRFollower *f, uint64_t epoch,
                                  const QRStorePage *page)
{
    qr_logf(
        QR_LEVEL_WARN, "store",
        "restored without its latest records topic=%s epoch=%" G_GUINT64_FORMAT
        " before=%" G_GUINT64_FORMAT " read_to=%" G_GUINT64_FORMAT
        " end=%" G_GUINT64_FORMAT " lost=%d",
        topic_name(f), epoch, f->next.epoch, f->next.offset, page->end,
        page->expired);
    qr_follower_relist(f);
    f->next = (QRPosition){epoch, 0};
    f->handlers->store_restored(f->owner, epoch);
}

/* Delivers a complete listing. A partial one would not show which keys are
   missing. */
static void finish_listing(QRFollower *f)
{
    g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GPtrArray) records = f->listed_records;

    f->listed_records = g_ptr_array_new_with_free_func(qr_store_record_free);
    for (unsigned i = 0; i < records->len; i++)
        g_hash_table_add(keys, ((QRStoreRecord *)records->pdata[i])->key);
    deliver_records(f, records);
    /* changes made while pages were read come after the first page's end */
    if (qr_position_cmp(f->listing_end, f->next) < 0)
        qr_logf(QR_LEVEL_WARN, "store",
                "listing ends before the position already read topic=%s "
                "read_to=%" G_GUINT64_FORMAT " " QR_POSITION_FORMAT,
                topic_name(f), f->next.offset,
                QR_POSITION_ARGS(f->listing_end));
    f->next = f->listing_end;
    f->listed = true;
    f->caught_up_ms = MAX(f->caught_up_ms, f->listing_ms);
    f->handlers->listed(f->owner, keys);
}

static void handle_listing_page(QRFollower *f, uint64_t epoch,
                                QRStorePage *page)
{
    if (!f->after_key) {
        f->listing_end = (QRPosition){epoch, page->end};
        f->listing_ms = given_after_ms(f);
    }
    g_ptr_array_extend_and_steal(f->listed_records,
                                 g_steal_pointer(&page->records));
    f->next_ms = f->now_ms;
    if (page->more && f->listed_records->len > 0) {
        const QRStoreRecord *last =
            f->listed_records->pdata[f->listed_records->len - 1];

        g_free(f->after_key);
        f->after_key = g_strdup(last->key);
        return;
    }
    g_clear_pointer(&f->after_key, g_free);
    finish_listing(f);
    if (f->options.wait_ms == 0)
        f->next_ms = f->now_ms + f->options.interval_ms;
}

/* The store no longer keeps the record to be read next. Lists anew, after a
   delay if a listing has just failed to solve this. */
static void handle_expired_read(QRFollower *f)
{
    qr_follower_relist(f);
    if (f->last_read_expired)
        f->next_ms = f->now_ms + BACKOFF_MAX_MS;
    f->last_read_expired = true;
}

static void handle_read(QRFollower *f, uint64_t epoch, const QRStorePage *page)
{
    if (page->expired) {
        handle_expired_read(f);
        return;
    }
    f->last_read_expired = false;
    if (page->records->len > 0) {
        f->records_ms = f->now_ms;
        f->after_records = true;
    }
    deliver_records(f, page->records);
    f->next = qr_position_max(
        f->next, (QRPosition){epoch, f->requested.offset + page->records->len});
    if (!page->more)
        f->caught_up_ms = MAX(f->caught_up_ms, given_after_ms(f));
    f->next_ms = f->now_ms + (page->more ? 0 : f->options.interval_ms);
}

/* Returns the epoch of an answer. An answer without one belongs to the epoch of
   the answer before. */
static uint64_t answer_epoch(const QRFollower *f, const QRBufferedAnswer *a)
{
    g_auto(QRFindings) findings = {0};
    uint64_t epoch;

    qr_findings_init(&findings, f->address);
    epoch = f->platform->parse_epoch(a->headers, &findings);
    if (qr_findings_count(&findings) > 0)
        qr_logf(QR_LEVEL_WARN, "store", "answer topic=%s finding=%s",
                topic_name(f), (const char *)findings.lines->pdata[0]);
    if (epoch > 0)
        return epoch;
    return f->listing && f->after_key ? f->listing_end.epoch : f->next.epoch;
}

/* Ignores an answer of an earlier epoch than the known one. */
static void ignore_outdated_answer(QRFollower *f, uint64_t epoch)
{
    qr_logf(
        QR_LEVEL_WARN, "store",
        "ignored answer of an earlier epoch topic=%s epoch=%" G_GUINT64_FORMAT
        " known=%" G_GUINT64_FORMAT,
        topic_name(f), epoch, f->next.epoch);
    f->next_ms = f->now_ms + f->backoff_ms;
    f->backoff_ms = MIN(f->backoff_ms * 2, BACKOFF_MAX_MS);
}

static void set_page_epoch(const QRStorePage *page, uint64_t epoch)
{
    for (unsigned i = 0; i < page->records->len; i++)
        ((QRStoreRecord *)page->records->pdata[i])->position.epoch = epoch;
}

/*
 * Handles an answer according to its epoch. An answer of a later epoch starts
 * a new listing, and so does a listing page whose epoch differs from that of
 * the first page. A first listing page of a later epoch counts as the start.
 */
static void handle_page(QRFollower *f, uint64_t epoch, QRStorePage *page)
{
    bool is_known = !qr_position_is_none(f->next);
    bool is_restored = is_known && epoch > f->next.epoch;
    bool has_mixed_epochs =
        f->listing && f->after_key && epoch != f->listing_end.epoch;

    if (epoch < f->next.epoch) {
        ignore_outdated_answer(f, epoch);
        return;
    }
    follower_succeeded(f);
    if (is_restored)
        handle_restored_store(f, epoch, page);
    else if (has_mixed_epochs)
        qr_follower_relist(f);
    if (has_mixed_epochs || (is_restored && !f->listing))
        return;
    set_page_epoch(page, epoch);
    if (f->listing)
        handle_listing_page(f, epoch, page);
    else if (is_known && epoch != f->requested.epoch)
        f->next_ms = f->now_ms; /* a peer reported the new epoch meanwhile */
    else
        handle_read(f, epoch, page);
}

/* Logs time and size of a request that failed, was slow or returned much. */
static void log_answer(const QRFollower *f, const QRBufferedAnswer *a,
                       const char *why)
{
    uint64_t took_ms = f->now_ms - MIN(f->sent_ms, f->now_ms);

    if (a->status == 200 && a->received < LOG_MIN_BYTES &&
        took_ms < f->wait_ms + LOG_MIN_MS && f->suspended_ms == 0)
        return;
    qr_logf(
        QR_LEVEL_INFO, "store",
        "%s topic=%s offset=%" G_GUINT64_FORMAT " took_ms=%" G_GUINT64_FORMAT
        " wait_ms=%u stalled_ms=%" G_GUINT64_FORMAT " bytes=%zu outcome=%s",
        f->listing ? "listing" : "read", topic_name(f), f->requested.offset,
        took_ms, f->wait_ms, f->suspended_ms ? f->now_ms - f->suspended_ms : 0,
        a->received, why);
}

static void handle_answer(void *owner, unsigned ref, const QRBufferedAnswer *a)
{
    QRFollower *f = owner;
    QRStorePage page = {0};
    char why[64];
    int rc = -1;

    (void)ref;
    update_time(f, qr_client_now(f->client));
    f->request = NULL;
    if (a->status == 0)
        g_strlcpy(why, a->error, sizeof(why));
    else
        g_snprintf(why, sizeof(why), "status %u", a->status);
    log_answer(f, a, why);
    if (a->status)
        rc = f->listing
                 ? f->platform->parse_list(a->status, a->data, a->len, &page)
                 : f->platform->parse_read(a->status, a->data, a->len,
                                           f->requested.offset, &page);
    if (rc != 0) {
        record_failure(f, a->status != 0);
        follower_failed(
            f, why,
            qr_platform_retry_delay_ms(f->platform, a->status, a->headers));
    } else {
        handle_page(f, answer_epoch(f, a), &page);
    }
    qr_store_page_clear(&page);
}

/* How long the store may hold a read that is sent now. Only the first read
   behind records is shortened to its phase; the others are corrected by the
   time that a read takes beside its wait. */
static unsigned held_read_ms(const QRFollower *f)
{
    unsigned most = f->options.wait_ms, left;

    if (most == 0)
        return 0;
    left = most - (unsigned)((f->now_ms - f->records_ms + f->phase_ms) % most);
    return f->after_records || left > most - most / DRIFT_DIVISOR ? left : most;
}

static void send_request(QRFollower *f)
{
    g_autofree char *path = NULL;
    QRBufferedRequest r = {0};
    /* during an outage, a held read would detect the store's return late;
       after a delay, the age of its records would be unknown */
    bool is_current = f->reachable && f->caught_up_ms > 0 &&
                      f->now_ms <= f->caught_up_ms + HELD_GAP_MAX_MS;
    unsigned wait_ms = is_current ? held_read_ms(f) : 0;
    uint64_t opened = qr_client_connections_opened(f->client);

    f->after_records = f->after_records && wait_ms == 0;
    f->listing = !f->listed;
    path = f->listing ? f->platform->list_path(f->options.topic, f->after_key)
                      : f->platform->read_path(f->options.topic, f->next.offset,
                                               wait_ms);
    r.address = f->address;
    r.method = "GET";
    r.path = path;
    r.connect_ms = CONNECT_TIMEOUT_MS;
    r.timeout_ms = f->options.timeout_ms + (f->listing ? 0 : wait_ms);
    r.pause_ms = BODY_GAP_MAX_MS;
    f->requests_sent++;
    f->wait_ms = f->listing ? 0 : wait_ms;
    f->sent_ms = f->now_ms;
    f->requested = f->next;
    f->suspended_ms = 0;
    f->request = qr_buffered_send(f->client, &r, handle_answer, f, 0);
    f->new_connection = qr_client_connections_opened(f->client) > opened;
}

QRFollower *qr_follower_new(QRClient *client, const QRPlatform *platform,
                            const QRFollowerOptions *options,
                            const QRFollowerHandlers *handlers, void *owner)
{
    QRFollower *f = g_new0(QRFollower, 1);

    f->client = client;
    f->platform = platform;
    f->options = *options;
    f->address = g_strdup(options->address);
    f->handlers = handlers;
    f->owner = owner;
    f->listed_records = g_ptr_array_new_with_free_func(qr_store_record_free);
    f->backoff_ms = BACKOFF_FIRST_MS;
    return f;
}

void qr_follower_free(QRFollower *f)
{
    if (!f)
        return;
    qr_buffered_cancel(f->request);
    g_ptr_array_unref(f->listed_records);
    g_free(f->after_key);
    g_free(f->address);
    g_free(f);
}

void qr_follower_tick(QRFollower *f, uint64_t now_ms)
{
    update_time(f, now_ms);
    /* ticks run before the sockets are read */
    f->received_after_ms = f->last_tick_ms;
    if (!f->request || !qr_buffered_has_head(f->request))
        f->head_after_ms = f->last_tick_ms;
    f->last_tick_ms = now_ms;
    if (!f->request && !f->paused && now_ms >= f->next_ms)
        send_request(f);
}

QRPosition qr_follower_next_position(const QRFollower *f)
{
    return f->listed ? f->next : (QRPosition){0};
}

bool qr_follower_is_reachable(const QRFollower *f)
{
    return f->reachable;
}

uint64_t qr_follower_caught_up_ms(const QRFollower *f)
{
    return f->caught_up_ms;
}

uint64_t qr_follower_max_record_age_ms(const QRFollower *f)
{
    return f->max_record_age_ms;
}

QROutage qr_follower_outage(const QRFollower *f)
{
    static const QROutage none;

    return f->outage.first_ms > f->caught_up_ms ? f->outage : none;
}

uint64_t qr_follower_answered_ms(const QRFollower *f)
{
    return f->answered_ms;
}

static void cancel_request(QRFollower *f)
{
    qr_buffered_cancel(f->request);
    f->request = NULL;
}

void qr_follower_expect_epoch(QRFollower *f, uint64_t epoch)
{
    if (f->paused || !f->listed || f->next.epoch >= epoch)
        return;
    if (f->request)
        cancel_request(f);
    qr_follower_relist(f);
}

void qr_follower_skip_to(QRFollower *f, QRPosition end)
{
    if (qr_position_cmp(end, f->next) < 0 ||
        (f->listed && qr_position_cmp(end, f->next) == 0))
        return;
    /* discards a listing under way: 'end' says nothing about its pages */
    if (f->request && f->listing)
        cancel_request(f);
    f->listed = true;
    reset_listing(f);
    f->next = end;
}

void qr_follower_set_interval(QRFollower *f, unsigned interval_ms)
{
    if (interval_ms == f->options.interval_ms)
        return;
    f->options.interval_ms = interval_ms;
    /* shorten a longer wait that has begun */
    f->next_ms = MIN(f->next_ms, f->now_ms + interval_ms);
}

void qr_follower_set_phase(QRFollower *f, unsigned phase_ms)
{
    f->phase_ms = phase_ms;
}

void qr_follower_pause(QRFollower *f, bool paused)
{
    f->paused = paused;
    if (!paused)
        f->next_ms = 0;
    /* cancel a held read: its records are to come from peers */
    if (paused && f->request && f->wait_ms > 0 &&
        !qr_buffered_has_head(f->request))
        cancel_request(f);
}

uint64_t qr_follower_requests_sent(const QRFollower *f)
{
    return f->requests_sent;
}
