/* Detection of requests that crash targets, shared by all entries.

   The caller of such a request retries it, at any entry.  Crashes that one
   entry observes are therefore written to the table service, one row per
   fingerprint and entry, and read by the others.  While the store is down each
   entry still blocks by its own observations.  */
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
format_fingerprint (uint64_t fingerprint, char out[FINGERPRINT_SIZE_BYTES])
{
  g_snprintf (out, FINGERPRINT_SIZE_BYTES, "%016" PRIx64, fingerprint);
}

static enum wy_suspicion
check_suspicion (struct wy_entry *e, uint64_t fingerprint)
{
  if (fingerprint == 0)
    return WY_SUSPICION_NONE;
  return wy_suspects_check (&e->suspects, fingerprint,
                            wy_clock_mono_ms (e->clock));
}

/* Whether R must be rejected because it crashed targets.  Sets whether R has
   to run isolated.  */
bool
wy_suspect_must_reject (struct wy_request *r)
{
  switch (check_suspicion (r->entry, r->fingerprint))
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
publish_change (struct wy_entry *e, uint64_t fingerprint)
{
  if (e->suspect_rows)
    wy_suspect_rows_changed (e->suspect_rows, fingerprint);
}

/* Target P crashed while R ran on it.  */
void
wy_suspect_record_crash (struct wy_request *r, struct wy_peer *p)
{
  struct wy_entry *e = r->entry;
  char text[FINGERPRINT_SIZE_BYTES];
  enum wy_suspicion before = check_suspicion (e, r->fingerprint);
  enum wy_suspicion after;

  if (r->fingerprint == 0)
    return;
  wy_suspects_record_crash (
      &e->suspects, r->fingerprint, wy_hash64 (p->id, strlen (p->id), 0),
      p->has_load ? p->load.running : 0, wy_clock_mono_ms (e->clock));
  after = check_suspicion (e, r->fingerprint);
  format_fingerprint (r->fingerprint, text);
  if (before == WY_SUSPICION_NONE)
    wy_trace_event (e->trace, "suspect.marked", "{s:s}", "fingerprint", text);
  if (before != WY_SUSPICION_REFUSE && after == WY_SUSPICION_REFUSE)
    wy_trace_event (e->trace, "suspect.blocked", "{s:s}", "fingerprint", text);
  wy_log (WY_LOG_WARN, "suspect", "fingerprint=%s target=%s req=%s", text,
          p->id, r->id);
  publish_change (e, r->fingerprint);
}

/* R completed: clear it if it was suspect.  */
void
wy_suspect_clear (struct wy_request *r)
{
  if (!r->suspect)
    return;
  wy_suspects_clear (&r->entry->suspects, r->fingerprint);
  publish_change (r->entry, r->fingerprint);
}

/* Respond to EX with the blocked and the suspect fingerprints.  */
void
wy_suspect_list_http (struct wy_entry *e, struct wy_http_exchange *ex)
{
  json_t *list = json_array ();
  json_t *j = json_pack ("{s:o}", "blocks", list);
  char text[FINGERPRINT_SIZE_BYTES];
  char *body;

  for (uint32_t i = 0; i < WY_SUSPECTS_MAX; i++)
    {
      const struct wy_suspect *s = &e->suspects.slot[i];
      enum wy_suspicion what = check_suspicion (e, s->fingerprint);

      if (what == WY_SUSPICION_NONE)
        continue;
      format_fingerprint (s->fingerprint, text);
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

/* An operator unblocks FINGERPRINT (hexadecimal); respond to EX.  */
void
wy_suspect_lift_http (struct wy_entry *e, struct wy_http_exchange *ex,
                      const char *fingerprint)
{
  char text[FINGERPRINT_SIZE_BYTES];
  uint64_t f = strtoull (fingerprint, NULL, 16);
  struct wy_problem missing = { .reason = WY_REASON_NOT_FOUND };

  if (check_suspicion (e, f) == WY_SUSPICION_NONE)
    {
      wy_problem_send (ex, &missing);
      return;
    }
  format_fingerprint (f, text);
  wy_suspects_clear (&e->suspects, f);
  wy_trace_event (e->trace, "suspect.lifted", "{s:s}", "fingerprint", text);
  unblock_at_agents (e, f);
  publish_change (e, f);
  wy_http_respond (ex, 204, NULL, "", 0);
}
