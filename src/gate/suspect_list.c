/* Requests suspected of crashing replicas, as entries exchange them.

   A caller may send such a request to any entry, so all entries need the list.
   It is part of the entry's row in the directory, which all entries watch, and
   is written when it changes.  */
#include "gate/suspect_list.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

enum
{
  /* Suspects in one list.  Each takes about 60 bytes of a row that every entry
     reads.  */
  SUSPECTS_SENT_MAX = 16,
  /* The same for an entry that has started.  */
  SUSPECTS_ALL_MAX = 512,
  HEX_SIZE_BYTES = 17,
  HEX_BASE = 16
};

/* V as a string in hexadecimal.  */
json_t *
wy_suspect_json_hex (uint64_t v)
{
  char text[HEX_SIZE_BYTES];

  snprintf (text, sizeof text, "%016" PRIx64, v);
  return json_string (text);
}

/* The number in the string J; 0: J is no string.  */
uint64_t
wy_suspect_parse_hex (const json_t *j)
{
  const char *text = json_string_value (j);

  return text ? strtoull (text, NULL, HEX_BASE) : 0;
}

/* Order: the most crashes first, then the newest.  */
static gint
compare (gconstpointer a, gconstpointer b)
{
  const struct wy_suspect *x = *(const struct wy_suspect *const *)a;
  const struct wy_suspect *y = *(const struct wy_suspect *const *)b;

  if (x->crashes != y->crashes)
    return x->crashes > y->crashes ? -1 : 1;
  return (x->seen_ms < y->seen_ms) - (x->seen_ms > y->seen_ms);
}

static json_t *
encode_suspect (const struct wy_suspect *e)
{
  json_t *item = json_array ();

  json_array_append_new (item, wy_suspect_json_hex (e->fingerprint));
  for (uint32_t k = 0; k < e->crashes; k++)
    json_array_append_new (item, wy_suspect_json_hex (e->target[k]));
  return item;
}

/* At most MAX suspects, those of other entries among them only if ALL, as a
   list of [fingerprint, incarnation, ...] with each number in
   hexadecimal.  */
static json_t *
encode_most (struct wy_crash_tracker *w, bool all, guint max, int64_t now_ms)
{
  GPtrArray *found = g_ptr_array_new ();
  json_t *list = json_array ();

  for (uint32_t i = 0; i < WY_SUSPECTS_MAX; i++)
    {
      struct wy_suspect *e = &w->suspects.slot[i];

      if (e->fingerprint && (all || !e->is_remote)
          && wy_suspects_check (&w->suspects, e->fingerprint, now_ms)
                 != WY_SUSPICION_NONE)
        g_ptr_array_add (found, e);
    }
  g_ptr_array_sort (found, compare);
  for (guint i = 0; i < found->len && i < max; i++)
    json_array_append_new (list,
                           encode_suspect (g_ptr_array_index (found, i)));
  g_ptr_array_free (found, TRUE);
  return list;
}

/* The newest suspects that this entry has seen itself.  */
json_t *
wy_suspect_list_encode (struct wy_crash_tracker *w, int64_t now_ms)
{
  return encode_most (w, false, SUSPECTS_SENT_MAX, now_ms);
}

/* All suspects that this entry knows, for one that has started.  */
json_t *
wy_suspect_list_encode_all (struct wy_crash_tracker *w, int64_t now_ms)
{
  return encode_most (w, true, SUSPECTS_ALL_MAX, now_ms);
}

/* A list of the suspect with FINGERPRINT; empty if it is not suspect.  */
json_t *
wy_suspect_list_encode_one (struct wy_crash_tracker *w, uint64_t fingerprint,
                            int64_t now_ms)
{
  json_t *list = json_array ();

  if (wy_suspects_check (&w->suspects, fingerprint, now_ms)
      == WY_SUSPICION_NONE)
    return list;
  for (uint32_t i = 0; i < WY_SUSPECTS_MAX; i++)
    if (w->suspects.slot[i].fingerprint == fingerprint)
      json_array_append_new (list, encode_suspect (&w->suspects.slot[i]));
  return list;
}

static struct wy_suspect
parse_suspect (const json_t *item)
{
  struct wy_suspect s
      = { .fingerprint = wy_suspect_parse_hex (json_array_get (item, 0)) };

  for (size_t k = 1;
       k < json_array_size (item) && s.crashes < WY_SUSPECT_CRASHES_MAX; k++)
    {
      uint64_t target = wy_suspect_parse_hex (json_array_get (item, k));

      if (target)
        s.target[s.crashes++] = target;
    }
  return s;
}

/* The suspects of LIST, which another entry has sent, under which more targets
   have crashed than it knows.  */
json_t *
wy_suspect_list_encode_unknown (struct wy_crash_tracker *w, const json_t *list,
                                int64_t now_ms)
{
  json_t *unknown = json_array ();

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      struct wy_suspect s = parse_suspect (json_array_get (list, i));
      json_t *own;

      if (wy_suspects_crashes (&w->suspects, s.fingerprint, now_ms)
          <= s.crashes)
        continue;
      own = wy_suspect_list_encode_one (w, s.fingerprint, now_ms);
      json_array_extend (unknown, own);
      json_decref (own);
    }
  return unknown;
}

/* Report that W has heard of S, after CRASHES had been known of it.  Returns
   whether this blocks the request.  */
static bool
report_heard (struct wy_crash_tracker *w, const struct wy_suspect *s,
              uint32_t crashes, int64_t now_ms)
{
  struct wy_crash_event ev = {
    .fingerprint = s->fingerprint,
    .is_remote = true,
    .crashes = wy_suspects_crashes (&w->suspects, s->fingerprint, now_ms),
    .is_blocked = wy_crash_tracker_is_blocked (w, s->fingerprint, now_ms)
  };

  if (ev.crashes > crashes)
    wy_crash_tracker_report (w, &ev);
  return ev.is_blocked;
}

/* Merge the LIST in the directory row of another entry into W.  LIST may be
   NULL; invalid elements are ignored.  Returns the number of requests that
   this blocks.  */
uint32_t
wy_suspect_list_merge (struct wy_crash_tracker *w, const json_t *list,
                       int64_t now_ms)
{
  uint32_t blocked = 0;

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      struct wy_suspect s = parse_suspect (json_array_get (list, i));
      uint32_t known
          = wy_suspects_crashes (&w->suspects, s.fingerprint, now_ms);
      bool was_blocked
          = wy_crash_tracker_is_blocked (w, s.fingerprint, now_ms);

      if (s.fingerprint == 0)
        continue;
      if (!was_blocked)
        wy_suspects_merge (&w->suspects, &s, now_ms);
      wy_suspects_stored (&w->suspects, &s, now_ms);
      if (!was_blocked)
        blocked += report_heard (w, &s, known, now_ms);
    }
  return blocked;
}

/* Merge the LIST that another entry has sent directly into W.  LIST may be
   NULL; invalid elements are ignored.  Returns whether anything in it is
   new.  */
bool
wy_suspect_list_hear (struct wy_crash_tracker *w, const json_t *list,
                      int64_t now_ms)
{
  bool is_new = false;

  for (size_t i = 0; i < json_array_size (list); i++)
    {
      struct wy_suspect s = parse_suspect (json_array_get (list, i));
      uint32_t known
          = wy_suspects_crashes (&w->suspects, s.fingerprint, now_ms);

      if (s.fingerprint == 0 || !wy_suspects_hear (&w->suspects, &s, now_ms))
        continue;
      is_new = true;
      report_heard (w, &s, known, now_ms);
    }
  return is_new;
}

/* Merge the LIST of an entry that is gone into W, and send it on in the list
   of this entry from now on.  LIST may be NULL.  */
void
wy_suspect_list_adopt (struct wy_crash_tracker *w, const json_t *list,
                       int64_t now_ms)
{
  wy_suspect_list_merge (w, list, now_ms);
  for (size_t i = 0; i < json_array_size (list); i++)
    wy_suspects_adopt (&w->suspects,
                       parse_suspect (json_array_get (list, i)).fingerprint,
                       now_ms);
}
