/*
 * The report on service-level burn: the counts of all entries, added up.
 */
#include "qr_client.h"
#include "qr_cmd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOWS_MAX 8
#define PERMILLE 1000.0

typedef struct BurnWindow {
    int64_t minutes, good, bad;
} BurnWindow;

typedef struct BurnRow {
    char *service, *team;
    BurnWindow windows[WINDOWS_MAX];
    unsigned n;
} BurnRow;

static void burn_row_free(void *p)
{
    BurnRow *r = p;

    g_free(r->service);
    g_free(r->team);
    g_free(r);
}

static BurnRow *burn_row(GPtrArray *rows, const char *service, const char *team)
{
    BurnRow *r;

    for (unsigned i = 0; i < rows->len; i++) {
        r = rows->pdata[i];
        if (!strcmp(r->service, service) && !strcmp(r->team, team))
            return r;
    }
    r = g_new0(BurnRow, 1);
    r->service = g_strdup(service);
    r->team = g_strdup(team);
    g_ptr_array_add(rows, r);
    return r;
}

static void burn_add_share(GPtrArray *rows, json_object *share)
{
    BurnRow *r = burn_row(rows, qr_json_get_str(share, "service"),
                          qr_json_get_str(share, "team"));
    json_object *windows;

    if (!json_object_object_get_ex(share, "windows", &windows))
        return;
    r->n = (unsigned)MIN(json_object_array_length(windows), WINDOWS_MAX);
    for (unsigned i = 0; i < r->n; i++) {
        json_object *w = json_object_array_get_idx(windows, i);

        r->windows[i].minutes = qr_json_get_int(w, "minutes");
        r->windows[i].good += qr_json_get_int(w, "good");
        r->windows[i].bad += qr_json_get_int(w, "bad");
    }
}

/* Adds what one entry counted; returns -1 if it did not answer. */
static int burn_add_entry(GPtrArray *rows, const char *entry,
                          int64_t *objective)
{
    g_autoptr(GError) err = NULL;
    g_autoptr(json_object) o = NULL;
    json_object *shares;
    unsigned status = 0;

    o = qr_client_ask(entry, "GET", "/v1/burn", NULL, &status, &err);
    if (!o || status != 200 ||
        !json_object_object_get_ex(o, "shares", &shares)) {
        fprintf(stderr, "quayring: %s\n", err ? err->message : entry);
        return -1;
    }
    *objective = qr_json_get_int(o, "objective_permille");
    for (size_t i = 0; i < json_object_array_length(shares); i++)
        burn_add_share(rows, json_object_array_get_idx(shares, i));
    return 0;
}

/*
 * Burn rate: the share of bad calls over the share that the objective
 * allows. At 1 the budget lasts exactly as long as the window.
 */
static double burn_rate(const BurnWindow *w, int64_t objective)
{
    double allowed = (PERMILLE - (double)objective) / PERMILLE;
    int64_t calls = w->good + w->bad;

    if (calls == 0)
        return 0;
    if (allowed <= 0)
        return w->bad > 0 ? 1e9 : 0;
    return (double)w->bad / (double)calls / allowed;
}

static void burn_print(const GPtrArray *rows, int64_t objective)
{
    printf("objective: %.1f%% of calls answered, first byte in time\n",
           (double)objective / 10);
    printf("%-24s %-16s %8s %10s %8s %8s %12s\n", "service", "team", "minutes",
           "calls", "bad", "burn", "budget left");
    for (unsigned i = 0; i < rows->len; i++) {
        const BurnRow *r = rows->pdata[i];

        for (unsigned k = 0; k < r->n; k++) {
            const BurnWindow *w = &r->windows[k];
            double rate = burn_rate(w, objective);

            printf("%-24s %-16s %8d %10d %8d %8.2f %11.0f%%\n", r->service,
                   r->team, (int)w->minutes, (int)(w->good + w->bad),
                   (int)w->bad, rate, MAX(0, 100 * (1 - rate)));
        }
    }
}

static void burn_print_json(const GPtrArray *rows, int64_t objective)
{
    g_autoptr(json_object) o = json_object_new_object();
    json_object *a = json_object_new_array();

    for (unsigned i = 0; i < rows->len; i++) {
        const BurnRow *r = rows->pdata[i];

        for (unsigned k = 0; k < r->n; k++) {
            json_object *w = json_object_new_object();

            qr_json_str(w, "service", r->service);
            qr_json_str(w, "team", r->team);
            qr_json_int(w, "minutes", r->windows[k].minutes);
            qr_json_int(w, "good", r->windows[k].good);
            qr_json_int(w, "bad", r->windows[k].bad);
            qr_json_add(
                w, "burn",
                json_object_new_double(burn_rate(&r->windows[k], objective)));
            json_object_array_add(a, w);
        }
    }
    qr_json_int(o, "objective_permille", objective);
    qr_json_add(o, "rows", a);
    qr_client_print(o);
}

int qr_cmd_burn(int argc, char **argv)
{
    g_auto(QRClientArgs) a = {0};
    g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(burn_row_free);
    unsigned silent = 0;
    int64_t objective = 0;

    qr_client_parse(argc, argv, QR_CLIENT_NO_FILE,
                    "Reports on service-level burn per service and team, "
                    "added up over the entries named.",
                    &a);
    for (unsigned i = 0; i < a.entries->len; i++)
        silent += burn_add_entry(rows, a.entries->pdata[i], &objective) != 0;
    if (silent == a.entries->len)
        return EXIT_FAILURE;
    if (a.json)
        burn_print_json(rows, objective);
    else
        burn_print(rows, objective);
    if (silent > 0)
        printf("%u of %u entries did not answer: the report is partial\n",
               silent, a.entries->len);
    return EXIT_SUCCESS;
}
