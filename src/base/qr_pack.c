/*
 * zlib compression of long texts sent between the project's own processes.
 */
#include "qr_pack.h"

#include <zlib.h>

#define COMPRESSION_LEVEL 1 /* processor time costs more than bytes */

GBytes *qr_pack(GBytes *plain)
{
    gsize len;
    const void *data = g_bytes_get_data(plain, &len);
    uLongf packed_len = compressBound(len);
    guint8 *packed = g_malloc(packed_len);

    if (compress2(packed, &packed_len, data, len, COMPRESSION_LEVEL) != Z_OK) {
        g_free(packed);
        return NULL;
    }
    return g_bytes_new_take(g_realloc(packed, packed_len), packed_len);
}

GBytes *qr_unpack(const void *data, size_t len, size_t size)
{
    uLongf plain_len = size;
    guint8 *plain;

    if (size > QR_PACK_MOST_BYTES)
        return NULL;
    plain = g_malloc(size + 1);
    if (uncompress(plain, &plain_len, data, len) != Z_OK || plain_len != size) {
        g_free(plain);
        return NULL;
    }
    return g_bytes_new_take(plain, size);
}
