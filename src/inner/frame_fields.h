/* Walk over the fields of a frame; inside the package only.  */
#ifndef WY_INNER_FRAME_FIELDS_H
#define WY_INNER_FRAME_FIELDS_H

#include <msgpack.h>

#include "inner/frame.h"

enum wy_walk_mode
{
  WY_WALK_COUNT,
  WY_WALK_PACK,
  WY_WALK_READ
};

struct wy_walk
{
  enum wy_walk_mode mode;
  uint32_t n; /* fields counted */
  msgpack_packer *packer;
  const msgpack_object *at;
  uint32_t left;
  bool bad;
  msgpack_zone *zone; /* for lists that are read */
};

void wy_walk_u64 (struct wy_walk *w, uint64_t *v);
void wy_walk_i64 (struct wy_walk *w, int64_t *v);
void wy_walk_u32 (struct wy_walk *w, uint32_t *v);
void wy_walk_i32 (struct wy_walk *w, int32_t *v);
void wy_walk_bool (struct wy_walk *w, bool *v);
uint32_t wy_walk_choice (struct wy_walk *w, uint32_t v, uint32_t low,
                         uint32_t high);
void wy_walk_bytes (struct wy_walk *w, struct wy_bytes *b);
void wy_walk_name (struct wy_walk *w, struct wy_bytes *b);
void wy_walk_headers (struct wy_walk *w, const struct wy_header_pair **pairs,
                      uint32_t *n);
void wy_walk_segments (struct wy_walk *w, const struct wy_segment **segments,
                       uint32_t *n);
void wy_walk_prefixes (struct wy_walk *w, const uint64_t **prefixes,
                       uint32_t *n);

#endif
