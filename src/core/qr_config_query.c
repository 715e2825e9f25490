/*
 * What is asked of the configuration.
 */
#include "qr_config.h"

#include <string.h>

QRIntent *qr_config_intent(const QRConfig *c, const char *name)
{
    for (unsigned i = 0; i < c->intents->len; i++) {
        QRIntent *in = c->intents->pdata[i];

        if (strcmp(in->name, name) == 0)
            return in;
    }
    return NULL;
}

QRIntent *qr_config_intent_of_host(const QRConfig *c, const char *host)
{
    for (unsigned i = 0; i < c->intents->len; i++) {
        if (qr_intent_has_host(c->intents->pdata[i], host))
            return c->intents->pdata[i];
    }
    return NULL;
}

QRIntent *qr_config_intent_of_service(const QRConfig *c, const char *service)
{
    for (unsigned i = 0; i < c->intents->len; i++) {
        QRIntent *in = c->intents->pdata[i];

        if (strcmp(in->service, service) == 0)
            return in;
    }
    return NULL;
}

const QRApplied *qr_config_applied(const QRConfig *c, const char *id)
{
    for (unsigned i = c->applied->len; i-- > 0;) {
        const QRApplied *a = c->applied->pdata[i];

        if (strcmp(a->id, id) == 0)
            return a;
    }
    return NULL;
}

QRMember *qr_config_member(const QRConfig *c, const char *incarnation)
{
    for (unsigned i = c->members->len; i-- > 0;) {
        QRMember *m = c->members->pdata[i];

        if (strcmp(m->incarnation, incarnation) == 0)
            return m;
    }
    return NULL;
}

QRMember *qr_config_member_of_host(const QRConfig *c, const char *host)
{
    return g_hash_table_lookup(c->current, host);
}

bool qr_member_at(const QRMember *m, uint64_t revision)
{
    return m->registered <= revision &&
           (m->retired == 0 || m->retired > revision);
}

const QRMember *qr_config_home(const QRConfig *c, const char *service,
                               const char *key, uint64_t revision)
{
    const QRMember *best = NULL;
    uint64_t best_weight = 0;

    if (revision > c->revision || revision < c->history_from)
        return NULL;
    for (unsigned i = 0; i < c->members->len; i++) {
        const QRMember *m = c->members->pdata[i];
        uint64_t w;

        if (strcmp(m->service, service) != 0 || !qr_member_at(m, revision))
            continue;
        w = qr_rendezvous(key, m->incarnation);
        if (!best || w > best_weight) {
            best = m;
            best_weight = w;
        }
    }
    return best;
}
