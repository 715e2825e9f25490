/*
 * Places in the records of the store. When the store comes back without its
 * last records, offsets are given out again: then its epoch has risen, and what
 * has the greater epoch is the later one, whatever the offsets.
 */
#ifndef QR_POSITION_H
#define QR_POSITION_H

#include "base/qr_base.h"

typedef struct QRPosition {
    uint64_t epoch; /* 0: the store named none */
    uint64_t offset;
} QRPosition;

/* For log lines: the format, and its arguments. */
#define QR_POSITION_FORMAT                                                     \
    "epoch=%" G_GUINT64_FORMAT " offset=%" G_GUINT64_FORMAT
#define QR_POSITION_ARGS(p) (p).epoch, (p).offset

/* Negative if 'a' is the earlier one, 0 if they are the same. */
static inline int qr_position_cmp(QRPosition a, QRPosition b)
{
    if (a.epoch != b.epoch)
        return a.epoch < b.epoch ? -1 : 1;
    return a.offset < b.offset ? -1 : a.offset > b.offset;
}

static inline QRPosition qr_position_max(QRPosition a, QRPosition b)
{
    return qr_position_cmp(a, b) < 0 ? b : a;
}

/* Before anything was read. */
static inline bool qr_position_is_none(QRPosition p)
{
    return p.epoch == 0 && p.offset == 0;
}

static inline QRPosition qr_position_after(QRPosition p)
{
    return (QRPosition){p.epoch, p.offset + 1};
}

/* Of the record before; of the first one that one itself. */
static inline QRPosition qr_position_before(QRPosition p)
{
    return (QRPosition){p.epoch, p.offset - MIN(p.offset, 1)};
}

/* Processes of earlier builds tell offsets alone: of the epoch that we know. */
static inline QRPosition qr_position_told(uint64_t epoch, uint64_t offset,
                                          uint64_t own_epoch)
{
    return (QRPosition){epoch > 0 ? epoch : own_epoch, offset};
}

#endif
