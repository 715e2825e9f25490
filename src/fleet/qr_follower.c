/*
 * Follows one topic of the store.
 */
#include "qr_follower.h"

#include "io/qr_log.h"

#include <string.h>

#define CONNECT_MS 700
/* Longest pause in an answer that has begun: on a full link the windows of a
   dozen readers, 64 kB each, take turns at 3 MB/s and less. */
#define PAUSE_MS 2000
#define BACKOFF_FIRST_MS 200
#define BACKOFF_MOST_MS 1000
/* Answers that are logged: slower than a few round trips, or a good part of a
   second of a narrow link. */
#define LOG_SLOW_MS 300
#define LOG_LARGE_BYTES 65536
/* No tick for so long: this process stood still. One comes each 100 ms at
   least, and a version's bound leaves 900 ms. */
#define STILL_MS 300

struct QRFollower {
    QRClient *client;
    const QRPlatform *platform;
    QRFollowerOptions options;
    char *address;
    const QRFollowerHandlers *handlers;
    void *owner;
    QRWhole *call;
    bool listing;        /* the call under way is a listing */
    bool listed;         /* a listing was taken, reads go on from 'offset' */
    char *after;         /* last key of the page before */
    GPtrArray *pages;    /* QRStoreRecord *, owned: of this listing so far */
    QRPosition list_end; /* end as the first page told it */
    QRPosition next;     /* to be read next */
    QRPosition asked;    /* 'next' when the call under way was sent */
    bool lost;           /* the last read asked for what is no longer there */
    uint64_t next_ms, now_ms, answered_ms, gap_ms, tick_ms;
    uint64_t current_ms; /* all records put there before are known */
    QROutage outage;
    uint64_t sent_ms;  /* when the call under way was sent */
    unsigned wait_ms;  /* what it lets the store wait */
    bool fresh;        /* its connection was opened for it */
    uint64_t still_ms; /* since then this process stood still meanwhile; 0: it
                          did not */
    unsigned backoff_ms;
    bool reached, paused;
    uint64_t calls;
};

/* A connection that rested may have died unseen: no fault of the store. */
static void note_outage(QRFollower *f, bool refused)
{
    if ((!f->fresh && !refused) || f->still_ms > 0)
        return;
    if (f->outage.first_ms <= f->current_ms)
        f->outage.first_ms = f->sent_ms;
    f->outage.last_ms = f->sent_ms;
}

/* 'rest_ms': what the store wants at least. */
static void follower_failed(QRFollower *f, const char *why, uint64_t rest_ms)
{
    if (f->reached || f->answered_ms == 0)
        f->handlers->reached(f->owner, false, why);
    f->reached = false;
    f->answered_ms = f->answered_ms ? f->answered_ms : 1;
    f->next_ms = f->now_ms + MAX(f->backoff_ms, rest_ms);
    f->backoff_ms = MIN(f->backoff_ms * 2, BACKOFF_MOST_MS);
}

/*
 * A read that waits was begun as soon as all was known, and is answered when a
 * record is put there. Any other brings what was put there since all was known:
 * after a rest, an outage or a pause of ours, or by parts.
 */
static uint64_t unread_since(const QRFollower *f)
{
    bool late = f->now_ms > f->sent_ms + f->wait_ms + f->options.timeout_ms;

    if (f->wait_ms == 0 || late)
        return f->current_ms;
    return f->still_ms > 0 ? f->still_ms : f->now_ms;
}

/* Called by ticks and answers, whichever finds us awake again first. */
static void note_time(QRFollower *f, uint64_t now_ms)
{
    if (f->call && f->still_ms == 0 && now_ms > f->tick_ms + STILL_MS)
        f->still_ms = f->tick_ms;
    f->now_ms = now_ms;
}

static void follower_worked(QRFollower *f)
{
    f->backoff_ms = BACKOFF_FIRST_MS;
    f->gap_ms = f->now_ms - unread_since(f);
    f->answered_ms = f->now_ms;
    if (!f->reached) {
        f->reached = true;
        f->handlers->reached(f->owner, true, "answered");
    }
}

static void take_records(QRFollower *f, const GPtrArray *records)
{
    for (unsigned i = 0; i < records->len; i++)
        f->handlers->record(f->owner, records->pdata[i]);
}

static void listing_reset(QRFollower *f)
{
    g_clear_pointer(&f->after, g_free);
    g_ptr_array_set_size(f->pages, 0);
}

void qr_follower_restart(QRFollower *f)
{
    f->listed = false;
    listing_reset(f);
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
 * The store came back without its last records: nothing that follows on from
 * what we had read can be told by offsets, so all is listed anew.
 */
static void went_back(QRFollower *f, uint64_t epoch, const QRStorePage *page)
{
    qr_logf(QR_LEVEL_WARN, "store",
            "went back topic=%s epoch=%" G_GUINT64_FORMAT
            " before=%" G_GUINT64_FORMAT " read_to=%" G_GUINT64_FORMAT
            " end=%" G_GUINT64_FORMAT " lost=%d",
            topic_name(f), epoch, f->next.epoch, f->next.offset, page->end,
            page->lost);
    qr_follower_restart(f);
    f->next = (QRPosition){epoch, 0};
    f->handlers->went_back(f->owner, epoch);
}

/* Hands a whole listing on: of half a one nobody could say what it lacks. */
static void listing_done(QRFollower *f)
{
    g_autoptr(GHashTable) keys = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GPtrArray) records = f->pages;

    f->pages = g_ptr_array_new_with_free_func(qr_store_record_free);
    for (unsigned i = 0; i < records->len; i++)
        g_hash_table_add(keys, ((QRStoreRecord *)records->pdata[i])->key);
    take_records(f, records);
    /* what changed while pages were read stands behind the first end */
    if (qr_position_cmp(f->list_end, f->next) < 0)
        qr_logf(QR_LEVEL_WARN, "store",
                "listing ends before what was read topic=%s "
                "read_to=%" G_GUINT64_FORMAT " " QR_POSITION_FORMAT,
                topic_name(f), f->next.offset, QR_POSITION_ARGS(f->list_end));
    f->next = f->list_end;
    f->listed = true;
    f->current_ms = f->now_ms;
    f->handlers->listed(f->owner, keys);
}

static void take_listing(QRFollower *f, uint64_t epoch, QRStorePage *page)
{
    if (!f->after)
        f->list_end = (QRPosition){epoch, page->end};
    g_ptr_array_extend_and_steal(f->pages, g_steal_pointer(&page->records));
    f->next_ms = f->now_ms;
    if (page->more && f->pages->len > 0) {
        const QRStoreRecord *last = f->pages->pdata[f->pages->len - 1];

        g_free(f->after);
        f->after = g_strdup(last->key);
        return;
    }
    g_clear_pointer(&f->after, g_free);
    listing_done(f);
    if (f->options.wait_ms == 0)
        f->next_ms = f->now_ms + f->options.interval_ms;
}

/* What was to be read next is not there: all is listed anew, after a pause if
   the listing before has not helped. */
static void take_lost(QRFollower *f)
{
    qr_follower_restart(f);
    if (f->lost)
        f->next_ms = f->now_ms + BACKOFF_MOST_MS;
    f->lost = true;
}

static void take_read(QRFollower *f, uint64_t epoch, const QRStorePage *page)
{
    if (page->lost) {
        take_lost(f);
        return;
    }
    f->lost = false;
    take_records(f, page->records);
    f->next = qr_position_max(
        f->next, (QRPosition){epoch, f->asked.offset + page->records->len});
    if (!page->more)
        f->current_ms = f->now_ms;
    f->next_ms = f->now_ms + (page->more ? 0 : f->options.interval_ms);
}

/* The epoch that an answer names; one that names none is of that before it. */
static uint64_t answer_epoch(const QRFollower *f, const QRWholeAnswer *a)
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
    return f->listing && f->after ? f->list_end.epoch : f->next.epoch;
}

/* An answer from before the store went back, which we know of already. */
static void answer_outdated(QRFollower *f, uint64_t epoch)
{
    qr_logf(QR_LEVEL_WARN, "store",
            "answer passed over topic=%s epoch=%" G_GUINT64_FORMAT
            " known=%" G_GUINT64_FORMAT,
            topic_name(f), epoch, f->next.epoch);
    f->next_ms = f->now_ms + f->backoff_ms;
    f->backoff_ms = MIN(f->backoff_ms * 2, BACKOFF_MOST_MS);
}

static void page_stamp(const QRStorePage *page, uint64_t epoch)
{
    for (unsigned i = 0; i < page->records->len; i++)
        ((QRStoreRecord *)page->records->pdata[i])->position.epoch = epoch;
}

/*
 * An answer of a later epoch than what we had read begins anew; of a listing
 * that is so from its first page on.
 */
static void take_page(QRFollower *f, uint64_t epoch, QRStorePage *page)
{
    bool is_known = !qr_position_is_none(f->next);
    bool is_back = is_known && epoch > f->next.epoch;
    bool is_torn = f->listing && f->after && epoch != f->list_end.epoch;

    if (epoch < f->next.epoch) {
        answer_outdated(f, epoch);
        return;
    }
    follower_worked(f);
    if (is_back)
        went_back(f, epoch, page);
    else if (is_torn)
        qr_follower_restart(f);
    if (is_torn || (is_back && !f->listing))
        return;
    page_stamp(page, epoch);
    if (f->listing)
        take_listing(f, epoch, page);
    else if (is_known && epoch != f->asked.epoch)
        f->next_ms = f->now_ms; /* another has told us of the new epoch since */
    else
        take_read(f, epoch, page);
}

/* What a call that failed, was slow or brought much has cost. */
static void answer_log(const QRFollower *f, const QRWholeAnswer *a,
                       const char *why)
{
    uint64_t took = f->now_ms - MIN(f->sent_ms, f->now_ms);

    if (a->status == 200 && a->received < LOG_LARGE_BYTES &&
        took < f->wait_ms + LOG_SLOW_MS)
        return;
    qr_logf(QR_LEVEL_INFO, "store",
            "%s topic=%s offset=%" G_GUINT64_FORMAT
            " took_ms=%" G_GUINT64_FORMAT " wait_ms=%u bytes=%zu outcome=%s",
            f->listing ? "listing" : "read", topic_name(f), f->asked.offset,
            took, f->wait_ms, a->received, why);
}

static void answer_done(void *owner, unsigned ref, const QRWholeAnswer *a)
{
    QRFollower *f = owner;
    QRStorePage page = {0};
    char why[64];
    int rc = -1;

    (void)ref;
    note_time(f, qr_client_now(f->client));
    f->call = NULL;
    if (a->status == 0)
        g_strlcpy(why, a->why, sizeof(why));
    else
        g_snprintf(why, sizeof(why), "status %u", a->status);
    answer_log(f, a, why);
    if (a->status)
        rc = f->listing
                 ? f->platform->parse_list(a->status, a->data, a->len, &page)
                 : f->platform->parse_read(a->status, a->data, a->len,
                                           f->asked.offset, &page);
    if (rc != 0) {
        note_outage(f, a->status != 0);
        follower_failed(f, why,
                        qr_platform_rest(f->platform, a->status, a->headers));
    } else {
        take_page(f, answer_epoch(f, a), &page);
    }
    qr_store_page_clear(&page);
}

static void follower_send(QRFollower *f)
{
    g_autofree char *path = NULL;
    QRWholeRequest r = {0};
    /* while the store is away, a read that waits would find it back late; after
       a rest nobody could say since when what it brings was there */
    bool current = f->reached && f->current_ms > 0 &&
                   f->now_ms <= f->current_ms + STILL_MS;
    unsigned wait = current ? f->options.wait_ms : 0;
    uint64_t opened = qr_client_connections_opened(f->client);

    f->listing = !f->listed;
    path = f->listing
               ? f->platform->list_path(f->options.topic, f->after)
               : f->platform->read_path(f->options.topic, f->next.offset, wait);
    r.address = f->address;
    r.method = "GET";
    r.path = path;
    r.connect_ms = CONNECT_MS;
    r.timeout_ms = f->options.timeout_ms + (f->listing ? 0 : wait);
    r.pause_ms = PAUSE_MS;
    f->calls++;
    f->wait_ms = f->listing ? 0 : wait;
    f->sent_ms = f->now_ms;
    f->asked = f->next;
    f->still_ms = 0;
    f->call = qr_whole_send(f->client, &r, answer_done, f, 0);
    f->fresh = qr_client_connections_opened(f->client) > opened;
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
    f->pages = g_ptr_array_new_with_free_func(qr_store_record_free);
    f->backoff_ms = BACKOFF_FIRST_MS;
    return f;
}

void qr_follower_free(QRFollower *f)
{
    if (!f)
        return;
    qr_whole_cancel(f->call);
    g_ptr_array_unref(f->pages);
    g_free(f->after);
    g_free(f->address);
    g_free(f);
}

void qr_follower_tick(QRFollower *f, uint64_t now_ms)
{
    note_time(f, now_ms);
    f->tick_ms = now_ms;
    if (!f->call && !f->paused && now_ms >= f->next_ms)
        follower_send(f);
}

QRPosition qr_follower_next(const QRFollower *f)
{
    return f->listed ? f->next : (QRPosition){0};
}

bool qr_follower_reached(const QRFollower *f)
{
    return f->reached;
}

uint64_t qr_follower_current_ms(const QRFollower *f)
{
    return f->current_ms;
}

uint64_t qr_follower_gap_ms(const QRFollower *f)
{
    return f->gap_ms;
}

QROutage qr_follower_outage(const QRFollower *f)
{
    static const QROutage none;

    return f->outage.first_ms > f->current_ms ? f->outage : none;
}

uint64_t qr_follower_answered_ms(const QRFollower *f)
{
    return f->answered_ms;
}

static void call_cancel(QRFollower *f)
{
    qr_whole_cancel(f->call);
    f->call = NULL;
}

void qr_follower_expect(QRFollower *f, uint64_t epoch)
{
    if (f->paused || !f->listed || f->next.epoch >= epoch)
        return;
    if (f->call)
        call_cancel(f);
    qr_follower_restart(f);
}

void qr_follower_skip(QRFollower *f, QRPosition end)
{
    if (qr_position_cmp(end, f->next) < 0 ||
        (f->listed && qr_position_cmp(end, f->next) == 0))
        return;
    /* of a listing under way the pages so far are dropped: its end says nothing
       of what stood on them */
    if (f->call && f->listing)
        call_cancel(f);
    f->listed = true;
    listing_reset(f);
    f->next = end;
}

void qr_follower_set_interval(QRFollower *f, unsigned interval_ms)
{
    if (interval_ms == f->options.interval_ms)
        return;
    f->options.interval_ms = interval_ms;
    /* a longer pause that has begun is cut short */
    f->next_ms = MIN(f->next_ms, f->now_ms + interval_ms);
}

void qr_follower_pause(QRFollower *f, bool paused)
{
    f->paused = paused;
    if (!paused)
        f->next_ms = 0;
    /* one that only waits would bring what others are to tell us */
    if (paused && f->call && f->wait_ms > 0 && !qr_whole_began(f->call))
        call_cancel(f);
}

uint64_t qr_follower_calls(const QRFollower *f)
{
    return f->calls;
}
