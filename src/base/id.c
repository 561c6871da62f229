/* UUIDv7 identifiers and a 64-bit hash.  */
#include "base/id.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/rand.h>
#include <xxhash.h>

enum
{
  UUID_SIZE_BYTES = 16,
  UUID_TIME_SIZE_BYTES = 6,
  UUID_TIME_BITS = 48,
  UUID_VERSION_POS = 14
};

/* Write a new UUIDv7 with the wall-clock time of CLOCK to OUT.  Aborts if no
   random bytes are available, since with a repeated identifier two requests
   would be taken for one.  */
void
wy_id_new (const struct wy_clock *clock, char out[WY_ID_SIZE_BYTES])
{
  unsigned char b[UUID_SIZE_BYTES];
  uint64_t ms = (uint64_t)wy_clock_wall_ms (clock);

  if (RAND_bytes (b, sizeof b) != 1)
    abort ();
  for (int i = 0; i < UUID_TIME_SIZE_BYTES; i++)
    b[i] = (unsigned char)(ms >> (UUID_TIME_BITS - 8 - 8 * i));
  b[6] = (b[6] & 0x0f) | 0x70;
  b[8] = (b[8] & 0x3f) | 0x80;
  snprintf (out, WY_ID_SIZE_BYTES,
            "%02x%02x%02x%02x-%02x%02x-%02x%02x-%02x%02x-"
            "%02x%02x%02x%02x%02x%02x",
            b[0], b[1], b[2], b[3], b[4], b[5], b[6], b[7], b[8], b[9], b[10],
            b[11], b[12], b[13], b[14], b[15]);
}

/* Store the issue time of ID in OUT_MS.  False if ID is not a UUIDv7.  */
bool
wy_id_issue_time_ms (const char *id, int64_t *out_ms)
{
  int64_t ms = 0;

  if (strlen (id) != WY_ID_LEN || id[UUID_VERSION_POS] != '7')
    return false;
  for (int i = 0; i < WY_ID_LEN; i++)
    {
      bool dash = i == 8 || i == 13 || i == 18 || i == 23;
      if (dash ? id[i] != '-' : !isxdigit ((unsigned char)id[i]))
        return false;
    }
  for (int i = 0; i < 13; i++)
    {
      if (id[i] == '-')
        continue;
      int c = tolower ((unsigned char)id[i]);
      ms = ms * 16 + (c <= '9' ? c - '0' : c - 'a' + 10);
    }
  *out_ms = ms;
  return true;
}

/* 64-bit hash of the N bytes at P.  It must be the same in every process.  */
uint64_t
wy_hash64 (const void *p, uint64_t n, uint64_t seed)
{
  return XXH64 (p, n, seed);
}
