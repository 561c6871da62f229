/* Jobs: accepted once, run whole, listed at fixed positions, handed over.  */
#include <criterion/criterion.h>
#include <string.h>

#include <jansson.h>

#include "support/platform_world.h"

enum
{
  ITEMS = 6,
  EVENTS = 6
};

/* One entry: its jobs and the door to them.  */
struct entry
{
  struct wy_members *members;
  struct wy_jobs *jobs;
  struct wy_h1_server *server;
};

static struct platform_world w;
static struct entry e;

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  struct wy_job_call call;

  wy_job_call_read (wy_h1_method (r), wy_h1_target (r), wy_h1_head (r), &call);
  if (call.kind == WY_JOB_CALL_NONE)
    wy_jobs_accept (e.jobs, r,
                    wy_routing_match (w.env.routing, "h", wy_h1_target (r)));
  else
    wy_jobs_call (e.jobs, r, &call);
}

static bool
is_synced (void *ctx)
{
  return wy_jobs_is_synced (e.jobs) && wy_members_age_ms (e.members) >= 0;
}

static void
start_entry (void)
{
  struct wy_members_options m = { .env = &w.env, .address = "127.0.0.1:1" };
  struct wy_jobs_options j
      = { .env = &w.env, .piece_bytes = 512, .row_bytes = 65536 };
  struct wy_h1_server_options o
      = { .loop = &w.loop,
          .host = "127.0.0.1",
          .limits = { 65536, 1 << 20, 1000, 10000, 1 << 24 },
          .on_request = on_request };

  e.members = wy_members_new (&m);
  j.members = e.members;
  e.jobs = wy_jobs_new (&j);
  cr_assert_eq (wy_h1_server_new (&e.server, &o), 0);
  cr_assert (platform_world_until (&w, is_synced, NULL));
}

static void
stop_entry (void)
{
  wy_h1_server_free (e.server);
  wy_jobs_free (e.jobs);
  wy_members_free (e.members);
}

static void
start (int replicas)
{
  platform_world_init (&w);
  platform_world_add_env (&w, "n1");
  platform_world_set_routing (&w, WY_ROUTE_JOB, 3);
  for (int i = 0; i < replicas; i++)
    platform_world_add_replica (&w, "m", EVENTS);
  start_entry ();
}

static void
stop (void)
{
  stop_entry ();
  platform_world_free (&w);
}

static char *
job_body (int64_t min_version)
{
  GString *s = g_string_new (NULL);

  g_string_append_printf (s,
                          "{\"step\":1,\"model\":\"m\",\"minimumVersion\":%d,"
                          "\"desiredCount\":2,\"items\":[",
                          (int)min_version);
  for (int i = 0; i < ITEMS; i++)
    g_string_append_printf (
        s,
        "%s{\"id\":\"it-%d\",\"path\":\"/p/%d\",\"headers\":{\"Model\":\"m\"},"
        "\"body\":\"aGVsbG8=\",\"tokens\":9,\"group\":\"g%d\"}",
        i ? "," : "", i, i, i / 2);
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

static struct platform_answer *
call (const char *method, const char *target, const char *id, const char *body)
{
  struct wy_h1_pair fields[] = { { "Host", "h" },
                                 { "Wait-Milliseconds", "300" },
                                 { "Attempt-Id", id ? id : "" } };
  struct platform_answer *a
      = platform_world_call (&w, wy_h1_server_port (e.server), method, target,
                             fields, id ? 3 : 2, body);

  cr_assert (platform_world_until (&w, platform_answer_done, a));
  return a;
}

static int
submit (const char *id, int64_t min_version)
{
  char *body = job_body (min_version);
  struct platform_answer *a = call ("POST", "/p/job", id, body);
  int status = a->status;

  g_free (body);
  platform_answer_free (a);
  return status;
}

static int
status_of (const char *method, const char *target)
{
  struct platform_answer *a = call (method, target, NULL, NULL);
  int status = a->status;

  platform_answer_free (a);
  return status;
}

/* The result at position N of the job, as the reader gets it; NULL: none
   yet.  */
static json_t *
result_at (const char *job, uint32_t n)
{
  char *target = g_strdup_printf ("/api/lots/%s?after=%u", job, n);
  struct platform_answer *a = call ("GET", target, NULL, NULL);
  json_t *doc = json_loads (a->body->str, 0, NULL);
  json_t *r = json_array_get (json_object_get (doc, "results"), 0);

  if (a->status == 200)
    cr_assert_eq (json_integer_value (json_object_get (doc, "total")), ITEMS);
  json_incref (r);
  json_decref (doc);
  platform_answer_free (a);
  g_free (target);
  return r;
}

static json_t *
await_result (const char *job, uint32_t n)
{
  for (int tries = 0; tries < 60; tries++)
    {
      json_t *r = result_at (job, n);

      if (r)
        return r;
    }
  cr_assert_fail ("no result at %u", n);
  return NULL;
}

static const char *
text_of (json_t *r, const char *key)
{
  const char *v = json_string_value (json_object_get (r, key));

  return v ? v : "";
}

static char *
whole_text (void)
{
  GString *s = g_string_new (NULL);
  char piece[64];

  for (uint32_t i = 1; i <= EVENTS; i++)
    g_string_append_printf (s, "%s%s", i > 1 ? "\n" : "",
                            wy_platform_replica_text (i, piece, sizeof piece));
  return g_string_free (s, FALSE);
}

/* Read all results and check that each item is listed once, whole.  */
static void
check_all (const char *job)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char *want = whole_text ();

  for (uint32_t i = 0; i < ITEMS; i++)
    {
      json_t *r = await_result (job, i);

      cr_expect_str_eq (text_of (r, "state"), "completed");
      cr_expect_str_eq (text_of (r, "text"), want);
      cr_expect (g_hash_table_add (seen, g_strdup (text_of (r, "id"))),
                 "%s twice", text_of (r, "id"));
      json_decref (r);
    }
  g_hash_table_destroy (seen);
  g_free (want);
}

static uint32_t
listed_rows (const char *job)
{
  return wy_platform_store_count (w.store, WY_RESULTS_TABLE, job);
}

Test (jobs, whole_and_once)
{
  start (2);
  cr_expect_eq (submit ("j1", 1), 202);
  cr_expect_eq (submit ("j1", 1), 202);
  check_all ("j1");
  cr_expect_eq (listed_rows ("j1"), ITEMS);
  cr_expect_eq (status_of ("GET", "/api/items/j1?id=it-0"), 200);
  cr_expect_eq (status_of ("GET", "/api/lots/none"), 404);
  cr_expect_eq (status_of ("DELETE", "/api/lots/j1"), 200);
  cr_expect_eq (status_of ("DELETE", "/api/lots/j1"), 200);
  stop ();
}

/* Replicas break off, stand still, fail and answer for others while a job
   runs.  The trainer must get each text once and whole all the same.  */
Test (jobs, replica_faults)
{
  struct wy_platform_replica_faults *f;

  start (2);
  for (uint32_t i = 0; i < 2; i++)
    {
      f = wy_platform_replica_faults (w.replicas[i]);
      f->cuts = 2;
      f->cut_after = 2;
      f->refuse = 1;
      f->fail = 1;
      f->foreign = 1;
    }
  cr_expect_eq (submit ("j1", 1), 202);
  check_all ("j1");
  cr_expect_gt (*w.env.count.items_broken, 4);
  stop ();
}

/* The answer to the write that accepts a job is lost, though the job is kept.
   The submitter must not hear "does not run"; once settled it hears that the
   job is kept, and it runs once.  */
Test (jobs, lost_answer_to_acceptance)
{
  start (2);
  platform_world_run_ms (&w, 700);
  /* The next transaction may be a heartbeat; all of them lose their answers
     for a while.  */
  wy_platform_store_faults (w.store)->lose = 2;
  cr_expect_eq (submit ("j1", 1), 202);
  check_all ("j1");
  cr_expect_eq (listed_rows ("j1"), ITEMS);
  stop ();
}

/* The store is silent for one submission; its submitter tries again and is
   accepted.  When the store then refuses the first attempt, that one must not
   be told "does not run", since the job does.  */
Test (jobs, refused_attempt_of_a_kept_job)
{
  struct wy_h1_pair fields[] = { { "Host", "h" }, { "Attempt-Id", "j1" } };
  struct wy_platform_store_faults *f;
  struct platform_answer *first;
  char *body = job_body (1);

  start (2);
  f = wy_platform_store_faults (w.store);
  f->silent = true;
  first = platform_world_call (&w, wy_h1_server_port (e.server), "POST",
                               "/p/job", fields, 2, body);
  platform_world_run_ms (&w, 100);
  f->silent = false;
  cr_expect_eq (submit ("j1", 1), 202);
  f->refuse_put = 1;
  cr_assert (platform_world_until (&w, platform_answer_done, first));
  cr_expect_eq (first->status, 202);
  check_all ("j1");
  platform_answer_free (first);
  g_free (body);
  stop ();
}

/* Writes of results are performed without an answer, or seconds late.  Each
   item must stand at one position, and a position never change.  */
Test (jobs, lost_and_late_results)
{
  struct wy_platform_store_faults *f;

  start (2);
  f = wy_platform_store_faults (w.store);
  cr_expect_eq (submit ("j1", 1), 202);
  f->late = 2;
  f->late_ms = 150;
  f->lose = 3;
  check_all ("j1");
  platform_world_run_ms (&w, 300);
  cr_expect_eq (listed_rows ("j1"), ITEMS);
  stop ();
}

/* The store is away while a job runs.  Results wait for it; a submitter hears
   that its job does not run and when to come back.  */
Test (jobs, store_away)
{
  struct wy_platform_store_faults *f;
  char *body = job_body (1);
  struct platform_answer *a;

  start (2);
  f = wy_platform_store_faults (w.store);
  cr_expect_eq (submit ("j1", 1), 202);
  f->refuse = 1000000;
  a = call ("POST", "/p/job", "j2", body);
  cr_expect_eq (a->status, 503);
  cr_expect_not_null (a->retry_after);
  platform_answer_free (a);
  cr_expect_eq (status_of ("GET", "/api/lots/j1?after=0"), 503);
  f->refuse = 0;
  check_all ("j1");
  cr_expect_eq (status_of ("GET", "/api/lots/j2"), 404);
  g_free (body);
  stop ();
}

/* An entry dies with half of a job done.  The next one to come up must list
   the rest behind what is listed, and nothing twice.  */
Test (jobs, taken_over_after_a_death)
{
  json_t *first;
  json_t *again;

  start (1);
  wy_platform_replica_faults (w.replicas[0])->stalls = 2;
  cr_expect_eq (submit ("j1", 1), 202);
  first = await_result ("j1", 0);
  stop_entry ();
  g_free ((char *)w.env.holder);
  w.env.holder = g_strdup ("n1/2");
  start_entry ();
  check_all ("j1");
  again = result_at ("j1", 0);
  cr_expect (json_equal (first, again));
  cr_expect_eq (*w.env.count.jobs_taken_over, 1);
  cr_expect_eq (listed_rows ("j1"), ITEMS);
  json_decref (first);
  json_decref (again);
  stop ();
}

/* An entry dies while a long item runs.  The next one must go on from the text
   that was stored, not make the trainer wait for all of it again.  */
Test (jobs, taken_over_with_its_text)
{
  enum
  {
    LONG_EVENTS = 2000
  };
  int64_t resumed_at;

  platform_world_init (&w);
  platform_world_add_env (&w, "n1");
  platform_world_set_routing (&w, WY_ROUTE_JOB, 3);
  platform_world_add_replica (&w, "m", LONG_EVENTS);
  start_entry ();
  cr_expect_eq (submit ("j1", 1), 202);
  platform_world_run_ms (&w, 1500);
  stop_entry ();
  platform_world_run_ms (&w, 50);
  g_free ((char *)w.env.holder);
  w.env.holder = g_strdup ("n1/2");
  start_entry ();
  platform_world_run_ms (&w, 1000);
  resumed_at = wy_platform_replica_last_resume (w.replicas[0]);
  cr_expect_gt (resumed_at, 20, "went on from %lld", (long long)resumed_at);
  stop ();
}

/* Another entry has taken the job over while this one stood still.  What this
   one still writes must change nothing.  */
Test (jobs, former_holder_writes_nothing)
{
  char *record;
  char *other;

  start (1);
  wy_platform_replica_faults (w.replicas[0])->stalls = ITEMS;
  cr_expect_eq (submit ("j1", 1), 202);
  record = wy_platform_store_value (w.store, WY_JOBS_TABLE, "j1", WY_JOB_KEY);
  cr_assert_not_null (record);
  other = g_strdup (record);
  strstr (other, "n1/1")[1] = '9';
  wy_platform_store_put (w.store, WY_MEMBERS_TABLE, "n9", "beat",
                         "{\"holder\":\"n9/1\",\"beat\":1}");
  wy_platform_store_put (w.store, WY_JOBS_TABLE, "j1", WY_JOB_KEY, other);
  platform_world_run_ms (&w, 1200);
  cr_expect_eq (wy_jobs_running (e.jobs), 0);
  cr_expect_eq (listed_rows ("j1"), 0);
  g_free (record);
  g_free (other);
  stop ();
}

/* Replicas have older weights than the job allows.  Nothing made under them
   may reach the trainer; when one has the weights, the job is run there.  */
Test (jobs, weights_too_old)
{
  json_t *r;
  struct wy_replica info;

  start (2);
  cr_expect_eq (submit ("j1", 2), 202);
  platform_world_run_ms (&w, 200);
  cr_expect_eq (listed_rows ("j1"), 0);
  wy_platform_replica_set_version (w.replicas[1], 2);
  info = wy_targets_find (w.env.targets, "i-2")->info;
  info.models[0].version = 2;
  wy_targets_set (w.env.targets, &info);
  check_all ("j1");
  r = result_at ("j1", 0);
  cr_expect_eq (
      json_integer_value (json_array_get (json_object_get (r, "versions"), 0)),
      2);
  json_decref (r);
  stop ();
}

/* An item can never be done.  It is listed as given up and holds up nobody. */
Test (jobs, hopeless_item_is_given_up)
{
  uint32_t given_up = 0;

  start (1);
  wy_platform_replica_faults (w.replicas[0])->never = 1;
  cr_expect_eq (submit ("j1", 1), 202);
  for (uint32_t i = 0; i < ITEMS; i++)
    {
      json_t *r = await_result ("j1", i);

      given_up += !strcmp (text_of (r, "state"), "abandoned");
      json_decref (r);
    }
  cr_expect_eq (given_up, 1);
  stop ();
}

/* The trainer ends its job while items run.  Nothing more may start, and what
   is listed stays.  */
Test (jobs, nothing_starts_after_the_end)
{
  uint32_t runs;

  start (1);
  wy_platform_replica_faults (w.replicas[0])->stalls = ITEMS;
  cr_expect_eq (submit ("j1", 1), 202);
  platform_world_run_ms (&w, 30);
  cr_expect_eq (status_of ("DELETE", "/api/lots/j1"), 200);
  platform_world_run_ms (&w, 50);
  runs = wy_platform_replica_runs (w.replicas[0]);
  platform_world_run_ms (&w, 400);
  cr_expect_eq (wy_platform_replica_runs (w.replicas[0]), runs);
  cr_expect_eq (wy_jobs_running (e.jobs), 0);
  cr_expect_eq (status_of ("GET", "/api/lots/j1?after=0"), 200);
  stop ();
}

/* Results may be read for a while; then the job must go, or the store fills up
   and takes no more jobs.  */
Test (jobs, old_ones_are_removed)
{
  start (2);
  cr_expect_eq (submit ("j1", 1), 202);
  check_all ("j1");
  cr_expect_eq (status_of ("DELETE", "/api/lots/j1"), 200);
  cr_expect_gt (wy_platform_store_objects (w.store), 0);
  /* As if it had been accepted an hour ago.  */
  {
    char *value
        = wy_platform_store_value (w.store, WY_JOBS_TABLE, "j1", WY_JOB_KEY);
    json_t *doc = json_loads (value, 0, NULL);
    char *old;

    json_object_set_new (doc, "accepted_ms", json_integer (1));
    old = json_dumps (doc, JSON_COMPACT);
    wy_platform_store_put (w.store, WY_JOBS_TABLE, "j1", WY_JOB_KEY, old);
    free (old);
    free (value);
    json_decref (doc);
  }
  platform_world_run_ms (&w, 3500);
  cr_expect_eq (wy_platform_store_count (w.store, WY_JOBS_TABLE, "j1"), 0);
  cr_expect_eq (listed_rows ("j1"), 0);
  cr_expect_eq (wy_platform_store_objects (w.store), 0, "%u left",
                wy_platform_store_objects (w.store));
  stop ();
}

/* Bodies that are no job are refused for what they are and kept nowhere.  */
Test (jobs, what_is_no_job)
{
  static const char *const bodies[]
      = { "",
          "[]",
          "{\"items\":1}",
          "{\"items\":[{}]}",
          "{\"items\":[{\"id\":\"a\",\"path\":\"no-slash\"}]}",
          "{\"items\":[{\"id\":\"a\",\"path\":\"/p HTTP/1.1\"}]}" };

  start (1);
  for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
    {
      struct platform_answer *a = call ("POST", "/p/job", "j1", bodies[i]);

      cr_expect_eq (a->status, 400, "body %zu", i);
      platform_answer_free (a);
    }
  cr_expect_eq (wy_platform_store_count (w.store, WY_JOBS_TABLE, "j1"), 0);
  stop ();
}
