/*
 * Service-level counts per team and service, kept in buckets of a minute.
 */
#include "qr_burn.h"

#define MINUTE_MS 60000

static const struct {
    const char *text;
    bool good;
} outcomes[] = {
#define DEF(name, text, good) {text, good},
    QR_OUTCOME_LIST
#undef DEF
};

static const unsigned burn_windows[] = {5, 30, 60, 360};

const char *qr_outcome_text(QROutcome o)
{
    return o < QR_OUTCOME_COUNT ? outcomes[o].text : "?";
}

void qr_burn_count(QRBurn *b, QROutcome o, uint64_t now_ms)
{
    uint64_t minute = now_ms / MINUTE_MS;
    QRBurnBucket *k = &b->buckets[minute % QR_BURN_BUCKETS];

    if (k->minute != minute)
        *k = (QRBurnBucket){.minute = minute};
    if (outcomes[o].good)
        k->good++;
    else
        k->bad++;
    b->total[o]++;
}

void qr_burn_window(const QRBurn *b, unsigned minutes, uint64_t now_ms,
                    uint64_t *good, uint64_t *bad)
{
    uint64_t now = now_ms / MINUTE_MS;

    *good = *bad = 0;
    for (unsigned i = 0; i < QR_BURN_BUCKETS; i++) {
        const QRBurnBucket *k = &b->buckets[i];

        if (k->minute <= now && k->minute + minutes > now) {
            *good += k->good;
            *bad += k->bad;
        }
    }
}

json_object *qr_burn_json(const QRBurn *b, uint64_t now_ms)
{
    json_object *o = json_object_new_object();
    json_object *totals = json_object_new_object();
    json_object *windows = json_object_new_array();

    for (unsigned i = 0; i < QR_OUTCOME_COUNT; i++)
        qr_json_int(totals, outcomes[i].text, (int64_t)b->total[i]);
    for (unsigned i = 0; i < G_N_ELEMENTS(burn_windows); i++) {
        json_object *w = json_object_new_object();
        uint64_t good, bad;

        qr_burn_window(b, burn_windows[i], now_ms, &good, &bad);
        qr_json_int(w, "minutes", burn_windows[i]);
        qr_json_int(w, "good", (int64_t)good);
        qr_json_int(w, "bad", (int64_t)bad);
        json_object_array_add(windows, w);
    }
    qr_json_add(o, "totals", totals);
    qr_json_add(o, "windows", windows);
    return o;
}
