/* Fields of a frame; each function counts, packs or reads one field, depending
   on the mode of the codec.

   A value that can't be read sets FAILED and reads as zero, so the caller
   checks for errors once, at the end.  */
#include "inner/frame_fields.h"

#include <string.h>

enum
{
  /* Maximum items of a list.  A decoded list takes a multiple of its size on
     the wire; the limits keep the memory for a malicious frame below that for
     a valid one.  */
  HEADERS_MAX = 256,
  SEGMENTS_MAX = 4096,
  PREFIXES_MAX = 4096,
  HEADER_FIELDS = 2,
  SEGMENT_FIELDS = 3
};

/* Return the next object to read, or NULL if there is none.  */
static const msgpack_object *
next_object (struct wy_field_codec *c)
{
  if (c->failed || c->left == 0)
    {
      c->failed = true;
      return NULL;
    }
  c->left--;
  return c->at++;
}

/* An unsigned 64-bit integer.  */
void
wy_field_u64 (struct wy_field_codec *c, uint64_t *v)
{
  const msgpack_object *o;

  if (c->mode == WY_FIELD_COUNT)
    c->n++;
  else if (c->mode == WY_FIELD_PACK)
    msgpack_pack_uint64 (c->packer, *v);
  else if ((o = next_object (c)))
    {
      c->failed = o->type != MSGPACK_OBJECT_POSITIVE_INTEGER;
      *v = c->failed ? 0 : o->via.u64;
    }
}

/* A signed 64-bit integer.  */
void
wy_field_i64 (struct wy_field_codec *c, int64_t *v)
{
  const msgpack_object *o;

  if (c->mode == WY_FIELD_COUNT)
    c->n++;
  else if (c->mode == WY_FIELD_PACK)
    msgpack_pack_int64 (c->packer, *v);
  else if ((o = next_object (c)))
    {
      if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
        *v = o->via.i64;
      else if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER
               && o->via.u64 <= INT64_MAX)
        *v = (int64_t)o->via.u64;
      else
        c->failed = true;
    }
}

/* An unsigned 32-bit integer.  */
void
wy_field_u32 (struct wy_field_codec *c, uint32_t *v)
{
  uint64_t wide = c->mode == WY_FIELD_PACK ? *v : 0;

  wy_field_u64 (c, &wide);
  if (c->mode != WY_FIELD_READ)
    return;
  c->failed |= wide > UINT32_MAX;
  *v = (uint32_t)wide;
}

/* A signed 32-bit integer.  */
void
wy_field_i32 (struct wy_field_codec *c, int32_t *v)
{
  int64_t wide = c->mode == WY_FIELD_PACK ? *v : 0;

  wy_field_i64 (c, &wide);
  if (c->mode != WY_FIELD_READ)
    return;
  c->failed |= wide > INT32_MAX || wide < INT32_MIN;
  *v = (int32_t)wide;
}

/* A boolean.  */
void
wy_field_bool (struct wy_field_codec *c, bool *v)
{
  const msgpack_object *o;

  if (c->mode == WY_FIELD_COUNT)
    c->n++;
  else if (c->mode == WY_FIELD_PACK)
    *v ? msgpack_pack_true (c->packer) : msgpack_pack_false (c->packer);
  else if ((o = next_object (c)))
    {
      c->failed = o->type != MSGPACK_OBJECT_BOOLEAN;
      *v = !c->failed && o->via.boolean;
    }
}

/* An enum value V from LOW to HIGH.  Returns V, or the value read.  */
uint32_t
wy_field_enum (struct wy_field_codec *c, uint32_t v, uint32_t low,
               uint32_t high)
{
  wy_field_u32 (c, &v);
  if (c->mode == WY_FIELD_READ)
    c->failed |= v < low || v > high;
  return v;
}

/* A byte string.  */
void
wy_field_bytes (struct wy_field_codec *c, struct wy_bytes *b)
{
  const msgpack_object *o;

  if (c->mode == WY_FIELD_COUNT)
    c->n++;
  else if (c->mode == WY_FIELD_PACK)
    {
      msgpack_pack_bin (c->packer, b->n);
      msgpack_pack_bin_body (c->packer, b->n ? b->p : "", b->n);
    }
  else if ((o = next_object (c)))
    {
      c->failed = o->type != MSGPACK_OBJECT_BIN;
      b->p = c->failed ? "" : o->via.bin.ptr;
      b->n = c->failed ? 0 : o->via.bin.size;
    }
}

/* An identifier or name.  Names are copied into tables and timelines, so one
   that is too long or contains a NUL is rejected here.  */
void
wy_field_name (struct wy_field_codec *c, struct wy_bytes *b)
{
  wy_field_bytes (c, b);
  if (c->mode == WY_FIELD_READ)
    c->failed |= b->n > WY_NAME_SIZE_LIMIT_BYTES
                 || (b->n && memchr (b->p, '\0', b->n));
}

/* Read the header of a list whose items have FIELDS values each.  Stores the
   number of items in N, at most N_MAX, and returns memory for them, ITEM_SIZE
   bytes each.  INNER is set to read the values of the list; C continues after
   it.  */
static void *
read_list (struct wy_field_codec *c, struct wy_field_codec *inner, uint32_t *n,
           uint32_t fields, uint32_t n_max, size_t item_size)
{
  const msgpack_object *o = next_object (c);
  void *items;

  *n = 0;
  *inner = *c;
  if (!o || o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size % fields
      || o->via.array.size / fields > n_max)
    {
      c->failed = true;
      return NULL;
    }
  inner->at = o->via.array.ptr;
  inner->left = o->via.array.size;
  if (o->via.array.size == 0)
    return NULL;
  items
      = msgpack_zone_malloc (c->zone, o->via.array.size / fields * item_size);
  if (!items)
    {
      c->failed = true;
      return NULL;
    }
  *n = o->via.array.size / fields;
  return items;
}

/* A list of HTTP headers.  */
void
wy_field_headers (struct wy_field_codec *c,
                  const struct wy_header_pair **pairs, uint32_t *n)
{
  struct wy_header_pair *read;
  struct wy_field_codec inner;

  if (c->mode == WY_FIELD_COUNT)
    {
      c->n++;
      return;
    }
  if (c->mode == WY_FIELD_PACK)
    {
      msgpack_pack_array (c->packer, (size_t)*n * HEADER_FIELDS);
      for (uint32_t i = 0; i < *n; i++)
        {
          struct wy_header_pair pair = (*pairs)[i];
          wy_field_bytes (c, &pair.name);
          wy_field_bytes (c, &pair.value);
        }
      return;
    }
  read = read_list (c, &inner, n, HEADER_FIELDS, HEADERS_MAX, sizeof *read);
  for (uint32_t i = 0; i < *n; i++)
    {
      wy_field_bytes (&inner, &read[i].name);
      wy_field_bytes (&inner, &read[i].value);
    }
  c->failed |= inner.failed;
  *pairs = read;
}

static void
segment_fields (struct wy_field_codec *c, struct wy_segment *s)
{
  wy_field_i64 (c, &s->version);
  wy_field_u32 (c, &s->from);
  wy_field_u32 (c, &s->to);
}

/* A list of segments of weight versions.  */
void
wy_field_segments (struct wy_field_codec *c,
                   const struct wy_segment **segments, uint32_t *n)
{
  struct wy_segment *read;
  struct wy_field_codec inner;

  if (c->mode == WY_FIELD_COUNT)
    {
      c->n++;
      return;
    }
  if (c->mode == WY_FIELD_PACK)
    {
      msgpack_pack_array (c->packer, (size_t)*n * SEGMENT_FIELDS);
      for (uint32_t i = 0; i < *n; i++)
        {
          struct wy_segment s = (*segments)[i];
          segment_fields (c, &s);
        }
      return;
    }
  read = read_list (c, &inner, n, SEGMENT_FIELDS, SEGMENTS_MAX, sizeof *read);
  for (uint32_t i = 0; i < *n; i++)
    segment_fields (&inner, &read[i]);
  c->failed |= inner.failed;
  *segments = read;
}

/* A list of hashes of prompt prefixes.  */
void
wy_field_prefixes (struct wy_field_codec *c, const uint64_t **prefixes,
                   uint32_t *n)
{
  uint64_t *read;
  struct wy_field_codec inner;

  if (c->mode == WY_FIELD_COUNT)
    {
      c->n++;
      return;
    }
  if (c->mode == WY_FIELD_PACK)
    {
      msgpack_pack_array (c->packer, *n);
      for (uint32_t i = 0; i < *n; i++)
        msgpack_pack_uint64 (c->packer, (*prefixes)[i]);
      return;
    }
  read = read_list (c, &inner, n, 1, PREFIXES_MAX, sizeof *read);
  for (uint32_t i = 0; i < *n; i++)
    wy_field_u64 (&inner, &read[i]);
  c->failed |= inner.failed;
  *prefixes = read;
}
