/* Fields of a frame, counted, packed or read by the same call.

   A value that is read but doesn't fit marks the walk as bad and reads as
   zero; the caller looks once, at the end.  */
#include "inner/frame_fields.h"

#include <string.h>

enum
{
  /* Items of one list.  A decoded list takes a multiple of its bytes on the
     wire; the limits keep a hostile frame from costing more memory than an
     honest one.  */
  HEADERS_MAX = 256,
  SEGMENTS_MAX = 4096,
  PREFIXES_MAX = 4096,
  HEADER_FIELDS = 2,
  SEGMENT_FIELDS = 3
};

/* The next object to read, or NULL when there is none.  */
static const msgpack_object *
take (struct wy_walk *w)
{
  if (w->bad || w->left == 0)
    {
      w->bad = true;
      return NULL;
    }
  w->left--;
  return w->at++;
}

/* An unsigned number.  */
void
wy_walk_u64 (struct wy_walk *w, uint64_t *v)
{
  const msgpack_object *o;

  if (w->mode == WY_WALK_COUNT)
    w->n++;
  else if (w->mode == WY_WALK_PACK)
    msgpack_pack_uint64 (w->packer, *v);
  else if ((o = take (w)))
    {
      w->bad = o->type != MSGPACK_OBJECT_POSITIVE_INTEGER;
      *v = w->bad ? 0 : o->via.u64;
    }
}

/* A signed number.  */
void
wy_walk_i64 (struct wy_walk *w, int64_t *v)
{
  const msgpack_object *o;

  if (w->mode == WY_WALK_COUNT)
    w->n++;
  else if (w->mode == WY_WALK_PACK)
    msgpack_pack_int64 (w->packer, *v);
  else if ((o = take (w)))
    {
      if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
        *v = o->via.i64;
      else if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER
               && o->via.u64 <= INT64_MAX)
        *v = (int64_t)o->via.u64;
      else
        w->bad = true;
    }
}

/* An unsigned number of 32 bits.  */
void
wy_walk_u32 (struct wy_walk *w, uint32_t *v)
{
  uint64_t wide = w->mode == WY_WALK_PACK ? *v : 0;

  wy_walk_u64 (w, &wide);
  if (w->mode != WY_WALK_READ)
    return;
  w->bad |= wide > UINT32_MAX;
  *v = (uint32_t)wide;
}

/* A signed number of 32 bits.  */
void
wy_walk_i32 (struct wy_walk *w, int32_t *v)
{
  int64_t wide = w->mode == WY_WALK_PACK ? *v : 0;

  wy_walk_i64 (w, &wide);
  if (w->mode != WY_WALK_READ)
    return;
  w->bad |= wide > INT32_MAX || wide < INT32_MIN;
  *v = (int32_t)wide;
}

/* A truth value.  */
void
wy_walk_bool (struct wy_walk *w, bool *v)
{
  const msgpack_object *o;

  if (w->mode == WY_WALK_COUNT)
    w->n++;
  else if (w->mode == WY_WALK_PACK)
    *v ? msgpack_pack_true (w->packer) : msgpack_pack_false (w->packer);
  else if ((o = take (w)))
    {
      w->bad = o->type != MSGPACK_OBJECT_BOOLEAN;
      *v = !w->bad && o->via.boolean;
    }
}

/* A value of an enumeration from LOW to HIGH, through V.  */
uint32_t
wy_walk_choice (struct wy_walk *w, uint32_t v, uint32_t low, uint32_t high)
{
  wy_walk_u32 (w, &v);
  if (w->mode == WY_WALK_READ)
    w->bad |= v < low || v > high;
  return v;
}

/* Any bytes.  */
void
wy_walk_bytes (struct wy_walk *w, struct wy_bytes *b)
{
  const msgpack_object *o;

  if (w->mode == WY_WALK_COUNT)
    w->n++;
  else if (w->mode == WY_WALK_PACK)
    {
      msgpack_pack_bin (w->packer, b->n);
      msgpack_pack_bin_body (w->packer, b->n ? b->p : "", b->n);
    }
  else if ((o = take (w)))
    {
      w->bad = o->type != MSGPACK_OBJECT_BIN;
      b->p = w->bad ? "" : o->via.bin.ptr;
      b->n = w->bad ? 0 : o->via.bin.size;
    }
}

/* An identifier or name.  They are copied into tables and timelines, so a
   long one is refused here.  */
void
wy_walk_name (struct wy_walk *w, struct wy_bytes *b)
{
  wy_walk_bytes (w, b);
  if (w->mode == WY_WALK_READ)
    w->bad |= b->n > WY_NAME_SIZE_LIMIT_BYTES
              || (b->n && memchr (b->p, '\0', b->n));
}

/* Begin a list of N items of FIELDS values each.  When reading, stores the
   number of items in N, returns memory for them of ITEM_SIZE bytes each and
   leaves W at the first value; the caller puts back INNER with
   end_list.  */
static void *
read_list (struct wy_walk *w, struct wy_walk *inner, uint32_t *n,
           uint32_t fields, uint32_t n_max, size_t item_size)
{
  const msgpack_object *o = take (w);
  void *items;

  *n = 0;
  *inner = *w;
  if (!o || o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % fields
      || o->via.array.size / fields > n_max)
    {
      w->bad = true;
      return NULL;
    }
  inner->at = o->via.array.ptr;
  inner->left = o->via.array.size;
  if (o->via.array.size == 0)
    return NULL;
  items
      = msgpack_zone_malloc (w->zone, o->via.array.size / fields * item_size);
  if (!items)
    {
      w->bad = true;
      return NULL;
    }
  *n = o->via.array.size / fields;
  return items;
}

/* A list of HTTP headers.  */
void
wy_walk_headers (struct wy_walk *w, const struct wy_header_pair **pairs,
                 uint32_t *n)
{
  struct wy_header_pair *read;
  struct wy_walk inner;

  if (w->mode == WY_WALK_COUNT)
    {
      w->n++;
      return;
    }
  if (w->mode == WY_WALK_PACK)
    {
      msgpack_pack_array (w->packer, (size_t)*n * HEADER_FIELDS);
      for (uint32_t i = 0; i < *n; i++)
        {
          struct wy_header_pair pair = (*pairs)[i];
          wy_walk_bytes (w, &pair.name);
          wy_walk_bytes (w, &pair.value);
        }
      return;
    }
  read = read_list (w, &inner, n, HEADER_FIELDS, HEADERS_MAX, sizeof *read);
  for (uint32_t i = 0; i < *n; i++)
    {
      wy_walk_bytes (&inner, &read[i].name);
      wy_walk_bytes (&inner, &read[i].value);
    }
  w->bad |= inner.bad;
  *pairs = read;
}

static void
walk_segment (struct wy_walk *w, struct wy_segment *s)
{
  wy_walk_i64 (w, &s->version);
  wy_walk_u32 (w, &s->from);
  wy_walk_u32 (w, &s->to);
}

/* A list of segments of weight versions.  */
void
wy_walk_segments (struct wy_walk *w, const struct wy_segment **segments,
                  uint32_t *n)
{
  struct wy_segment *read;
  struct wy_walk inner;

  if (w->mode == WY_WALK_COUNT)
    {
      w->n++;
      return;
    }
  if (w->mode == WY_WALK_PACK)
    {
      msgpack_pack_array (w->packer, (size_t)*n * SEGMENT_FIELDS);
      for (uint32_t i = 0; i < *n; i++)
        {
          struct wy_segment s = (*segments)[i];
          walk_segment (w, &s);
        }
      return;
    }
  read = read_list (w, &inner, n, SEGMENT_FIELDS, SEGMENTS_MAX, sizeof *read);
  for (uint32_t i = 0; i < *n; i++)
    walk_segment (&inner, &read[i]);
  w->bad |= inner.bad;
  *segments = read;
}

/* A list of hashes of prompt prefixes.  */
void
wy_walk_prefixes (struct wy_walk *w, const uint64_t **prefixes, uint32_t *n)
{
  uint64_t *read;
  struct wy_walk inner;

  if (w->mode == WY_WALK_COUNT)
    {
      w->n++;
      return;
    }
  if (w->mode == WY_WALK_PACK)
    {
      msgpack_pack_array (w->packer, *n);
      for (uint32_t i = 0; i < *n; i++)
        msgpack_pack_uint64 (w->packer, (*prefixes)[i]);
      return;
    }
  read = read_list (w, &inner, n, 1, PREFIXES_MAX, sizeof *read);
  for (uint32_t i = 0; i < *n; i++)
    wy_walk_u64 (&inner, &read[i]);
  w->bad |= inner.bad;
  *prefixes = read;
}
