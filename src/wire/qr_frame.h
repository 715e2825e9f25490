/*
 * Frames between our own processes: a length of four bytes, network order,
 * then one packed Frame message.
 */
#ifndef QR_FRAME_H
#define QR_FRAME_H

#include "base/qr_base.h"
#include "wire/quayring.pb-c.h"

#define QR_FRAME_HEAD 4
#define QR_FRAME_MAX (8u << 20) /* a snapshot at the size of two years */

/* 'frame' with its length before it. */
GBytes *qr_frame_pack(const Qr__Frame *frame);

/*
 * Takes one frame from the front of 'buf'. Returns 1 and sets 'frame' (to be
 * freed with qr__frame__free_unpacked()), 0 if more bytes are needed, or -1
 * with the error set if the bytes are no frame. 'used' tells how many bytes
 * it took.
 */
int qr_frame_take(const uint8_t *buf, size_t len, size_t *used,
                  Qr__Frame **frame, GError **err);

#endif
