/*
 * Logs by log4c.
 */
#include "qr_log.h"

#include <log4c.h>
#include <log4c/appender_type_stream2.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define CATEGORY "quayring"
#define LINE_MAX_BYTES 1024
#define KEPT_MAX (256u << 10)
#define WRITE_MAX 4096 /* a pipe that polls as writable takes so much */

static char log_host[QR_NAME_MAX + 1];
static log4c_category_t *log_category;
static char log_when[32];         /* of the last line */
static GString *log_kept;         /* lines that are not written yet */
static uint64_t log_dropped;      /* lines, since the start */
static uint64_t log_dropped_told; /* of these, already logged */

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
    snprintf(log_when, sizeof(log_when), "%.19s.%03d", when,
             (int)(ev->evt_timestamp.tv_usec / 1000) % 1000);
    snprintf(line, sizeof(line), "%s %s %s %s\n", log_when,
             log4c_priority_to_string(ev->evt_priority), log_host, ev->evt_msg);
    return line;
}

static const log4c_layout_type_t log_layout = {CATEGORY, log_format};

/* log4c's way out when the volume is bounded. */
static int log_keep(log4c_appender_t *to, const log4c_logging_event_t *ev)
{
    size_t len = strlen(ev->evt_rendered_msg);

    (void)to;
    if (log_kept->len + len > KEPT_MAX) {
        log_dropped++;
        return 0;
    }
    g_string_append_len(log_kept, ev->evt_rendered_msg, (gssize)len);
    return 0;
}

static const log4c_appender_type_t log_bounded = {CATEGORY, NULL, log_keep,
                                                  NULL};

static void log_open(const char *host, int level, log4c_appender_t *to)
{
    static const int priorities[] = {
        [QR_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
        [QR_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
        [QR_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    };
    log4c_layout_t *layout;

    g_strlcpy(log_host, host, sizeof(log_host));
    log4c_layout_type_set(&log_layout);
    layout = log4c_layout_get(CATEGORY);
    log4c_layout_set_type(layout, &log_layout);
    log4c_appender_set_layout(to, layout);
    log_category = log4c_category_get(CATEGORY);
    log4c_category_set_appender(log_category, to);
    log4c_category_set_additivity(log_category, 0);
    log4c_category_set_priority(log_category, priorities[CLAMP(level, 0, 2)]);
}

void qr_log_start(const char *host, int level)
{
    log4c_appender_t *to;

    log4c_init();
    to = log4c_appender_get(CATEGORY);
    log4c_appender_set_type(to, log4c_appender_type_get("stream2"));
    log4c_stream2_set_fp(to, stderr);
    log_open(host, level, to);
}

void qr_log_start_bounded(const char *host, int level)
{
    log4c_appender_t *to;

    log4c_init();
    log_kept = g_string_sized_new(WRITE_MAX);
    log4c_appender_type_set(&log_bounded);
    to = log4c_appender_get(CATEGORY);
    log4c_appender_set_type(to, &log_bounded);
    log_open(host, level, to);
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

void qr_logf(QRLevel level, const char *part, const char *fmt, ...)
{
    char text[LINE_MAX_BYTES];
    va_list ap;

    va_start(ap, fmt);
    g_vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    qr_log(level, part, text);
}

static bool log_writable(void)
{
    struct pollfd p = {STDOUT_FILENO, POLLOUT, 0};

    return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT);
}

void qr_log_flush(void)
{
    size_t done = 0;

    if (!log_kept || log_kept->len == 0)
        return;
    while (done < log_kept->len && log_writable()) {
        ssize_t n = write(STDOUT_FILENO, log_kept->str + done,
                          MIN(log_kept->len - done, (size_t)WRITE_MAX));

        if (n <= 0)
            break;
        done += (size_t)n;
    }
    g_string_erase(log_kept, 0, (gssize)done);
    if (log_dropped > log_dropped_told && log_kept->len == 0) {
        uint64_t lines = log_dropped - log_dropped_told;

        log_dropped_told = log_dropped;
        qr_logf(QR_LEVEL_WARN, "log", "lines dropped count=%" G_GUINT64_FORMAT,
                lines);
    }
}

static void write_out(const char *text, size_t len)
{
    while (len > 0 && log_writable()) {
        ssize_t n = write(STDOUT_FILENO, text, MIN(len, (size_t)WRITE_MAX));

        if (n <= 0)
            return;
        text += n;
        len -= (size_t)n;
    }
}

/*
 * In a signal handler, of a process whose memory may be in disorder: nothing is
 * allocated or locked, so the time is that of the last line.
 */
static void log_failure(int signum)
{
    char number[12], *p = number + sizeof(number);
    unsigned n = (unsigned)signum;

    *--p = '\n';
    do {
        *--p = (char)('0' + n % 10);
        n /= 10;
    } while (n > 0);
    if (log_kept)
        write_out(log_kept->str, log_kept->len);
    write_out(log_when, strlen(log_when));
    write_out(" ERROR ", 7);
    write_out(log_host, strlen(log_host));
    write_out(" process: failed signal=", 24);
    write_out(p, (size_t)(number + sizeof(number) - p));
    raise(signum); /* the handler is gone: ends as if there had been none */
}

void qr_log_failures(void)
{
    static const int signals[] = {SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV};
    struct sigaction own = {.sa_handler = log_failure,
                            .sa_flags = (int)SA_RESETHAND};
    struct sigaction before;

    for (unsigned i = 0; i < G_N_ELEMENTS(signals); i++) {
        /* a sanitizer's own handler says more */
        if (sigaction(signals[i], NULL, &before) == 0 &&
            before.sa_handler == SIG_DFL)
            sigaction(signals[i], &own, NULL);
    }
}

uint64_t qr_log_dropped(void)
{
    return log_dropped;
}

void qr_log_stop(void)
{
    qr_log_flush();
    log_category = NULL;
    log4c_fini();
}
