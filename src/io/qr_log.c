/*
 * Logs by log4c.
 */
#include "qr_log.h"

#include <log4c.h>
#include <log4c/appender_type_stream2.h>
#include <stdio.h>
#include <time.h>

#define CATEGORY "quayring"
#define LINE_MAX_BYTES 1024

static char log_host[QR_NAME_MAX + 1];
static log4c_category_t *log_category;

/* "2026-01-31T12:00:00.123 INFO host part: text" */
static const char *log_format(const log4c_layout_t *layout,
                              const log4c_logging_event_t *ev)
{
    static __thread char line[LINE_MAX_BYTES];
    struct tm tm;
    time_t at = ev->evt_timestamp.tv_sec;
    char when[32];

    (void)layout;
    gmtime_r(&at, &tm);
    strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
    snprintf(line, sizeof(line), "%s.%03d %s %s %s\n", when,
             (int)(ev->evt_timestamp.tv_usec / 1000),
             log4c_priority_to_string(ev->evt_priority), log_host, ev->evt_msg);
    return line;
}

static const log4c_layout_type_t log_layout = {CATEGORY, log_format};

void qr_log_start(const char *host, int level)
{
    static const int priorities[] = {
        [QR_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
        [QR_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
        [QR_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    };
    log4c_appender_t *to;
    log4c_layout_t *layout;

    g_strlcpy(log_host, host, sizeof(log_host));
    log4c_init();
    log4c_layout_type_set(&log_layout);
    layout = log4c_layout_get(CATEGORY);
    log4c_layout_set_type(layout, &log_layout);
    to = log4c_appender_get(CATEGORY);
    log4c_appender_set_type(to, log4c_appender_type_get("stream2"));
    log4c_stream2_set_fp(to, stderr);
    log4c_appender_set_layout(to, layout);
    log_category = log4c_category_get(CATEGORY);
    log4c_category_set_appender(log_category, to);
    log4c_category_set_additivity(log_category, 0);
    log4c_category_set_priority(log_category, priorities[CLAMP(level, 0, 2)]);
}

void qr_log(QRLevel level, const char *part, const char *text)
{
    if (!log_category)
        return;
    if (level == QR_LEVEL_ERROR)
        log4c_category_error(log_category, "%s: %s", part, text);
    else if (level == QR_LEVEL_WARN)
        log4c_category_warn(log_category, "%s: %s", part, text);
    else
        log4c_category_info(log_category, "%s: %s", part, text);
}

void qr_log_stop(void)
{
    log_category = NULL;
    log4c_fini();
}
