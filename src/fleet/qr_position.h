/*
 * Positions of records in the store. A store restored without its latest
 * records assigns their offsets again and raises its epoch. The position with
 * the greater epoch is therefore the later one, whatever the offsets.
 */
#ifndef QR_POSITION_H
#define QR_POSITION_H

#include "base/qr_base.h"

typedef struct QRPosition {
    uint64_t epoch; /* 0: the store reported none */
    uint64_t offset;
} QRPosition;

/* Format and arguments of a position in log lines. */
#define QR_POSITION_FORMAT                                                     \
    "epoch=%" G_GUINT64_FORMAT " offset=%" G_GUINT64_FORMAT
#define QR_POSITION_ARGS(p) (p).epoch, (p).offset

/* Returns a negative number if 'a' is earlier, 0 if both are equal. */
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

/* Whether 'p' is the position of a process that has read nothing. */
static inline bool qr_position_is_none(QRPosition p)
{
    return p.epoch == 0 && p.offset == 0;
}

static inline QRPosition qr_position_after(QRPosition p)
{
    return (QRPosition){p.epoch, p.offset + 1};
}

/* Position of the preceding record; the first record yields its own. */
static inline QRPosition qr_position_before(QRPosition p)
{
    return (QRPosition){p.epoch, p.offset - MIN(p.offset, 1)};
}

/* Peers of earlier builds send offsets without an epoch (0). The receiver's own
   epoch is assumed for them. */
static inline QRPosition qr_position_from_peer(uint64_t epoch, uint64_t offset,
                                               uint64_t known_epoch)
{
    return (QRPosition){epoch > 0 ? epoch : known_epoch, offset};
}

#endif
