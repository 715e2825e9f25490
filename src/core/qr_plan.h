/*
 * Plans: what a change of intents would do, step by step.
 */
#ifndef QR_PLAN_H
#define QR_PLAN_H

#include "qr_config.h"

/*
 * Answers a declaration {"intents": [...], "remove": [...]} with a plan: the
 * change to confirm, and for each intent hosts, sources, waves and the
 * capacity each team is left with. NULL and findings if it cannot be done.
 * 'id' names the change.
 */
json_object *qr_plan_make(const QRConfig *c, json_object *declaration,
                          const char *id, QRFindings *f);
/*
 * The log record that a plan confirms, or NULL with the error set. The
 * caller frees it.
 */
char *qr_plan_record(json_object *plan, char **id, GError **err);

#endif
