/*
 * Frames between our own processes.
 */
#include "qr_frame.h"

#include <arpa/inet.h>
#include <string.h>

GBytes *qr_frame_pack(const Qr__Frame *frame)
{
    size_t len = qr__frame__get_packed_size(frame);
    uint8_t *buf = g_malloc(QR_FRAME_HEAD + len);
    uint32_t head = htonl((uint32_t)len);

    memcpy(buf, &head, QR_FRAME_HEAD);
    qr__frame__pack(frame, buf + QR_FRAME_HEAD);
    return g_bytes_new_take(buf, QR_FRAME_HEAD + len); /* 'buf' is freed */
}

int qr_frame_take(const uint8_t *buf, size_t len, size_t *used,
                  Qr__Frame **frame, GError **err)
{
    uint32_t head;

    *used = 0;
    if (len < QR_FRAME_HEAD)
        return 0;
    memcpy(&head, buf, QR_FRAME_HEAD);
    head = ntohl(head);
    if (head > QR_FRAME_MAX) {
        g_set_error(err, QR_ERROR, QR_ERROR_TOO_LARGE,
                    "a frame of %u bytes is over the limit of %u", head,
                    QR_FRAME_MAX);
        return -1;
    }
    if (len < QR_FRAME_HEAD + (size_t)head)
        return 0;
    *frame = qr__frame__unpack(NULL, head, buf + QR_FRAME_HEAD);
    if (!*frame || (*frame)->body_case == QR__FRAME__BODY__NOT_SET) {
        if (*frame)
            qr__frame__free_unpacked(*frame, NULL);
        *frame = NULL;
        g_set_error(err, QR_ERROR, QR_ERROR_BAD_INPUT,
                    "%u bytes that are no frame", head);
        return -1;
    }
    *used = QR_FRAME_HEAD + head;
    return 1;
}
