/* Requests that crash replicas, as entries tell them to each other.

   Whoever sends such a request sends it to any entry.  The list is part of the
   entry's row in the directory, which all of them follow, and is written when
   it changes.  */
#include "gate/suspect_list.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  /* Suspects told at a time, those proven by most crashes first: about 60
     bytes each in a row that every entry reads.  */
  TOLD_MAX = 8,
  HEX_SIZE_BYTES = 17,
  HEX_BASE = 16
};

static json_t *
hex (uint64_t v)
{
  char text[HEX_SIZE_BYTES];

  snprintf (text, sizeof text, "%016" PRIx64, v);
  return json_string (text);
}

static uint64_t
unhex (const json_t *j)
{
  const char *text = json_string_value (j);

  return text ? strtoull (text, NULL, HEX_BASE) : 0;
}

static void
add_proven_by (struct wy_suspects *s, uint32_t crashes, int64_t now_ms,
               json_t *list)
{
  for (uint32_t i = 0;
       i < WY_SUSPECTS_MAX && json_array_size (list) < TOLD_MAX; i++)
    {
      const struct wy_suspect *e = &s->slot[i];
      json_t *one;

      if (e->fingerprint == 0 || e->is_remote || e->crashes != crashes
          || wy_suspects_check (s, e->fingerprint, now_ms)
                 == WY_SUSPICION_NONE)
        continue;
      one = json_array ();
      json_array_append_new (one, hex (e->fingerprint));
      for (uint32_t k = 0; k < e->crashes; k++)
        json_array_append_new (one, hex (e->target[k]));
      json_array_append_new (list, one);
    }
}

/* What this entry has seen itself: a list of [fingerprint, target, ...].  */
json_t *
wy_crash_rows_encode (struct wy_crash_tracker *w, int64_t now_ms)
{
  json_t *list = json_array ();

  for (uint32_t n = WY_SUSPECT_CRASHES_MAX; n > 0; n--)
    add_proven_by (&w->suspects, n, now_ms, list);
  return list;
}

static struct wy_suspect
decode (const json_t *one)
{
  struct wy_suspect s = { .fingerprint = unhex (json_array_get (one, 0)) };

  for (size_t k = 1;
       k < json_array_size (one) && s.crashes < WY_SUSPECT_CRASHES_MAX; k++)
    {
      uint64_t target = unhex (json_array_get (one, k));

      if (target)
        s.target[s.crashes++] = target;
    }
  return s;
}

/* Take in the LIST of another entry; NULL, or what can't be read, is nothing.
   Returns the number of requests that are held back from now on.  */
uint32_t
wy_crash_rows_learn (struct wy_crash_tracker *w, const json_t *list,
                     int64_t now_ms)
{
  uint32_t held = 0;

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      struct wy_suspect s = decode (json_array_get (list, i));

      if (s.fingerprint == 0
          || wy_crash_tracker_is_blocked (w, s.fingerprint, now_ms))
        continue;
      wy_suspects_merge (&w->suspects, &s, now_ms);
      held += wy_crash_tracker_is_blocked (w, s.fingerprint, now_ms);
    }
  return held;
}
