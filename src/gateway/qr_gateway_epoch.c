/*
 * Epochs of the store. A store that is restored from a backup has lost its last
 * records, assigns their offsets again, and answers with a new epoch.
 *
 * Records known from before stay in use. The operator's records are ordered by
 * the versions that they name. An engine's record in the backup may be older
 * than the known one: while the epoch settles, such a record does not bring
 * back an engine that leaves. After that time engines that run have written
 * their records again and the other records have expired. Readers then list all
 * records once more, and the other gateways ask readers for them.
 */
#include "qr_gateway.h"

/* Three heartbeats of an engine, after which the record of an ended engine has
   expired, and one read to see that. */
#define SETTLE_MS 5000
#define RELIST_MS 1000 /* for readers to list, before others ask */

/* Logs the positions and versions known before the rollback, which stay valid.
 */
static void log_kept_state(const QRGateway *g, uint64_t epoch)
{
    QRKnownVersions known = qr_operator_known_versions(&g->operator);

    qr_logf(QR_LEVEL_WARN, "store",
            "epoch=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
            " kept policy=%" G_GUINT64_FORMAT " weights=%" G_GUINT64_FORMAT
            " operator_end=%" G_GUINT64_FORMAT
            " engines_changed=%" G_GUINT64_FORMAT " engines=%u",
            epoch, g->store_epoch, known.policy, known.weights,
            g->operator.end.offset, g->engines_changed.offset,
            g_hash_table_size(g->engines.by_id));
}

void qr_gateway_note_epoch(QRGateway *g, uint64_t epoch)
{
    uint64_t now = MAX(qr_gateway_now(g), 1);

    if (epoch <= g->store_epoch)
        return;
    if (g->store_epoch > 0) {
        log_kept_state(g, epoch);
        /* engines whose records the backup lacks write them again */
        g->store_back_ms = now;
        qr_requests_rewrite_lost(g, epoch);
        g->store_rolled_back = true;
    }
    g->store_epoch = epoch;
    g->epoch_settling_since_ms = now;
    g->epoch_fetch_due_ms = 0;
    g->epoch_fetches = 0;
    qr_follower_expect_epoch(g->follow_operator, epoch);
    qr_follower_expect_epoch(g->follow_engines, epoch);
}

bool qr_gateway_epoch_is_settling(const QRGateway *g)
{
    return g->epoch_settling_since_ms > 0;
}

void qr_gateway_epoch_tick(QRGateway *g, uint64_t now_ms)
{
    if (g->epoch_settling_since_ms == 0 ||
        now_ms < g->epoch_settling_since_ms + SETTLE_MS)
        return;
    g->epoch_settling_since_ms = 0;
    qr_logf(QR_LEVEL_INFO, "store",
            "settled epoch=%" G_GUINT64_FORMAT " restored=%d reads=%d",
            g->store_epoch, g->store_rolled_back, !g->store_reads_paused);
    if (!g->store_rolled_back) {
        g->settled_epoch = g->store_epoch;
        return;
    }
    g->store_rolled_back = false;
    /* listings made while the epoch settled ignored records that count now */
    g->own_listing_end = (QRPosition){0};
    if (!g->store_reads_paused)
        qr_follower_relist(g->follow_engines);
    g->epoch_fetch_due_ms = now_ms + RELIST_MS;
}
