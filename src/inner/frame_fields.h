/* Fields of a frame, counted, packed or read; private to src/inner.  */
#ifndef WY_INNER_FRAME_FIELDS_H
#define WY_INNER_FRAME_FIELDS_H

#include <msgpack.h>

#include "inner/frame.h"

enum wy_field_mode
{
  WY_FIELD_COUNT,
  WY_FIELD_PACK,
  WY_FIELD_READ
};

struct wy_field_codec
{
  enum wy_field_mode mode;
  uint32_t n; /* number of fields counted */
  msgpack_packer *packer;
  const msgpack_object *at;
  uint32_t left;
  bool failed;
  msgpack_zone *zone; /* memory for lists that are read */
};

void wy_field_u64 (struct wy_field_codec *c, uint64_t *v);
void wy_field_i64 (struct wy_field_codec *c, int64_t *v);
void wy_field_u32 (struct wy_field_codec *c, uint32_t *v);
void wy_field_i32 (struct wy_field_codec *c, int32_t *v);
void wy_field_bool (struct wy_field_codec *c, bool *v);
uint32_t wy_field_enum (struct wy_field_codec *c, uint32_t v, uint32_t low,
                        uint32_t high);
void wy_field_bytes (struct wy_field_codec *c, struct wy_bytes *b);
void wy_field_name (struct wy_field_codec *c, struct wy_bytes *b);
void wy_field_headers (struct wy_field_codec *c,
                       const struct wy_header_pair **pairs, uint32_t *n);
void wy_field_segments (struct wy_field_codec *c,
                        const struct wy_segment **segments, uint32_t *n);
void wy_field_prefixes (struct wy_field_codec *c, const uint64_t **prefixes,
                        uint32_t *n);

#endif
