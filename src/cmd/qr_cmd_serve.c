/*
 * The verbs that read settings: entry, agent, gateway, sidecar, check.
 */
#include "qr_cmd.h"
#include "core/qr_settings.h"
#include "fleet/qr_fleet_settings.h"
#include "gateway/qr_gateway.h"
#include "node/qr_node.h"
#include "sidecar/qr_sidecar.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct ServeArgs {
    const char *file;
} ServeArgs;

static error_t serve_option(int key, char *arg, struct argp_state *state)
{
    ServeArgs *a = state->input;

    if (key == 'c')
        a->file = arg;
    else if (key == ARGP_KEY_END && !a->file)
        argp_error(state, "settings are needed: -c FILE");
    else if (key == ARGP_KEY_ARG)
        argp_usage(state);
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

static const struct argp_option serve_options[] = {
    {"config", 'c', "FILE", 0, "settings, JSON with comments", 0},
    {0},
};

static const struct argp serve_argp = {
    serve_options,
    serve_option,
    NULL,
    "Runs until SIGTERM, then stops without cutting off what is in flight.",
    NULL,
    NULL,
    NULL};

static QRSettings *serve_read(const char *file, QRFindings *f)
{
    g_autoptr(GError) err = NULL;
    g_autofree char *text = NULL;
    gsize len;

    if (!g_file_get_contents(file, &text, &len, &err)) {
        qr_findings_add(f, "file", "%s", err->message);
        return NULL;
    }
    return qr_settings_read(text, len, f);
}

static int serve(int argc, char **argv, const char *role)
{
    g_auto(QRFindings) f = {0};
    g_autoptr(QRSettings) set = NULL;
    g_autofree char *text = NULL;
    ServeArgs a = {0};

    argp_parse(&serve_argp, argc, argv, 0, NULL, &a);
    qr_findings_init(&f, a.file);
    set = serve_read(a.file, &f);
    if (set && strcmp(set->role, role) != 0)
        qr_findings_add(&f, "role", "is %s, not %s", set->role, role);
    if (qr_findings_count(&f) > 0) {
        text = qr_findings_text(&f);
        fputs(text, stderr);
        return QR_EXIT_FINDINGS;
    }
    return qr_node_run(set);
}

int qr_cmd_entry(int argc, char **argv)
{
    return serve(argc, argv, "entry");
}

int qr_cmd_agent(int argc, char **argv)
{
    return serve(argc, argv, "agent");
}

static int serve_fleet(int argc, char **argv, const char *role,
                       int (*run)(const char *file, QRFleetSettings *set))
{
    g_auto(QRFindings) f = {0};
    g_autoptr(QRFleetSettings) set = NULL;
    g_autoptr(GError) err = NULL;
    g_autofree char *text = NULL;
    g_autofree char *found = NULL;
    ServeArgs a = {0};
    gsize len;

    argp_parse(&serve_argp, argc, argv, 0, NULL, &a);
    qr_findings_init(&f, a.file);
    if (!g_file_get_contents(a.file, &text, &len, &err))
        qr_findings_add(&f, "file", "%s", err->message);
    else
        set = qr_fleet_settings_read(text, len, &f);
    if (set && strcmp(set->role, role) != 0)
        qr_findings_add(&f, "role", "is %s, not %s", set->role, role);
    if (qr_findings_count(&f) > 0) {
        found = qr_findings_text(&f);
        fputs(found, stderr);
        return QR_EXIT_FINDINGS;
    }
    return run(a.file, set);
}

int qr_cmd_gateway(int argc, char **argv)
{
    return serve_fleet(argc, argv, "gateway", qr_gateway_run);
}

int qr_cmd_sidecar(int argc, char **argv)
{
    return serve_fleet(argc, argv, "sidecar", qr_sidecar_run);
}

static error_t check_option(int key, char *arg, struct argp_state *state)
{
    GPtrArray *files = state->input;

    if (key == ARGP_KEY_ARG)
        g_ptr_array_add(files, arg);
    else if (key == ARGP_KEY_NO_ARGS)
        argp_usage(state);
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

static const struct argp check_argp = {
    NULL,
    check_option,
    "FILE...",
    "Prints every finding, one a line. The exit status is 0 if there is none.",
    NULL,
    NULL,
    NULL};

/* Whose settings they are is told by their role. */
static void check_text(const char *file, const char *text, gsize len,
                       QRFindings *f)
{
    g_autoptr(QRSettings) set = NULL;
    g_autoptr(QRFleetSettings) fleet = NULL;

    if (qr_fleet_settings_recognize(text, len))
        fleet = qr_fleet_settings_read(text, len, f);
    else
        set = qr_settings_read(text, len, f);
    if (set || fleet)
        printf("%s: fit for use as %s\n", file, set ? set->role : fleet->role);
}

static unsigned check_file(const char *file)
{
    g_auto(QRFindings) f = {0};
    g_autoptr(GError) err = NULL;
    g_autofree char *text = NULL;
    g_autofree char *found = NULL;
    gsize len;

    qr_findings_init(&f, file);
    if (g_file_get_contents(file, &text, &len, &err))
        check_text(file, text, len, &f);
    else
        qr_findings_add(&f, "file", "%s", err->message);
    found = qr_findings_text(&f);
    fputs(found, stderr);
    return qr_findings_count(&f);
}

int qr_cmd_check(int argc, char **argv)
{
    g_autoptr(GPtrArray) files = g_ptr_array_new();
    unsigned found = 0;

    argp_parse(&check_argp, argc, argv, 0, NULL, files);
    for (unsigned i = 0; i < files->len; i++)
        found += check_file(files->pdata[i]);
    return found > 0 ? QR_EXIT_FINDINGS : EXIT_SUCCESS;
}
