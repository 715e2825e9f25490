/*
 * Decides whether a call waits for a slot, and its place in the queue.
 */
#include "qr_admission.h"

#include <math.h>

/* 1 in 40 random fluctuations is larger. */
#define FLUCTUATION_DEVIATIONS 2

uint64_t qr_admission_latest_start_ms(const QRSlotDemand *d)
{
    return d->work_ms < (double)d->expires_ms
               ? d->expires_ms - (uint64_t)d->work_ms
               : 0;
}

double qr_admission_wait_ms(const QRSlotSupply *s, unsigned ahead)
{
    double ms = (double)s->ready_ms;

    return s->freed_per_s > 0 ? ms + 1000 * ahead / s->freed_per_s : ms;
}

static bool begins_in_time(const QRSlotDemand *d, const QRSlotSupply *s,
                           unsigned ahead)
{
    return (double)s->now_ms + qr_admission_wait_ms(s, ahead) <
           (double)qr_admission_latest_start_ms(d);
}

unsigned qr_admission_queue_max(unsigned slots, unsigned all)
{
    double part = (double)MAX(slots, 1) / MAX(all, MAX(slots, 1));

    return (unsigned)MAX(
        round(FLUCTUATION_DEVIATIONS * sqrt(MAX(all, slots)) * part), 1);
}

QRAdmission qr_admission_decide(const QRSlotDemand *d, const QRSlotSupply *s,
                                unsigned ahead)
{
    if (!begins_in_time(d, s, ahead))
        return QR_ADMISSION_TOO_LATE;
    return ahead < qr_admission_queue_max(s->slots, s->all_slots)
               ? QR_ADMISSION_WAITS
               : QR_ADMISSION_QUEUE_FULL;
}

bool qr_admission_goes_before(const QRSlotDemand *d,
                              const QRSlotDemand *waiting, unsigned at,
                              const QRSlotSupply *s)
{
    if (d->rank != waiting->rank)
        return d->rank < waiting->rank;
    return !begins_in_time(d, s, at + 1) && begins_in_time(waiting, s, at + 1);
}

/* Calls of the team of 'd' in progress and in the queue. */
static unsigned team_calls(const QRSlotDemand *waiting, unsigned n,
                           const QRSlotDemand *d)
{
    unsigned count = d->team_open;

    for (unsigned i = 0; i < n; i++)
        count += waiting[i].team == d->team;
    return count;
}

int qr_admission_displaced(const QRSlotDemand *waiting, unsigned n,
                           const QRSlotDemand *d)
{
    unsigned most = team_calls(waiting, n, d) + 1;
    int found = -1;

    for (unsigned i = n; i-- > 0;) {
        unsigned count = waiting[i].rank < d->rank || waiting[i].team == d->team
                             ? 0
                             : team_calls(waiting, n, &waiting[i]);

        if (count <= most)
            continue;
        most = count;
        found = (int)i;
    }
    return found;
}

const char *qr_admission_name(QRAdmission a)
{
    static const char *const names[] = {"waits", "too_late", "queue_full"};

    return names[a];
}
