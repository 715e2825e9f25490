/*
 * Logs by log4c: short sentences, each with the prefix of its part.
 *
 * With a bound, lines are kept in memory and written to standard output when
 * it takes them; what does not fit is dropped, counted, and the count logged.
 */
#ifndef QR_LOG_H
#define QR_LOG_H

#include "core/qr_event.h"

/* 'level' is the most detailed QRLevel that is written. */
void qr_log_start(const char *host, int level);
/* To standard output, never blocking. */
void qr_log_start_bounded(const char *host, int level);
void qr_log(QRLevel level, const char *part, const char *text);
/* "sentence key=value ..." */
void qr_logf(QRLevel level, const char *part, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);
/*
 * A process that fails (a check, memory it may not touch) says so in its last
 * line, behind those that were not written yet, and ends as it would have.
 */
void qr_log_failures(void);
/* Writes what standard output takes now. */
void qr_log_flush(void);
uint64_t qr_log_dropped(void);
void qr_log_stop(void);

#endif
