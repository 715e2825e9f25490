/*
 * Long texts compressed on their way between our own processes.
 */
#ifndef QR_PACK_H
#define QR_PACK_H

#include <glib.h>

/* Shorter ones are sent as they are: little would be gained. */
#define QR_PACK_LEAST_BYTES 4096
/* The largest that is unpacked: above any record that the store takes. */
#define QR_PACK_MOST_BYTES (8u << 20)

/* NULL if it cannot be compressed. */
GBytes *qr_pack(GBytes *plain);
/* NULL if 'data' is not what qr_pack() made of 'size' bytes. */
GBytes *qr_unpack(const void *data, size_t len, size_t size);

#endif
