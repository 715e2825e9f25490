/*
 * The gateways and sidecars that this process knows.
 */
#include "qr_members.h"

#include <string.h>

static void member_free(void *row)
{
    QRFleetMember *m = row;

    g_free(m->name);
    g_free(m->role);
    g_free(m->address);
    g_free(m->zone);
    g_free(m->region);
    g_free(m->service_address);
    g_free(m->service);
    g_free(m->model);
    g_free(m);
}

void qr_members_init(QRFleetMembers *m)
{
    m->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, member_free);
}

void qr_members_clear(QRFleetMembers *m)
{
    g_clear_pointer(&m->by_name, g_hash_table_unref);
}

static void replace(char **text, const char *with)
{
    if (g_strcmp0(*text, with) == 0)
        return;
    g_free(*text);
    *text = g_strdup(with);
}

static void member_update(QRFleetMember *m, const Qr__Fleet__Hello *h)
{
    replace(&m->role, h->role);
    replace(&m->address, h->address);
    replace(&m->zone, h->availability_zone);
    replace(&m->region, h->region);
    replace(&m->service_address, h->service_address);
    replace(&m->service, h->service);
    m->incarnation = h->incarnation;
    m->leaving = h->leaving;
}

static bool hello_is_valid(const Qr__Fleet__Hello *h)
{
    return qr_name_ok(h->name) && qr_address_ok(h->address);
}

QRFleetMember *qr_members_hello(QRFleetMembers *m,
                                const Qr__Fleet__Hello *hello, bool direct,
                                uint64_t now_ms)
{
    QRFleetMember *member;
    bool is_new_run;

    if (!hello_is_valid(hello))
        return NULL;
    member = g_hash_table_lookup(m->by_name, hello->name);
    /* a relayed message does not replace what the process itself sent */
    if (member && !direct && member->heard_ms > 0)
        return NULL;
    is_new_run = !member || member->incarnation != hello->incarnation;
    if (!member) {
        member = g_new0(QRFleetMember, 1);
        member->name = g_strdup(hello->name);
        g_hash_table_insert(m->by_name, member->name, member);
    }
    if (is_new_run)
        member->complete_version = 0;
    member_update(member, hello);
    if (direct) {
        member->reserves_slots = hello->reserves_slots;
        member->delegate = hello->delegate;
        qr_members_heard(member, now_ms);
    }
    return is_new_run ? member : NULL;
}

bool qr_members_remove(QRFleetMembers *m, const char *name)
{
    return g_hash_table_remove(m->by_name, name);
}

QRFleetMember *qr_members_get(const QRFleetMembers *m, const char *name)
{
    return g_hash_table_lookup(m->by_name, name);
}

QRFleetMember *qr_members_at(const QRFleetMembers *m, const char *address)
{
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, m->by_name);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        if (strcmp(((QRFleetMember *)value)->address, address) == 0)
            return value;
    }
    return NULL;
}

void qr_members_heard(QRFleetMember *member, uint64_t now_ms)
{
    member->heard_ms = MAX(now_ms, 1);
}

bool qr_member_alive(const QRFleetMember *member, uint64_t lease_ms,
                     uint64_t now_ms)
{
    return member->heard_ms > 0 && now_ms < member->heard_ms + lease_ms;
}

static int by_name(const void *a, const void *b)
{
    return strcmp((*(const QRFleetMember *const *)a)->name,
                  (*(const QRFleetMember *const *)b)->name);
}

GPtrArray *qr_members_of(const QRFleetMembers *m, const char *role,
                         const char *service)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    void *value;

    g_hash_table_iter_init(&it, m->by_name);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        QRFleetMember *member = value;

        if (strcmp(member->role, role) == 0 &&
            (!service || g_strcmp0(member->service, service) == 0))
            g_ptr_array_add(list, member);
    }
    g_ptr_array_sort(list, by_name);
    return list;
}

void qr_member_describe(const QRFleetMember *member, Qr__Fleet__Hello *hello)
{
    qr__fleet__hello__init(hello);
    hello->name = member->name;
    hello->role = member->role;
    hello->address = member->address;
    hello->availability_zone = member->zone;
    hello->region = member->region;
    hello->service_address = member->service_address;
    hello->service = member->service;
    hello->incarnation = member->incarnation;
    hello->leaving = member->leaving;
}
