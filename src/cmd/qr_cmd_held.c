/*
 * The verb 'held': which requests, and requests with which parts of prompts,
 * gateways refuse because they crash engines.
 */
#include "qr_client.h"
#include "qr_cmd.h"

#include "gateway/qr_requests.h"

#include <stdio.h>
#include <stdlib.h>

static void print_row(const char *gateway, json_object *row)
{
    printf("%-22s %-37s %-9s %8d %6d %8d %6d %s\n", gateway,
           qr_json_get_str(row, "request"), qr_json_get_str(row, "state"),
           (int)qr_json_get_int(row, "left_s"),
           (int)qr_json_get_int(row, "times_held"),
           (int)qr_json_get_int(row, "engines_ended"),
           (int)qr_json_get_int(row, "tries_in_a_row"),
           qr_json_get_int(row, "stored") ? "yes" : "no");
}

/* Returns -1 if the gateway did not answer with a list. */
static int print_gateway(const char *gateway, bool json)
{
    g_autoptr(GError) err = NULL;
    g_autoptr(json_object) o = NULL;
    json_object *rows;
    unsigned status = 0;

    o = qr_client_ask(gateway, "GET", QR_HELD_PATH, NULL, &status, &err);
    if (!o) {
        fprintf(stderr, "quayring: %s\n", err->message);
        return -1;
    }
    if (!json_object_object_get_ex(o, "requests", &rows) ||
        !json_object_is_type(rows, json_type_array)) {
        fprintf(stderr, "quayring: %s answered %u and no list\n", gateway,
                status);
        return -1;
    }
    if (json) {
        qr_client_print(o);
        return 0;
    }
    for (size_t i = 0; i < json_object_array_length(rows); i++)
        print_row(gateway, json_object_array_get_idx(rows, i));
    return 0;
}

int qr_cmd_held(int argc, char **argv)
{
    g_auto(QRClientArgs) a = {0};
    unsigned silent = 0;

    qr_client_parse(argc, argv, QR_CLIENT_NO_FILE,
                    "Lists the requests and prompt parts that gateways hold "
                    "back, or try once at a time, since engines ended under "
                    "them. -e takes the metrics address of a gateway. A "
                    "call's log lines name its request and parts.",
                    &a);
    if (!a.json)
        printf("%-22s %-37s %-9s %8s %6s %8s %6s %s\n", "gateway", "suspect",
               "state", "left s", "times", "engines", "tries", "stored");
    for (unsigned i = 0; i < a.entries->len; i++)
        silent += print_gateway(a.entries->pdata[i], a.json) != 0;
    return silent == a.entries->len ? EXIT_FAILURE : EXIT_SUCCESS;
}
