/*
 * Availability zones that the operator has evacuated.
 */
#include "qr_evacuations.h"

/* The last change of one zone. */
typedef struct Evacuation {
    bool evacuated;
    QRPosition position;
} Evacuation;

void qr_evacuations_init(QREvacuations *e)
{
    *e = (QREvacuations){0};
    e->by_zone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void qr_evacuations_clear(QREvacuations *e)
{
    g_clear_pointer(&e->by_zone, g_hash_table_unref);
}

bool qr_evacuations_apply(QREvacuations *e, const char *zone, bool evacuated,
                          QRPosition position)
{
    Evacuation *last = g_hash_table_lookup(e->by_zone, zone);

    if (last && qr_position_cmp(position, last->position) <= 0)
        return false;
    if (!last) {
        last = g_new0(Evacuation, 1);
        g_hash_table_insert(e->by_zone, g_strdup(zone), last);
    }
    e->count -= last->evacuated;
    e->count += evacuated;
    *last = (Evacuation){evacuated, position};
    e->newest = qr_position_max(e->newest, position);
    return true;
}

bool qr_evacuations_has(const QREvacuations *e, const char *zone)
{
    const Evacuation *last =
        e->count > 0 ? g_hash_table_lookup(e->by_zone, zone) : NULL;

    return last && last->evacuated;
}

bool qr_evacuations_is_listed(const QREvacuations *e, const char *zone,
                              QRPosition end)
{
    const Evacuation *last = g_hash_table_lookup(e->by_zone, zone);

    return last && last->evacuated && last->position.epoch == end.epoch &&
           qr_position_cmp(last->position, end) < 0;
}
