/*
 * The store comes back without its last records, from a copy of some time
 * before, and gives their offsets out again.
 *
 * What is known of before stays in use. The operator's records go by the
 * versions that they name. An engine's record in the copy may be older than
 * what is known of the engine, so for a while it does not bring back one that
 * leaves. By then engines that live have written theirs again, and those of the
 * others have gone: readers list once more, and the others ask them.
 */
#include "qr_gateway.h"

/* Three heartbeats of an engine, after which its record has gone if it has
   ended, and a round to see that. */
#define SETTLE_MS 5000
#define RELIST_MS 1000 /* for readers to list, before others ask them */

/* What was known before the store went back, and stays. */
static void kept_log(const QRGateway *g, uint64_t epoch)
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
        kept_log(g, epoch);
        /* engines whose records the copy lacks write them again */
        g->engines_regained_ms = now;
        qr_requests_store_again(g, epoch);
        g->went_back = true;
    }
    g->store_epoch = epoch;
    g->epoch_ms = now;
    g->relist_ms = 0;
    qr_follower_expect_epoch(g->follow_operator, epoch);
    qr_follower_expect_epoch(g->follow_engines, epoch);
}

bool qr_gateway_epochs_settle(const QRGateway *g)
{
    return g->epoch_ms > 0;
}

void qr_gateway_epoch_tick(QRGateway *g, uint64_t now_ms)
{
    if (g->epoch_ms == 0 || now_ms < g->epoch_ms + SETTLE_MS)
        return;
    g->epoch_ms = 0;
    if (!g->went_back)
        return;
    g->went_back = false;
    if (!g->reading_rests)
        qr_follower_relist(g->follow_engines);
    g->relist_ms = now_ms + RELIST_MS;
}
