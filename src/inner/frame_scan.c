/* Validates the structure of a frame before it is unpacked.

   msgpack-c allocates an array by the length that its header claims, before
   reading the elements, so nine bytes could make it allocate gigabytes.  This
   scan accepts only what frames consist of: integers, booleans and byte
   strings in one array with one level of lists, whose claimed lengths fit into
   the available bytes.  */
#include "inner/frame_scan.h"

#include <stdint.h>

enum
{
  /* Elements of all levels together; the longest valid frame is an END with a
     full list of segments.  */
  OBJECTS_MAX = 16384,
  DEPTH_MAX = 2,

  TYPE_FIXINT_LAST = 0x7f,
  TYPE_FIXARRAY = 0x90,
  TYPE_FIXARRAY_LAST = 0x9f,
  TYPE_FALSE = 0xc2,
  TYPE_TRUE = 0xc3,
  TYPE_BIN8 = 0xc4,
  TYPE_BIN16 = 0xc5,
  TYPE_BIN32 = 0xc6,
  TYPE_UINT8 = 0xcc,
  TYPE_UINT16 = 0xcd,
  TYPE_UINT32 = 0xce,
  TYPE_UINT64 = 0xcf,
  TYPE_INT8 = 0xd0,
  TYPE_INT16 = 0xd1,
  TYPE_INT32 = 0xd2,
  TYPE_INT64 = 0xd3,
  TYPE_ARRAY16 = 0xdc,
  TYPE_ARRAY32 = 0xdd,
  TYPE_NEGATIVE = 0xe0
};

struct scan
{
  const uint8_t *p;
  size_t n; /* bytes left */
  uint32_t objects;
};

/* Skip N bytes.  */
static bool
skip (struct scan *s, uint64_t n)
{
  if (n > s->n)
    return false;
  s->p += n;
  s->n -= n;
  return true;
}

/* Read a big-endian length of SIZE bytes.  */
static bool
read_length (struct scan *s, size_t size, uint32_t *out)
{
  uint32_t v = 0;

  if (size > s->n)
    return false;
  for (size_t i = 0; i < size; i++)
    v = v << 8 | s->p[i];
  *out = v;
  return skip (s, size);
}

static bool
skip_binary (struct scan *s, size_t length_size)
{
  uint32_t n;

  return read_length (s, length_size, &n) && skip (s, n);
}

/* Skip a value that isn't an array; its TYPE has been read.  */
static bool
skip_scalar (struct scan *s, uint8_t type)
{
  if (type <= TYPE_FIXINT_LAST || type >= TYPE_NEGATIVE)
    return true;
  switch (type)
    {
    case TYPE_FALSE:
    case TYPE_TRUE:
      return true;
    case TYPE_BIN8:
      return skip_binary (s, 1);
    case TYPE_BIN16:
      return skip_binary (s, 2);
    case TYPE_BIN32:
      return skip_binary (s, 4);
    case TYPE_UINT8:
    case TYPE_INT8:
      return skip (s, 1);
    case TYPE_UINT16:
    case TYPE_INT16:
      return skip (s, 2);
    case TYPE_UINT32:
    case TYPE_INT32:
      return skip (s, 4);
    case TYPE_UINT64:
    case TYPE_INT64:
      return skip (s, 8);
    default:
      return false;
    }
}

/* Read the length of an array whose TYPE has been read.  Returns false if TYPE
   isn't an array or the length is truncated.  */
static bool
array_length (struct scan *s, uint8_t type, uint32_t *out)
{
  if (type >= TYPE_FIXARRAY && type <= TYPE_FIXARRAY_LAST)
    {
      *out = type - TYPE_FIXARRAY;
      return true;
    }
  if (type == TYPE_ARRAY16)
    return read_length (s, 2, out);
  return type == TYPE_ARRAY32 && read_length (s, 4, out);
}

/* Whether the N bytes at P are one array that can be unpacked.  */
bool
wy_frame_scan (const char *p, size_t n)
{
  struct scan s = { (const uint8_t *)p, n, 0 };
  uint32_t left[DEPTH_MAX] = { 0 };
  uint32_t depth = 0;

  do
    {
      uint8_t type;
      uint32_t items;

      if (s.n == 0)
        return false;
      type = *s.p;
      skip (&s, 1);
      if (depth)
        left[depth - 1]--;
      if (array_length (&s, type, &items))
        {
          if (depth == DEPTH_MAX || items > OBJECTS_MAX - s.objects)
            return false;
          s.objects += items;
          left[depth++] = items;
        }
      else if (depth == 0 || !skip_scalar (&s, type))
        return false;
      while (depth && left[depth - 1] == 0)
        depth--;
    }
  while (depth);
  return s.n == 0;
}
