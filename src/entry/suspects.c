/* Requests that crash the targets that run them, over all entries.

   The caller of such a request sends it again, to any entry.  What one entry
   saw crash is therefore written to the table service, one row a fingerprint,
   and read by the others with their configuration poll; the writes are as
   rare as crashes.  While the store is down each entry still holds back what
   it saw itself.  */
#include "entry/suspects.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "entry/orderer.h"
#include "entry/peers.h"
#include "entry/problem.h"
#include "entry/request.h"
#include "entry/suspect_rows.h"
#include "trace/log.h"

#define FINGERPRINT_SIZE_BYTES 17

static void
hex (uint64_t fingerprint, char out[FINGERPRINT_SIZE_BYTES])
{
  g_snprintf (out, FINGERPRINT_SIZE_BYTES, "%016" PRIx64, fingerprint);
}

static enum wy_suspicion
check (struct wy_entry *e, uint64_t fingerprint)
{
  if (fingerprint == 0)
    return WY_SUSPICION_NONE;
  return wy_suspects_check (&e->suspects, fingerprint,
                            wy_clock_mono_ms (e->clock));
}

/* Whether R is to be refused because targets crashed under it.  Sets whether
   it has to run alone.  */
bool
wy_suspect_refused (struct wy_request *r)
{
  switch (check (r->entry, r->fingerprint))
    {
    case WY_SUSPICION_NONE:
      r->suspect = false;
      return false;
    case WY_SUSPICION_ISOLATE:
      r->suspect = true;
      return false;
    case WY_SUSPICION_REFUSE:
      break;
    }
  return true;
}

static void
tell_changed (struct wy_entry *e, uint64_t fingerprint)
{
  if (e->suspect_rows)
    wy_suspect_rows_changed (e->suspect_rows, fingerprint);
}

/* Target P crashed while R ran on it.  */
void
wy_suspect_crashed (struct wy_request *r, struct wy_peer *p)
{
  struct wy_entry *e = r->entry;
  char text[FINGERPRINT_SIZE_BYTES];
  enum wy_suspicion before = check (e, r->fingerprint);
  enum wy_suspicion after;

  if (r->fingerprint == 0)
    return;
  wy_suspects_record_crash (
      &e->suspects, r->fingerprint, wy_hash64 (p->id, strlen (p->id), 0),
      p->has_load ? p->load.running : 0, wy_clock_mono_ms (e->clock));
  after = check (e, r->fingerprint);
  hex (r->fingerprint, text);
  if (before == WY_SUSPICION_NONE)
    wy_trace_event (e->trace, "suspect.marked", "{s:s}", "fingerprint", text);
  if (before != WY_SUSPICION_REFUSE && after == WY_SUSPICION_REFUSE)
    wy_trace_event (e->trace, "suspect.blocked", "{s:s}", "fingerprint", text);
  wy_log (WY_LOG_WARN, "suspect", "fingerprint=%s target=%s req=%s", text,
          p->id, r->id);
  tell_changed (e, r->fingerprint);
}

/* R ended in good order.  */
void
wy_suspect_cleared (struct wy_request *r)
{
  if (!r->suspect)
    return;
  wy_suspects_clear (&r->entry->suspects, r->fingerprint);
  tell_changed (r->entry, r->fingerprint);
}

/* Answer EX with the blocked and the suspect fingerprints.  */
void
wy_suspect_list (struct wy_entry *e, struct wy_http_exchange *ex)
{
  json_t *list = json_array ();
  json_t *j = json_pack ("{s:o}", "blocks", list);
  char text[FINGERPRINT_SIZE_BYTES];
  char *body;

  for (uint32_t i = 0; i < WY_SUSPECTS_MAX; i++)
    {
      const struct wy_suspect *s = &e->suspects.slot[i];
      enum wy_suspicion what = check (e, s->fingerprint);

      if (what == WY_SUSPICION_NONE)
        continue;
      hex (s->fingerprint, text);
      json_array_append_new (list,
                             json_pack ("{s:s, s:b, s:i}", "fingerprint", text,
                                        "blocked", what == WY_SUSPICION_REFUSE,
                                        "crashed_targets", (int)s->crashes));
    }
  body = json_dumps (j, JSON_COMPACT);
  wy_http_respond (ex, 200, "application/json", body, strlen (body));
  free (body);
  json_decref (j);
}

static void
unblock_at_agents (struct wy_entry *e, uint64_t fingerprint)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, e->peers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const struct wy_peer *p = value;
      struct wy_order_request o
          = { .target = p->id, .kind = WY_ORDER_UNBLOCK };

      if (p->ready)
        wy_order_send (e, &o, fingerprint, NULL, NULL);
    }
}

/* An operator lifts the block of FINGERPRINT; answer EX.  */
void
wy_suspect_lift (struct wy_entry *e, struct wy_http_exchange *ex,
                 const char *fingerprint)
{
  char text[FINGERPRINT_SIZE_BYTES];
  uint64_t f = strtoull (fingerprint, NULL, 16);
  struct wy_problem missing = { .reason = WY_REASON_NOT_FOUND };

  if (check (e, f) == WY_SUSPICION_NONE)
    {
      wy_problem_send (ex, &missing);
      return;
    }
  hex (f, text);
  wy_suspects_clear (&e->suspects, f);
  wy_trace_event (e->trace, "suspect.lifted", "{s:s}", "fingerprint", text);
  unblock_at_agents (e, f);
  tell_changed (e, f);
  wy_http_respond (ex, 204, NULL, "", 0);
}
