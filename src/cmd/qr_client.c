/*
 * What the verbs that ask an entry have in common.
 */
#include "qr_client.h"
#include "io/qr_http.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

#define ASK_TIMEOUT_MS 15000
#define ANSWER_MAX (64u << 20)
#define TRIES 5

typedef struct ClientParse {
    QRClientArgs *a;
    QRClientNeeds needs;
} ClientParse;

static const struct argp_option client_options[] = {
    {"entry", 'e', "ADDRESS", 0,
     "ip:port where an entry takes callers; "
     "may stand several times",
     0},
    {"output", 'o', "FILE", 0, "write the answer there as JSON", 0},
    {"json", 'j', NULL, 0, "print JSON", 0},
    {"tries", 't', "N", 0, "ask again so often while the outcome is unknown",
     0},
    {0},
};

static error_t client_option(int key, char *arg, struct argp_state *state)
{
    ClientParse *p = state->input;
    QRClientArgs *a = p->a;

    if (key == 'e')
        g_ptr_array_add(a->entries, arg);
    else if (key == 'o')
        a->output = arg;
    else if (key == 'j')
        a->json = true;
    else if (key == 't')
        a->tries = (int)g_ascii_strtoll(arg, NULL, 10);
    else if (key == ARGP_KEY_ARG && p->needs == QR_CLIENT_FILE && !a->file)
        a->file = arg;
    else if (key == ARGP_KEY_ARG)
        argp_usage(state);
    else if (key == ARGP_KEY_END && a->entries->len == 0)
        argp_error(state, "an entry is needed: -e ADDRESS");
    else if (key == ARGP_KEY_END && p->needs == QR_CLIENT_FILE && !a->file)
        argp_error(state, "a file is needed");
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

void qr_client_parse(int argc, char **argv, QRClientNeeds needs,
                     const char *about, QRClientArgs *a)
{
    const struct argp argp = {client_options,
                              client_option,
                              needs == QR_CLIENT_FILE ? "FILE" : NULL,
                              about,
                              NULL,
                              NULL,
                              NULL};
    ClientParse p = {a, needs};

    a->entries = g_ptr_array_new();
    a->tries = TRIES;
    argp_parse(&argp, argc, argv, 0, NULL, &p);
}

void qr_client_clear(QRClientArgs *a)
{
    g_clear_pointer(&a->entries, g_ptr_array_unref);
}

json_object *qr_client_ask(const char *entry, const char *method,
                           const char *path, const char *body, unsigned *status,
                           GError **err)
{
    g_auto(QRHttpAnswer) a = {0};
    g_auto(QRFindings) f = {0};
    QRHttpRequest r = {
        .address = entry,
        .method = method,
        .path = path,
        .body = body,
        .body_len = body ? strlen(body) : 0,
        .timeout_ms = ASK_TIMEOUT_MS,
        .answer_max = ANSWER_MAX,
    };
    json_object *o;

    if (qr_http_do(&r, &a, err))
        return NULL;
    *status = a.status;
    qr_findings_init(&f, entry);
    o = qr_json_parse(a.body->str, a.body->len, &f);
    if (!o)
        g_set_error(err, QR_ERROR, QR_ERROR_BAD_INPUT,
                    "%s answered %u and no JSON", entry, a.status);
    return o;
}

json_object *qr_client_ask_any(const QRClientArgs *a, const char *method,
                               const char *path, const char *body,
                               unsigned *status)
{
    for (unsigned i = 0; i < a->entries->len; i++) {
        g_autoptr(GError) err = NULL;
        json_object *o = qr_client_ask(a->entries->pdata[i], method, path, body,
                                       status, &err);

        if (o)
            return o;
        fprintf(stderr, "quayring: %s\n", err->message);
    }
    return NULL;
}

void qr_client_print(json_object *o)
{
    puts(json_object_to_json_string_ext(o, JSON_C_TO_STRING_PRETTY |
                                               JSON_C_TO_STRING_NOSLASHESCAPE));
}
