/*
 * The operator's configuration for calls: routes, services, teams, limits.
 */
#include "qr_policy.h"

#include "qr_placement.h"

#include <string.h>

#define HEAD_MAX_BYTES 16384
#define BODY_MAX_BYTES (4u << 20)
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000
#define HOST_NAME_BYTES 256

static void share_clear(void *share)
{
    g_free(((QRRouteShare *)share)->service);
}

static void route_free(void *row)
{
    QRPolicyRoute *r = row;

    g_free(r->name);
    g_free(r->host);
    g_free(r->prefix);
    g_array_unref(r->shares);
    g_clear_pointer(&r->allowed_regions, g_ptr_array_unref);
    g_free(r);
}

static void service_free(void *row)
{
    QRService *s = row;

    g_free(s->name);
    g_free(s->origin);
    g_free(s->engine.model);
    g_free(s);
}

static void team_free(void *row)
{
    QRPolicyTeam *t = row;

    g_free(t->name);
    g_ptr_array_unref(t->keys);
    g_clear_pointer(&t->allowed_regions, g_ptr_array_unref);
    g_free(t);
}

QRPolicy *qr_policy_new(uint64_t version)
{
    QRPolicy *p = g_new0(QRPolicy, 1);

    p->version = version;
    p->routes = g_ptr_array_new_with_free_func(route_free);
    p->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)g_ptr_array_unref);
    p->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
    p->teams = g_ptr_array_new_with_free_func(team_free);
    p->keys = g_hash_table_new(g_str_hash, g_str_equal);
    p->head_max_bytes = HEAD_MAX_BYTES;
    p->body_max_bytes = BODY_MAX_BYTES;
    p->head_timeout_ms = HEAD_TIMEOUT_MS;
    p->idle_timeout_ms = IDLE_TIMEOUT_MS;
    return p;
}

void qr_policy_free(QRPolicy *p)
{
    if (!p)
        return;
    g_hash_table_unref(p->hosts);
    g_hash_table_unref(p->keys);
    g_ptr_array_unref(p->routes);
    g_hash_table_unref(p->services);
    g_ptr_array_unref(p->teams);
    g_bytes_unref(p->for_sidecars);
    g_free(p);
}

QRPolicyRoute *qr_policy_add_route(QRPolicy *p)
{
    QRPolicyRoute *r = g_new0(QRPolicyRoute, 1);

    r->shares = g_array_new(FALSE, FALSE, sizeof(QRRouteShare));
    g_array_set_clear_func(r->shares, share_clear);
    r->attempts_max = 1;
    g_ptr_array_add(p->routes, r);
    return r;
}

void qr_route_add_share(QRPolicyRoute *r, const char *service, unsigned weight)
{
    QRRouteShare share = {g_strdup(service), weight};

    g_array_append_val(r->shares, share);
}

QRService *qr_policy_add_service(QRPolicy *p, const char *name)
{
    QRService *s = g_new0(QRService, 1);

    s->name = g_strdup(name);
    g_hash_table_replace(p->services, s->name, s);
    return s;
}

QRPolicyTeam *qr_policy_add_team(QRPolicy *p, const char *name,
                                 unsigned priority)
{
    QRPolicyTeam *t = g_new0(QRPolicyTeam, 1);

    t->name = g_strdup(name);
    t->priority = priority;
    t->keys = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(p->teams, t);
    return t;
}

void qr_team_add_key(QRPolicyTeam *t, const char *key)
{
    g_ptr_array_add(t->keys, g_strdup(key));
}

GPtrArray *qr_policy_regions_new(void)
{
    return g_ptr_array_new_with_free_func(g_free);
}

static int compare_prefix_length(const void *a, const void *b)
{
    const QRPolicyRoute *r = *(const QRPolicyRoute *const *)a;
    const QRPolicyRoute *s = *(const QRPolicyRoute *const *)b;
    size_t lr = strlen(r->prefix), ls = strlen(s->prefix);

    return lr < ls ? 1 : lr > ls ? -1 : 0;
}

static void index_routes(QRPolicy *p)
{
    GHashTableIter it;
    void *list;

    for (unsigned i = 0; i < p->routes->len; i++) {
        QRPolicyRoute *r = p->routes->pdata[i];
        char *host = g_ascii_strdown(r->host, -1);

        list = g_hash_table_lookup(p->hosts, host);
        if (!list) {
            list = g_ptr_array_new();
            g_hash_table_insert(p->hosts, host, list);
        } else {
            g_free(host);
        }
        g_ptr_array_add(list, r);
    }
    g_hash_table_iter_init(&it, p->hosts);
    while (g_hash_table_iter_next(&it, NULL, &list))
        g_ptr_array_sort(list, compare_prefix_length);
}

static void set_service_gaps(QRPolicy *p)
{
    for (unsigned i = 0; i < p->routes->len; i++) {
        const QRPolicyRoute *r = p->routes->pdata[i];

        for (unsigned k = 0; r->event_gap_ms && k < r->shares->len; k++) {
            const QRRouteShare *share =
                &g_array_index(r->shares, QRRouteShare, k);
            QRService *s = g_hash_table_lookup(p->services, share->service);

            if (s && (!s->event_gap_ms || r->event_gap_ms < s->event_gap_ms))
                s->event_gap_ms = r->event_gap_ms;
        }
    }
}

static uint64_t hash_service(const QRService *s)
{
    const QREngineModel *m = &s->engine;
    g_autofree char *text = g_strdup_printf(
        "%s %s %u %s %u %u %u %u", s->name, s->origin ? s->origin : "-",
        s->connections_max, m->model ? m->model : "-", m->chunks, m->layers,
        m->chunk_bytes, m->warmup_ms);

    return qr_hash_str(text, 0);
}

/* Sums the hashes, which makes the result independent of the order. */
static uint64_t hash_services(const QRPolicy *p)
{
    GHashTableIter it;
    void *value;
    uint64_t hash = 1;

    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &value))
        hash += hash_service(value);
    return hash;
}

void qr_policy_finalize(QRPolicy *p)
{
    p->services_hash = hash_services(p);
    index_routes(p);
    set_service_gaps(p);
    for (unsigned i = 0; i < p->teams->len; i++) {
        QRPolicyTeam *t = p->teams->pdata[i];

        for (unsigned k = 0; k < t->keys->len; k++)
            g_hash_table_insert(p->keys, t->keys->pdata[k], t);
    }
}

/* Returns the routes of a host, whose name may carry a port, or NULL. */
static const GPtrArray *routes_of_host(const QRPolicy *p, const char *host)
{
    char name[HOST_NAME_BYTES];
    size_t len = strcspn(host, ":");

    if (len >= sizeof(name))
        return NULL;
    for (size_t i = 0; i < len; i++)
        name[i] = g_ascii_tolower(host[i]);
    name[len] = '\0';
    return g_hash_table_lookup(p->hosts, name);
}

const QRPolicyRoute *qr_policy_route(const QRPolicy *p, const char *host,
                                     const char *path)
{
    size_t path_len = strcspn(path, "?#");
    const GPtrArray *list = routes_of_host(p, host);

    for (unsigned i = 0; list && i < list->len; i++) {
        const QRPolicyRoute *r = list->pdata[i];
        size_t n = strlen(r->prefix);

        if (n <= path_len && memcmp(r->prefix, path, n) == 0)
            return r;
    }
    return NULL;
}

/* Removes the names from 'list' that 'allowed' lacks. */
static void intersect_regions(GPtrArray *list, const GPtrArray *allowed)
{
    for (unsigned i = list->len; i > 0; i--) {
        if (!qr_region_is_allowed(allowed, list->pdata[i - 1]))
            g_ptr_array_remove_index(list, i - 1);
    }
}

GPtrArray *qr_policy_host_regions(const QRPolicy *p, const char *host)
{
    const GPtrArray *routes = routes_of_host(p, host);
    GPtrArray *common = NULL;

    for (unsigned i = 0; routes && i < routes->len; i++) {
        const QRPolicyRoute *r = routes->pdata[i];

        if (!r->allowed_regions)
            continue;
        if (common) {
            intersect_regions(common, r->allowed_regions);
            continue;
        }
        common = g_ptr_array_new();
        for (unsigned k = 0; k < r->allowed_regions->len; k++)
            g_ptr_array_add(common, r->allowed_regions->pdata[k]);
    }
    return common;
}

const QRService *qr_policy_service(const QRPolicy *p, const char *name)
{
    return g_hash_table_lookup(p->services, name);
}

const QRPolicyTeam *qr_policy_team(const QRPolicy *p, const char *key)
{
    return g_hash_table_lookup(p->keys, key);
}

const char *qr_route_service(const QRPolicyRoute *r, const char *call_id)
{
    uint64_t total_weight = 0, left;

    for (unsigned i = 0; i < r->shares->len; i++)
        total_weight += g_array_index(r->shares, QRRouteShare, i).weight;
    left = total_weight > 0
               ? qr_hash_str(call_id, r->shares->len) % total_weight
               : 0;
    for (unsigned i = 0; i < r->shares->len; i++) {
        const QRRouteShare *s = &g_array_index(r->shares, QRRouteShare, i);

        if (left < s->weight)
            return s->service;
        left -= s->weight;
    }
    return r->shares->len > 0
               ? g_array_index(r->shares, QRRouteShare, 0).service
               : "";
}

bool qr_route_repeatable(const QRPolicyRoute *r)
{
    return r->kind == QR_ROUTE_SAFE ||
           (r->kind == QR_ROUTE_STREAM && r->resume);
}

const QRService *qr_policy_origin(const QRPolicy *p)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (((QRService *)value)->origin)
            return value;
    }
    return NULL;
}
