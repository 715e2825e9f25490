/*
 * What the parts of qr_requests share. Included by qr_requests*.c only.
 */
#ifndef QR_REQUESTS_PARTS_H
#define QR_REQUESTS_PARTS_H

#include "qr_gateway.h"
#include "qr_relay_parts.h"
#include "qr_requests.h"

#include <string.h>

/* Words for other gateways: Qr__Fleet__RequestWord *, owned. */
GPtrArray *qr_request_words_new(void);
Qr__Fleet__RequestWord *qr_request_word(GPtrArray *words,
                                        const QRFingerprint *f);
void qr_request_word_end(Qr__Fleet__RequestWord *word, const QRRunEnd *end,
                         uint64_t now_ms);
/* All that is known of a request. */
void qr_request_word_all(GPtrArray *words, const QRSuspect *s, uint64_t now_ms);
/* To every gateway that dialled us, at once. */
void qr_requests_tell(QRGateway *g, GPtrArray *words);
void qr_requests_tell_trial(QRGateway *g, const QRSuspect *s, bool over);
void qr_requests_tell_answered(QRGateway *g);
/* Logs what was judged to be held back, and tells it if we saw the last end. */
void qr_requests_report(QRGateway *g);
/* The store. */
void qr_requests_store_tick(QRGateway *g, uint64_t now_ms);
/* What is known of it is to be written: at once if we saw its last end. */
void qr_requests_store_due(QRGateway *g, QRSuspect *s);
void qr_requests_store_cleared(QRGateway *g, const QRFingerprint *f);

#endif
