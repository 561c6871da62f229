/* Invariants on requests: whole-answer, not-run, at-most-once.  */
#include <string.h>

#include "check/invariants.h"

static bool
is_run_response (const struct wy_event *e)
{
  return wy_event_is (e, "request.answered") && *wy_event_text (e, "run");
}

/* The bytes that the entry received of a run are those that the agent sent,
   and the run belongs to the request.  */
static void
verify_response (struct wy_check *c, GHashTable *ends, struct wy_event *e)
{
  GPtrArray *runs = wy_check_lookup (ends, wy_event_text (e, "run"));
  const struct wy_event *end;

  /* An agent killed right after its last frame may not have recorded the end.
     The frame itself carried the digest.  */
  if (!runs)
    return;
  end = runs->pdata[runs->len - 1];
  if (strcmp (wy_event_text (end, "req"), wy_event_text (e, "req")) != 0)
    wy_check_violation (c, "whole-answer", e, end,
                        "request %s got the response to %s",
                        wy_event_text (e, "req"), wy_event_text (end, "req"));
  else if (strcmp (wy_event_text (end, "digest"), wy_event_text (e, "digest"))
           != 0)
    wy_check_violation (c, "whole-answer", e, end,
                        "request %s got other bytes than its run produced",
                        wy_event_text (e, "req"));
}

static bool
sent_matches (const GPtrArray *responses, const char *digest)
{
  for (guint i = 0; i < responses->len; i++)
    if (!strcmp (wy_event_text (responses->pdata[i], "sent"), digest))
      return true;
  return false;
}

/* The response that a caller received is one that an entry recorded as
   sent.  */
static void
verify_received (struct wy_check *c, GHashTable *responses, struct wy_event *e)
{
  int64_t status = wy_event_number (e, "status", 0);
  const char *req = wy_event_text (e, "req");
  GPtrArray *list = wy_check_lookup (responses, req);

  if (status < 200 || status > 299 || !*req)
    return;
  if (!list)
    wy_check_violation (c, "whole-answer", e, NULL,
                        "a caller got a response to %s that no entry sent",
                        req);
  else if (*wy_event_text (e, "digest")
           && !sent_matches (list, wy_event_text (e, "digest")))
    wy_check_violation (c, "whole-answer", e, list->pdata[0],
                        "the caller of %s got other bytes than were sent",
                        req);
}

/* Where entries record no timeline: the response that a caller received was
   produced by a replica for its request, and no replica recorded a request
   that was rejected as not run.  */
static void
verify_replica_record (struct wy_check *c, GHashTable *ran, struct wy_event *e)
{
  int64_t status = wy_event_number (e, "status", 0);
  const char *req = wy_event_text (e, "req");
  const GPtrArray *list = wy_check_lookup (ran, req);
  bool same = false;

  for (guint i = 0; list && i < list->len; i++)
    same = same
           || !strcmp (wy_event_text (list->pdata[i], "digest"),
                       wy_event_text (e, "digest"));
  if (status >= 200 && status <= 299 && !same)
    wy_check_violation (c, "whole-answer", e, list ? list->pdata[0] : NULL,
                        "the caller of %s got a response that no replica "
                        "produced for it",
                        req);
  if (list && !strcmp (wy_event_text (e, "ran"), "no"))
    wy_check_violation (c, "not-run", e, list->pdata[0],
                        "request %s was rejected as not run and ran", req);
}

void
wy_verify_whole_answer (struct wy_check *c)
{
  GHashTable *ends = wy_check_index (c, "run.end", "run");
  GHashTable *responses = wy_check_index (c, "request.answered", "req");
  GHashTable *ran = wy_check_index (c, "replica.ran", "req");
  bool replicas = wy_check_has (c, "replica.ran");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];

      if (is_run_response (e))
        verify_response (c, ends, e);
      else if (wy_event_is (e, "caller.got") && replicas)
        verify_replica_record (c, ran, e);
      else if (wy_event_is (e, "caller.got"))
        verify_received (c, responses, e);
    }
  g_hash_table_destroy (ran);
  g_hash_table_destroy (ends);
  g_hash_table_destroy (responses);
}

/* Whether REQ was received between the timestamps AFTER and BEFORE.  The
   caller has then sent it again, and may do so after it was rejected as not
   run.  */
static bool
received_between (GHashTable *received, const char *req, uint64_t after,
                  uint64_t before)
{
  GPtrArray *list = wy_check_lookup (received, req);

  for (guint i = 0; list && i < list->len; i++)
    {
      const struct wy_event *e = list->pdata[i];
      if (e->hlc > after && e->hlc < before)
        return true;
    }
  return false;
}

/* A request rejected as "not run" had no run before, and has none after unless
   the caller sends it again.  */
void
wy_verify_not_run (struct wy_check *c)
{
  GHashTable *starts = wy_check_index (c, "run.start", "req");
  GHashTable *received = wy_check_index (c, "request.received", "req");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      const char *req = wy_event_text (e, "req");
      GPtrArray *runs;

      if (!wy_event_is (e, "request.refused")
          || strcmp (wy_event_text (e, "ran"), "no") != 0)
        continue;
      runs = wy_check_lookup (starts, req);
      for (guint k = 0; runs && k < runs->len; k++)
        {
          const struct wy_event *s = runs->pdata[k];
          if (s->hlc < e->hlc
              || !received_between (received, req, e->hlc, s->hlc))
            wy_check_violation (c, "not-run", e, s,
                                "request %s was rejected as not run and ran",
                                req);
        }
    }
  g_hash_table_destroy (starts);
  g_hash_table_destroy (received);
}

static bool
is_non_idempotent (const struct wy_event *e)
{
  return json_is_false (json_object_get (e->fields, "idempotent"));
}

/* Checks the runs that agents started and, where a service keeps a record of
   its own, the requests that it executed.  */
void
wy_verify_at_most_once (struct wy_check *c)
{
  GHashTable *first
      = g_hash_table_new (g_str_hash, g_str_equal); /* req -> event */
  GHashTable *executed = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      const char *id = NULL;
      GHashTable *seen = first;

      if (wy_event_is (e, "run.start") && is_non_idempotent (e))
        id = wy_event_text (e, "req");
      if (wy_event_is (e, "service.executed"))
        {
          id = wy_event_text (e, "key");
          seen = executed;
        }
      if (!id || !*id)
        continue;
      if (g_hash_table_contains (seen, id))
        wy_check_violation (c, "at-most-once", g_hash_table_lookup (seen, id),
                            e, "request %s ran twice", id);
      else
        g_hash_table_insert (seen, (char *)id, e);
    }
  g_hash_table_destroy (first);
  g_hash_table_destroy (executed);
}
