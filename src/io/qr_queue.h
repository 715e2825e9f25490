/*
 * The queue of events before a reducer: many threads post, one takes.
 */
#ifndef QR_QUEUE_H
#define QR_QUEUE_H

#include "core/qr_event.h"

typedef struct QREventQueue QREventQueue;

QREventQueue *qr_events_new(void);
void qr_events_free(QREventQueue *q);
/* 'ev' is taken over; its times are set when it is taken. */
void qr_events_post(QREventQueue *q, QREvent *ev);
/* The next event, or NULL when 'until_ms' has come first. */
QREvent *qr_events_take(QREventQueue *q, uint64_t until_ms);

#endif
