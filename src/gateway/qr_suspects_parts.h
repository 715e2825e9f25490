/*
 * Shared by the source files of the table of suspects. Not for other files.
 */
#ifndef QR_SUSPECTS_PARTS_H
#define QR_SUSPECTS_PARTS_H

#include "qr_suspects.h"

/* Tries that only the store reported count as well. */
unsigned qr_suspect_count_tries(const QRSuspect *s, uint64_t until_ms,
                                QRRunEnd tries[QR_MAX_RUN_ENDS]);
/* Holds the suspect if the evidence suffices. */
void qr_suspects_evaluate_row(QRSuspects *t, QRSuspect *s, uint64_t now_ms);
/* Whether a suspect that is or was held, other than 'except', was at work at
   this end. */
bool qr_suspects_is_explained(const QRSuspects *t, const QRRunEnd *end,
                              const QRSuspect *except);
/* Removes an end, or all ends, of a held suspect from all suspects that were
   never held. */
void qr_suspects_remove_explained_end(QRSuspects *t, const QRSuspect *held,
                                      const QRRunEnd *end);
void qr_suspects_remove_explained(QRSuspects *t, const QRSuspect *held);

#endif
