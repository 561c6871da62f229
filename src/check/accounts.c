/* Invariant "accounts" on the counts of requests and runs: a received request
   ends once, a run was submitted, started and ended once, and a response to a
   caller comes from a run.  */
#include <string.h>

#include "check/incarnations.h"
#include "check/invariants.h"

static const char received_name[] = "request.received";

static bool
is_end (const struct wy_event *e)
{
  return wy_event_is (e, "request.answered")
         || wy_event_is (e, "request.refused")
         || wy_event_is (e, "request.broken")
         || wy_event_is (e, "request.abandoned");
}

/* What one entry recorded of one request id.  The caller may send the request
   again with the same id.  */
struct request_counts
{
  guint received;
  guint ended;
  struct wy_event *last;
};

static struct request_counts *
counts_of (GHashTable *requests, const struct wy_event *e)
{
  char *key = wy_event_incarnation_field (e, "req");
  struct request_counts *counts = g_hash_table_lookup (requests, key);

  if (counts)
    {
      g_free (key);
      return counts;
    }
  counts = g_new0 (struct request_counts, 1);
  g_hash_table_insert (requests, key, counts);
  return counts;
}

/* Each request that an entry received ends exactly once, unless the entry was
   killed first.  */
static void
verify_requests (struct wy_check *c,
                 const struct wy_incarnations *incarnations)
{
  GHashTable *requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter it;
  gpointer p;

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      bool received = wy_event_is (e, received_name);
      struct request_counts *counts;

      if (!received && !is_end (e))
        continue;
      counts = counts_of (requests, e);
      counts->received += received;
      counts->ended += !received;
      counts->last = e;
      if (counts->ended > counts->received)
        wy_check_violation (c, "accounts", e, NULL,
                            "request %s ended more often than it was "
                            "received",
                            wy_event_text (e, "req"));
    }
  g_hash_table_iter_init (&it, requests);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct request_counts *counts = p;

      if (counts->ended < counts->received
          && wy_incarnations_stopped (incarnations, counts->last))
        wy_check_violation (c, "accounts", counts->last, NULL,
                            "request %s never ended",
                            wy_event_text (counts->last, "req"));
    }
  g_hash_table_destroy (requests);
}

static guint
count_events (GHashTable *index, const char *value)
{
  const GPtrArray *list = wy_check_lookup (index, value);

  return list ? list->len : 0;
}

/* A request was submitted to a target at least as often as it ran there.  A
   submission may be rejected or lost, so it need not have a run.  */
static void
verify_submitted (struct wy_check *c)
{
  GHashTable *submitted
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      bool is_start = wy_event_is (e, "run.start");
      char *key;
      gint n;

      if (!is_start && !wy_event_is (e, "request.submitted"))
        continue;
      key = g_strdup_printf ("%s/%s", wy_event_text (e, "req"),
                             wy_event_text (e, "target"));
      n = GPOINTER_TO_INT (g_hash_table_lookup (submitted, key));
      if (is_start && n == 0)
        wy_check_violation (c, "accounts", e, NULL,
                            "request %s ran without a submission",
                            wy_event_text (e, "req"));
      g_hash_table_insert (submitted, key,
                           GINT_TO_POINTER (is_start ? n - 1 : n + 1));
    }
  g_hash_table_destroy (submitted);
}

static void
verify_run_ends (struct wy_check *c,
                 const struct wy_incarnations *incarnations,
                 GHashTable *starts, GHashTable *ends)
{
  GHashTableIter it;
  gpointer run;
  gpointer value;

  g_hash_table_iter_init (&it, starts);
  while (g_hash_table_iter_next (&it, &run, &value))
    {
      const GPtrArray *list = value;
      guint n = count_events (ends, run);

      if (!*(const char *)run)
        continue;
      if (list->len > 1)
        wy_check_violation (c, "accounts", list->pdata[0], list->pdata[1],
                            "run %s started twice", (char *)run);
      if (n == 0 && wy_incarnations_stopped (incarnations, list->pdata[0]))
        wy_check_violation (c, "accounts", list->pdata[0], NULL,
                            "run %s never ended", (char *)run);
    }
  g_hash_table_iter_init (&it, ends);
  while (g_hash_table_iter_next (&it, &run, &value))
    {
      const GPtrArray *list = value;

      if (!*(const char *)run)
        continue;
      if (list->len > 1)
        wy_check_violation (c, "accounts", list->pdata[0], list->pdata[1],
                            "run %s ended twice", (char *)run);
      if (count_events (starts, run) == 0)
        wy_check_violation (c, "accounts", list->pdata[0], NULL,
                            "run %s ended and never started", (char *)run);
    }
}

/* A response names the run that produced it.  The run's agent may have been
   killed before it recorded the end, but not before it recorded the start.  */
static void
verify_responses (struct wy_check *c,
                  const struct wy_incarnations *incarnations,
                  GHashTable *starts, GHashTable *ends)
{
  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      const char *run = wy_event_text (e, "run");
      const GPtrArray *list;

      if (!wy_event_is (e, "request.answered") || !*run
          || count_events (ends, run))
        continue;
      list = wy_check_lookup (starts, run);
      if (!list)
        wy_check_violation (c, "accounts", e, NULL,
                            "the response to request %s names an unknown "
                            "run",
                            wy_event_text (e, "req"));
      else if (wy_incarnations_stopped (incarnations, list->pdata[0]))
        wy_check_violation (c, "accounts", e, list->pdata[0],
                            "the response to request %s comes from a run "
                            "that never ended",
                            wy_event_text (e, "req"));
    }
}

/* What a caller recorded under one idempotency key, which it may use for more
   than one attempt.  */
struct caller_request
{
  guint sent;
  guint attempts_ended;
  guint succeeded; /* with status 2xx */
  struct wy_event *last;
};

static void
record_caller_event (struct wy_check *c, struct caller_request *r,
                     struct wy_event *e)
{
  int64_t status = wy_event_number (e, "status", 0);

  r->last = e;
  if (wy_event_is (e, "caller.sent"))
    {
      r->sent++;
      return;
    }
  r->attempts_ended++;
  r->succeeded += status >= 200 && status <= 299;
  if (r->sent == 0)
    wy_check_violation (c, "accounts", e, NULL,
                        "a caller got a response for key %s, which it never "
                        "sent",
                        wy_event_text (e, "key"));
  else if (r->succeeded > r->sent)
    wy_check_violation (c, "accounts", e, NULL,
                        "a caller got more successful responses for key %s "
                        "than it sent requests",
                        wy_event_text (e, "key"));
}

/* A request that a caller sent ends, and succeeds at most once.  */
static void
verify_caller_requests (struct wy_check *c,
                        const struct wy_incarnations *incarnations)
{
  GHashTable *requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter it;
  gpointer p;

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *key;
      struct caller_request *r;

      if (!wy_event_is (e, "caller.sent") && !wy_event_is (e, "caller.got"))
        continue;
      key = wy_event_incarnation_field (e, "key");
      r = g_hash_table_lookup (requests, key);
      if (r)
        g_free (key);
      else
        {
          r = g_new0 (struct caller_request, 1);
          g_hash_table_insert (requests, key, r);
        }
      record_caller_event (c, r, e);
    }
  g_hash_table_iter_init (&it, requests);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct caller_request *r = p;

      if (r->attempts_ended == 0
          && wy_incarnations_stopped (incarnations, r->last))
        wy_check_violation (c, "accounts", r->last, NULL,
                            "the request with key %s never ended",
                            wy_event_text (r->last, "key"));
    }
  g_hash_table_destroy (requests);
}

/* What engines and services recorded of runs.  */
struct records
{
  const struct wy_incarnations *incarnations;
  GHashTable *starts;   /* run -> run.start */
  GHashTable *runs;     /* run -> engine.run */
  GHashTable *executed; /* request -> service.executed */
  GHashTable *received; /* request -> request.received */
  bool engines;
  bool services;
};

/* Whether the target of the run that END ends was not killed.  The record of
   a killed target may be lost with it.  Agents know the incarnation of an
   engine, not that of a service.  */
static bool
target_survived (const struct records *r, const struct wy_event *end)
{
  const GPtrArray *start
      = wy_check_lookup (r->starts, wy_event_text (end, "run"));
  const char *inc = start ? wy_event_text (start->pdata[0], "target_inc") : "";

  return start && !wy_incarnations_killed (r->incarnations, inc);
}

static void
verify_record (struct wy_check *c, const struct records *r,
               struct wy_event *end)
{
  const char *run = wy_event_text (end, "run");
  const char *req = wy_event_text (end, "req");
  const GPtrArray *request = wy_check_lookup (r->received, req);
  const char *key = request ? wy_event_text (request->pdata[0], "key") : "";

  if (strcmp (wy_event_text (end, "result"), "done") != 0
      || !target_survived (r, end))
    return;
  if (wy_event_number (end, "tokens", 0) > 0)
    {
      if (r->engines && !wy_check_lookup (r->runs, run))
        wy_check_violation (c, "accounts", end, NULL,
                            "no engine recorded run %s", run);
    }
  else if (r->services && *key && !wy_check_lookup (r->executed, req))
    wy_check_violation (c, "accounts", end, NULL,
                        "no service recorded request %s", req);
}

static void
verify_records (struct wy_check *c, const struct wy_incarnations *incarnations,
                GHashTable *starts)
{
  struct records r
      = { .incarnations = incarnations,
          .starts = starts,
          .runs = wy_check_index (c, "engine.run", "run"),
          .executed = wy_check_index (c, "service.executed", "req"),
          .received = wy_check_index (c, received_name, "req"),
          .engines = wy_check_has (c, "engine.run"),
          .services
          = wy_check_has (c, "service.executed")
            && !wy_incarnations_role_killed (incarnations, "service") };

  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], "run.end"))
      verify_record (c, &r, c->timeline->events->pdata[i]);
  g_hash_table_destroy (r.received);
  g_hash_table_destroy (r.executed);
  g_hash_table_destroy (r.runs);
}

/* One engine records a run once.  A run that moved is recorded by two
   engines.  */
static void
verify_engine_runs (struct wy_check *c)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *key;

      if (!wy_event_is (e, "engine.run"))
        continue;
      key = wy_event_incarnation_field (e, "run");
      if (g_hash_table_contains (seen, key))
        wy_check_violation (c, "accounts", g_hash_table_lookup (seen, key), e,
                            "an engine recorded run %s twice",
                            wy_event_text (e, "run"));
      g_hash_table_insert (seen, key, e);
    }
  g_hash_table_destroy (seen);
}

void
wy_verify_accounts (struct wy_check *c)
{
  struct wy_incarnations *incarnations = wy_incarnations_new (c->timeline);
  GHashTable *starts = wy_check_index (c, "run.start", "run");
  GHashTable *ends = wy_check_index (c, "run.end", "run");

  /* A timeline of only some of the processes may lack these events, and then
     has nothing to compare.  */
  if (wy_check_has (c, received_name))
    verify_requests (c, incarnations);
  if (wy_check_has (c, "request.submitted"))
    verify_submitted (c);
  verify_run_ends (c, incarnations, starts, ends);
  verify_responses (c, incarnations, starts, ends);
  if (wy_check_has (c, "caller.sent"))
    verify_caller_requests (c, incarnations);
  verify_records (c, incarnations, starts);
  verify_engine_runs (c);
  g_hash_table_destroy (ends);
  g_hash_table_destroy (starts);
  wy_incarnations_free (incarnations);
}
