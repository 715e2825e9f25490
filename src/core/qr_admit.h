/*
 * Admission: which calls may wait, and which goes next.
 */
#ifndef QR_ADMIT_H
#define QR_ADMIT_H

#include "qr_entry.h"

/*
 * May 'c' wait? QR_REASON_NONE, or why not. If another call has to make
 * room for it, that one is put in 'loser'.
 */
QRReason qr_admit_look(const QREntry *s, const QRCall *c, QRCall **loser);

/* The call that goes next and where to; NULL if none can go now. */
QRCall *qr_admit_next(const QREntry *s, const QRQueue *q, QRBackend **to);

/* When a call has to begin so that a mean call ends by its deadline; at any
   time if no call has ended yet. */
uint64_t qr_admit_latest_start_ms(const QRCall *c);

/*
 * When the caller should come back, in ms: once the calls that wait have had
 * slots, spread over the duration of a call, in which every slot becomes free.
 */
uint32_t qr_admit_retry_ms(const QREntry *s, const QRCall *c);

#endif
