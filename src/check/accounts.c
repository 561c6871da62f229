/* Invariants on the accounts of requests and runs: what was received ends
   once, what ran was submitted, begun and ended once, and what a caller was
   given was made by a run.  */
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

/* What one entry noted of one request, which its caller may send again under
   the same name.  */
struct account
{
  guint received;
  guint ended;
  struct wy_event *last;
};

static struct account *
account_of (GHashTable *accounts, const struct wy_event *e)
{
  char *key = wy_event_life_key (e, "req");
  struct account *a = g_hash_table_lookup (accounts, key);

  if (a)
    {
      g_free (key);
      return a;
    }
  a = g_new0 (struct account, 1);
  g_hash_table_insert (accounts, key, a);
  return a;
}

/* Each request that an entry received has one end, unless the entry was
   killed first.  */
static void
verify_requests (struct wy_check *c, const struct wy_lives *lives)
{
  GHashTable *accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter it;
  gpointer p;

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      bool received = wy_event_is (e, received_name);
      struct account *a;

      if (!received && !is_end (e))
        continue;
      a = account_of (accounts, e);
      a->received += received;
      a->ended += !received;
      a->last = e;
      if (a->ended > a->received)
        wy_check_violation (c, "accounts", e, NULL,
                            "request %s ended more often than it came",
                            wy_event_text (e, "req"));
    }
  g_hash_table_iter_init (&it, accounts);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct account *a = p;

      if (a->ended < a->received && wy_lives_ended (lives, a->last))
        wy_check_violation (c, "accounts", a->last, NULL,
                            "request %s has no end",
                            wy_event_text (a->last, "req"));
    }
  g_hash_table_destroy (accounts);
}

static guint
count_of (GHashTable *index, const char *value)
{
  const GPtrArray *list = wy_check_lookup (index, value);

  return list ? list->len : 0;
}

/* Submissions of a request to a target are at least its runs there: a run is
   refused, or lost on the way, but none comes from nowhere.  */
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
                            "a run of %s that was not submitted",
                            wy_event_text (e, "req"));
      g_hash_table_insert (submitted, key,
                           GINT_TO_POINTER (is_start ? n - 1 : n + 1));
    }
  g_hash_table_destroy (submitted);
}

static void
verify_run_ends (struct wy_check *c, const struct wy_lives *lives,
                 GHashTable *starts, GHashTable *ends)
{
  GHashTableIter it;
  gpointer run;
  gpointer value;

  g_hash_table_iter_init (&it, starts);
  while (g_hash_table_iter_next (&it, &run, &value))
    {
      const GPtrArray *list = value;
      guint n = count_of (ends, run);

      if (!*(const char *)run)
        continue;
      if (list->len > 1)
        wy_check_violation (c, "accounts", list->pdata[0], list->pdata[1],
                            "run %s began twice", (char *)run);
      if (n == 0 && wy_lives_ended (lives, list->pdata[0]))
        wy_check_violation (c, "accounts", list->pdata[0], NULL,
                            "run %s has no end", (char *)run);
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
      if (count_of (starts, run) == 0)
        wy_check_violation (c, "accounts", list->pdata[0], NULL,
                            "run %s ended and never began", (char *)run);
    }
}

/* An answer names the run that made it.  The run's agent may have been killed
   before it noted the end, but not before it noted the start.  */
static void
verify_answers (struct wy_check *c, const struct wy_lives *lives,
                GHashTable *starts, GHashTable *ends)
{
  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      const char *run = wy_event_text (e, "run");
      const GPtrArray *list;

      if (!wy_event_is (e, "request.answered") || !*run
          || count_of (ends, run))
        continue;
      list = wy_check_lookup (starts, run);
      if (!list)
        wy_check_violation (c, "accounts", e, NULL,
                            "request %s was answered by no run",
                            wy_event_text (e, "req"));
      else if (wy_lives_ended (lives, list->pdata[0]))
        wy_check_violation (c, "accounts", e, list->pdata[0],
                            "request %s was answered by a run without end",
                            wy_event_text (e, "req"));
    }
}

/* What a caller noted of one call, which it may try more than once.  */
struct call
{
  guint sent;
  guint tries_ended;
  guint answered; /* with success */
  struct wy_event *last;
};

static void
note_call (struct wy_check *c, struct call *k, struct wy_event *e)
{
  int64_t status = wy_event_number (e, "status", 0);

  k->last = e;
  if (wy_event_is (e, "caller.sent"))
    {
      k->sent++;
      return;
    }
  k->tries_ended++;
  k->answered += status >= 200 && status <= 299;
  if (k->sent == 0)
    wy_check_violation (c, "accounts", e, NULL,
                        "call %s was answered and never sent",
                        wy_event_text (e, "key"));
  else if (k->answered > k->sent)
    wy_check_violation (c, "accounts", e, NULL, "call %s was answered twice",
                        wy_event_text (e, "key"));
}

/* A call that was sent comes to an end, with success once at most.  */
static void
verify_calls (struct wy_check *c, const struct wy_lives *lives)
{
  GHashTable *calls
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter it;
  gpointer p;

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *key;
      struct call *k;

      if (!wy_event_is (e, "caller.sent") && !wy_event_is (e, "caller.got"))
        continue;
      key = wy_event_life_key (e, "key");
      k = g_hash_table_lookup (calls, key);
      if (k)
        g_free (key);
      else
        {
          k = g_new0 (struct call, 1);
          g_hash_table_insert (calls, key, k);
        }
      note_call (c, k, e);
    }
  g_hash_table_iter_init (&it, calls);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct call *k = p;

      if (k->tries_ended == 0 && wy_lives_ended (lives, k->last))
        wy_check_violation (c, "accounts", k->last, NULL,
                            "call %s came to no end",
                            wy_event_text (k->last, "key"));
    }
  g_hash_table_destroy (calls);
}

/* What engines and services keep of runs.  */
struct records
{
  const struct wy_lives *lives;
  GHashTable *starts;   /* run -> run.start */
  GHashTable *runs;     /* run -> engine.run */
  GHashTable *executed; /* request -> service.executed */
  GHashTable *received; /* request -> request.received */
  bool engines;
  bool services;
};

/* A target that was killed may have taken its record with it.  Agents know
   the incarnation of an engine, not that of a service.  */
static bool
target_lives (const struct records *r, const struct wy_event *end)
{
  const GPtrArray *start
      = wy_check_lookup (r->starts, wy_event_text (end, "run"));
  const char *inc = start ? wy_event_text (start->pdata[0], "target_inc") : "";

  return start && !wy_lives_killed (r->lives, inc);
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
      || !target_lives (r, end))
    return;
  if (wy_event_number (end, "tokens", 0) > 0)
    {
      if (r->engines && !wy_check_lookup (r->runs, run))
        wy_check_violation (c, "accounts", end, NULL,
                            "run %s is in no engine's record", run);
    }
  else if (r->services && *key && !wy_check_lookup (r->executed, req))
    wy_check_violation (c, "accounts", end, NULL,
                        "request %s is in no service's record", req);
}

static void
verify_records (struct wy_check *c, const struct wy_lives *lives,
                GHashTable *starts)
{
  struct records r
      = { .lives = lives,
          .starts = starts,
          .runs = wy_check_index (c, "engine.run", "run"),
          .executed = wy_check_index (c, "service.executed", "req"),
          .received = wy_check_index (c, received_name, "req"),
          .engines = wy_check_has (c, "engine.run"),
          .services = wy_check_has (c, "service.executed")
                      && !wy_lives_any_killed (lives, "service") };

  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], "run.end"))
      verify_record (c, &r, c->timeline->events->pdata[i]);
  g_hash_table_destroy (r.received);
  g_hash_table_destroy (r.executed);
  g_hash_table_destroy (r.runs);
}

/* One engine notes a run once; a moved run is noted by two.  */
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
      key = wy_event_life_key (e, "run");
      if (g_hash_table_contains (seen, key))
        wy_check_violation (c, "accounts", g_hash_table_lookup (seen, key), e,
                            "an engine ran %s twice",
                            wy_event_text (e, "run"));
      g_hash_table_insert (seen, key, e);
    }
  g_hash_table_destroy (seen);
}

void
wy_verify_accounts (struct wy_check *c)
{
  struct wy_lives *lives = wy_lives_new (c->timeline);
  GHashTable *starts = wy_check_index (c, "run.start", "run");
  GHashTable *ends = wy_check_index (c, "run.end", "run");

  /* Parts of a system keep no such accounts: nothing to hold them to.  */
  if (wy_check_has (c, received_name))
    verify_requests (c, lives);
  if (wy_check_has (c, "request.submitted"))
    verify_submitted (c);
  verify_run_ends (c, lives, starts, ends);
  verify_answers (c, lives, starts, ends);
  if (wy_check_has (c, "caller.sent"))
    verify_calls (c, lives);
  verify_records (c, lives, starts);
  verify_engine_runs (c);
  g_hash_table_destroy (ends);
  g_hash_table_destroy (starts);
  wy_lives_free (lives);
}
