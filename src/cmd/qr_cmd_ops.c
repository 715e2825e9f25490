/*
 * The operator's verbs: plan, confirm, intents, status.
 */
#include "qr_client.h"
#include "qr_cmd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *ops_read_file(const char *file)
{
    g_autoptr(GError) err = NULL;
    char *text = NULL;

    if (!g_file_get_contents(file, &text, NULL, &err))
        fprintf(stderr, "quayring: %s\n", err->message);
    return text;
}

static void ops_print_list(json_object *list, const char *between)
{
    size_t n = json_object_array_length(list);

    for (size_t i = 0; i < n; i++)
        printf("%s%s", i ? between : "",
               json_object_get_string(json_object_array_get_idx(list, i)));
}

static void ops_print_step(json_object *step)
{
    json_object *hosts, *teams;

    if (!json_object_object_get_ex(step, "hosts", &hosts) ||
        !json_object_object_get_ex(step, "teams", &teams))
        return;
    printf("  wave %d: ", (int)qr_json_get_int(step, "wave"));
    ops_print_list(hosts, " ");
    printf("\n    %d slots left:", (int)qr_json_get_int(step, "slots_left"));
    json_object_object_foreach(teams, team, left)
        printf(" %s %d", team, json_object_get_int(left));
    printf("\n");
}

static void ops_print_plan(json_object *plan)
{
    json_object *list, *sources, *steps, *change;

    if (!json_object_object_get_ex(plan, "intents", &list) ||
        !json_object_object_get_ex(plan, "change", &change))
        return;
    printf("change %s, based on revision %d\n", qr_json_get_str(change, "id"),
           (int)qr_json_get_int(change, "base"));
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *o = json_object_array_get_idx(list, i);

        printf("intent %s, service %s: version '%s' -> '%s', %d slots, teams "
               "are declared %d\n",
               qr_json_get_str(o, "intent"), qr_json_get_str(o, "service"),
               qr_json_get_str(o, "from_version"),
               qr_json_get_str(o, "to_version"),
               (int)qr_json_get_int(o, "slots"),
               (int)qr_json_get_int(o, "declared"));
        if (json_object_object_get_ex(o, "sources", &sources)) {
            json_object_object_foreach(sources, host, from)
            {
                printf("  %s fetches from: ", host);
                ops_print_list(from, " ");
                printf("\n");
            }
        }
        if (!json_object_object_get_ex(o, "steps", &steps))
            continue;
        for (size_t k = 0; k < json_object_array_length(steps); k++)
            ops_print_step(json_object_array_get_idx(steps, k));
    }
}

static void ops_print_refusal(json_object *o)
{
    json_object *findings;

    if (json_object_object_get_ex(o, "findings", &findings)) {
        ops_print_list(findings, "\n");
        printf("\n");
    }
    if (*qr_json_get_str(o, "reason"))
        printf("%s: %s\n", qr_json_get_str(o, "outcome"),
               qr_json_get_str(o, "reason"));
    if (qr_json_get_int(o, "lost_to"))
        printf("lost to the change at revision %d\n",
               (int)qr_json_get_int(o, "lost_to"));
}

int qr_cmd_plan(int argc, char **argv)
{
    g_auto(QRClientArgs) a = {0};
    g_autofree char *text = NULL;
    g_autoptr(json_object) o = NULL;
    unsigned status = 0;

    qr_client_parse(argc, argv, QR_CLIENT_FILE,
                    "Shows what a declaration would change: hosts, sources, "
                    "order, capacity left. Nothing changes until confirmed.",
                    &a);
    text = ops_read_file(a.file);
    if (!text)
        return EXIT_FAILURE;
    o = qr_client_ask_any(&a, "POST", "/v1/plans", text, &status);
    if (!o)
        return EXIT_FAILURE;
    if (status != 200) {
        ops_print_refusal(o);
        return QR_EXIT_FINDINGS;
    }
    if (a.output &&
        json_object_to_file_ext(a.output, o, JSON_C_TO_STRING_PRETTY) != 0) {
        fprintf(stderr, "quayring: %s cannot be written\n", a.output);
        return EXIT_FAILURE;
    }
    if (a.json)
        qr_client_print(o);
    else
        ops_print_plan(o);
    return EXIT_SUCCESS;
}

static int ops_confirm_exit(json_object *o, unsigned status, bool json)
{
    if (json)
        qr_client_print(o);
    else if (status == 200)
        printf("accepted at revision %d\n",
               (int)qr_json_get_int(o, "revision"));
    else
        ops_print_refusal(o);
    if (status == 200)
        return EXIT_SUCCESS;
    return status == 503 ? QR_EXIT_UNKNOWN : QR_EXIT_REFUSED;
}

int qr_cmd_confirm(int argc, char **argv)
{
    g_auto(QRClientArgs) a = {0};
    g_autofree char *text = NULL;
    g_autoptr(json_object) o = NULL;
    unsigned status = 0;

    qr_client_parse(argc, argv, QR_CLIENT_FILE,
                    "Takes a plan into force. While the outcome is unknown "
                    "it asks again with the same plan, which never applies "
                    "twice.",
                    &a);
    text = ops_read_file(a.file);
    if (!text)
        return EXIT_FAILURE;
    for (int i = 0; i < MAX(a.tries, 1); i++) {
        g_clear_pointer(&o, json_object_put);
        o = qr_client_ask_any(&a, "POST", "/v1/confirms", text, &status);
        if (o && status != 503)
            break;
        g_usleep(200000);
    }
    return o ? ops_confirm_exit(o, status, a.json) : QR_EXIT_UNKNOWN;
}

int qr_cmd_intents(int argc, char **argv)
{
    g_auto(QRClientArgs) a = {0};
    g_autoptr(json_object) o = NULL;
    unsigned status = 0;

    qr_client_parse(argc, argv, QR_CLIENT_NO_FILE,
                    "Prints the intents in force, as JSON.", &a);
    o = qr_client_ask_any(&a, "GET", "/v1/intents", NULL, &status);
    if (!o || status != 200)
        return EXIT_FAILURE;
    qr_client_print(o);
    return EXIT_SUCCESS;
}

static void ops_print_host(json_object *h)
{
    printf("  %-20s %-14s %-9s wave %-2d %4d/%-4d chunks  %2d/%-2d calls  %s%s"
           "\n",
           qr_json_get_str(h, "host"), qr_json_get_str(h, "availability_zone"),
           qr_json_get_str(h, "stage"), (int)qr_json_get_int(h, "wave"),
           (int)qr_json_get_int(h, "chunks_have"),
           (int)qr_json_get_int(h, "chunks_total"),
           (int)qr_json_get_int(h, "in_flight"),
           (int)qr_json_get_int(h, "slots"),
           qr_json_get_int(h, "leaving") ? "leaving " : "",
           qr_json_get_str(h, "why"));
}

static void ops_print_status(json_object *o)
{
    json_object *list, *hosts;

    printf("entry %s at revision %d, log answered %d ms ago, %d other "
           "entries, %d calls open%s\n",
           qr_json_get_str(o, "entry"), (int)qr_json_get_int(o, "revision"),
           (int)qr_json_get_int(o, "log_answered_ms_ago"),
           (int)qr_json_get_int(o, "entries_connected"),
           (int)qr_json_get_int(o, "calls_open"),
           qr_json_get_int(o, "stopping") ? ", stopping" : "");
    if (!json_object_object_get_ex(o, "intents", &list))
        return;
    for (size_t i = 0; i < json_object_array_length(list); i++) {
        json_object *in = json_object_array_get_idx(list, i);
        const char *waits = qr_json_get_str(in, "waits");

        printf("intent %s, service %s: version '%s' on %d of %d hosts, %s%s\n",
               qr_json_get_str(in, "intent"), qr_json_get_str(in, "service"),
               qr_json_get_str(in, "version"),
               (int)qr_json_get_int(in, "serving"),
               (int)qr_json_get_int(in, "hosts"),
               qr_json_get_int(in, "complete") ? "complete" : "under way",
               *waits && !qr_json_get_int(in, "complete") ? ":" : "");
        if (*waits && !qr_json_get_int(in, "complete"))
            printf("  %s\n", waits);
        if (json_object_object_get_ex(in, "host_list", &hosts)) {
            for (size_t k = 0; k < json_object_array_length(hosts); k++)
                ops_print_host(json_object_array_get_idx(hosts, k));
        }
    }
}

int qr_cmd_status(int argc, char **argv)
{
    g_auto(QRClientArgs) a = {0};
    g_autoptr(json_object) o = NULL;
    unsigned status = 0;

    qr_client_parse(argc, argv, QR_CLIENT_NO_FILE,
                    "Shows how far rollouts are and what they wait for.", &a);
    o = qr_client_ask_any(&a, "GET", "/v1/status", NULL, &status);
    if (!o || status != 200)
        return EXIT_FAILURE;
    if (a.json)
        qr_client_print(o);
    else
        ops_print_status(o);
    return EXIT_SUCCESS;
}
