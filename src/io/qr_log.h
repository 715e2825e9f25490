/*
 * Logs by log4c: short sentences, each with the prefix of its part.
 */
#ifndef QR_LOG_H
#define QR_LOG_H

#include "core/qr_event.h"

/* 'level' is the most detailed QRLevel that is written. */
void qr_log_start(const char *host, int level);
void qr_log(QRLevel level, const char *part, const char *text);
void qr_log_stop(void);

#endif
