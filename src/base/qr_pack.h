/*
 * zlib compression of long texts sent between the project's own processes.
 */
#ifndef QR_PACK_H
#define QR_PACK_H

#include <glib.h>

/* Shorter texts are sent uncompressed: compression would save little. */
#define QR_PACK_LEAST_BYTES 4096
/* Largest size that is unpacked; above any record that the store accepts. */
#define QR_PACK_MOST_BYTES (8u << 20)

/* Returns a new buffer, or NULL if compression fails. */
GBytes *qr_pack(GBytes *plain);
/* 'size' is the uncompressed size in bytes. Returns NULL if 'data' does not
   unpack to exactly 'size' bytes, or 'size' is above QR_PACK_MOST_BYTES. */
GBytes *qr_unpack(const void *data, size_t len, size_t size);

#endif
