/* An entry that runs jobs, with stand-ins of the platform.  */
#include "job_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

struct platform_fixture job_fixture;
struct job_entry job_entry;
uint64_t job_memory_limit_bytes;
bool job_shares_by_demand;
const char *job_organisation = "";

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  struct wy_job_call call;

  wy_job_call_parse (wy_h1_method (r), wy_h1_target (r), wy_h1_head (r),
                     &call);
  if (call.kind == WY_JOB_CALL_NONE)
    wy_jobs_accept (job_entry.jobs, r, job_organisation, true);
  else
    wy_jobs_handle_call (job_entry.jobs, r, job_organisation, &call);
}

static bool
is_synced (void *ctx)
{
  return wy_jobs_is_synced (job_entry.jobs)
         && wy_members_age_ms (job_entry.members) >= 0;
}

/* Start an entry on the present store and targets.  */
void
job_fixture_start_entry (void)
{
  struct wy_members_options m
      = { .env = &job_fixture.env, .address = "127.0.0.1:1" };
  struct wy_jobs_options j = { .env = &job_fixture.env,
                               .max_object_bytes = 512,
                               .max_row_bytes = 65536,
                               .memory_limit_bytes = job_memory_limit_bytes,
                               .shares_by_demand = job_shares_by_demand };
  struct wy_h1_server_options o
      = { .loop = &job_fixture.loop,
          .host = "127.0.0.1",
          .limits = { 65536, 1 << 20, 1000, 10000, 1 << 24 },
          .on_request = on_request };

  job_entry.members = wy_members_new (&m);
  j.members = job_entry.members;
  job_entry.jobs = wy_jobs_new (&j);
  cr_assert_eq (wy_h1_server_new (&job_entry.server, &o), 0);
  cr_assert (platform_fixture_run_until (&job_fixture, is_synced, NULL));
}

/* Stop the entry without a handoff of its jobs.  */
void
job_fixture_stop_entry (void)
{
  wy_h1_server_free (job_entry.server);
  wy_jobs_free (job_entry.jobs);
  wy_members_free (job_entry.members);
}

/* Start a store, REPLICAS replicas and an entry.  */
void
job_fixture_start (int replicas)
{
  platform_fixture_init (&job_fixture);
  platform_fixture_add_env (&job_fixture, "n1");
  platform_fixture_set_routing (&job_fixture, WY_ROUTE_JOB, 3);
  for (int i = 0; i < replicas; i++)
    platform_fixture_add_replica (&job_fixture, "m", JOB_EVENTS);
  job_fixture_start_entry ();
}

/* Free everything.  */
void
job_fixture_stop (void)
{
  job_fixture_stop_entry ();
  platform_fixture_free (&job_fixture);
}

static char *
body_with (int64_t min_version, const char *host, const char *scorer_body)
{
  GString *s = g_string_new (NULL);

  g_string_append_printf (s,
                          "{\"step\":1,\"model\":\"m\",\"minimumVersion\":%d,"
                          "\"desiredCount\":2,\"items\":[",
                          (int)min_version);
  for (int i = 0; i < JOB_ITEMS; i++)
    {
      g_string_append_printf (
          s,
          "%s{\"id\":\"it-%d\",\"path\":\"/p/"
          "%d\",\"headers\":{\"Model\":\"m\"},"
          "\"body\":\"aGVsbG8=\",\"tokens\":9,\"group\":\"g%d\"",
          i ? "," : "", i, i, i / 2);
      if (host)
        g_string_append_printf (
            s,
            ",\"scorer\":{\"id\":\"sc-%d\",\"host\":\"%s\","
            "\"path\":\"/s/x\",\"body\":\"%s\"}",
            i, host, scorer_body);
      g_string_append_c (s, '}');
    }
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

/* A job of JOB_ITEMS items.  The caller frees it.  */
char *
job_fixture_body (int64_t min_version)
{
  return body_with (min_version, NULL, NULL);
}

/* The same, with each item scored by a call to "/s/x" of HOST with BODY
   (base64).  */
char *
job_fixture_scored_body (const char *host, const char *body)
{
  return body_with (1, host, body);
}

/* Call the entry and wait for the response.  */
struct platform_response *
job_fixture_call (const char *method, const char *target, const char *id,
                  const char *body)
{
  struct wy_h1_header fields[] = { { "Host", "h" },
                                   { "Wait-Milliseconds", "300" },
                                   { "Attempt-Id", id ? id : "" } };
  struct platform_response *a = platform_fixture_call (
      &job_fixture, wy_h1_server_port (job_entry.server), method, target,
      fields, id ? 3 : 2, body);

  cr_assert (
      platform_fixture_run_until (&job_fixture, platform_response_done, a));
  return a;
}

/* Submit BODY as job ID.  Returns the HTTP status.  */
int
job_fixture_submit_body (const char *id, const char *body)
{
  struct platform_response *a = job_fixture_call ("POST", "/p/job", id, body);
  int status = a->status;

  platform_response_free (a);
  return status;
}

/* Submit a job.  Returns the HTTP status.  */
int
job_fixture_submit (const char *id, int64_t min_version)
{
  char *body = job_fixture_body (min_version);
  int status = job_fixture_submit_body (id, body);

  g_free (body);
  return status;
}

/* The HTTP status of a call without a body.  */
int
job_fixture_status (const char *method, const char *target)
{
  struct platform_response *a = job_fixture_call (method, target, NULL, NULL);
  int status = a->status;

  platform_response_free (a);
  return status;
}

/* The result at position N of JOB as a reader gets it; NULL if there is none
   yet.  */
json_t *
job_fixture_result (const char *job, uint32_t n)
{
  char *target = g_strdup_printf ("/api/lots/%s?after=%u", job, n);
  struct platform_response *a = job_fixture_call ("GET", target, NULL, NULL);
  json_t *doc = json_loads (a->body->str, 0, NULL);
  json_t *r = json_array_get (json_object_get (doc, "results"), 0);

  if (a->status == 200)
    cr_assert_eq (json_integer_value (json_object_get (doc, "total")),
                  JOB_ITEMS);
  json_incref (r);
  json_decref (doc);
  platform_response_free (a);
  g_free (target);
  return r;
}

/* Wait for the result at position N of JOB.  */
json_t *
job_fixture_await_result (const char *job, uint32_t n)
{
  for (int tries = 0; tries < 60; tries++)
    {
      json_t *r = job_fixture_result (job, n);

      if (r)
        return r;
    }
  cr_assert_fail ("no result at %u", n);
  return NULL;
}

/* The string KEY of R, or "".  */
const char *
job_fixture_string (json_t *r, const char *key)
{
  const char *v = json_string_value (json_object_get (r, key));

  return v ? v : "";
}

static char *
expected_text (void)
{
  GString *s = g_string_new (NULL);
  char piece[64];

  for (uint32_t i = 1; i <= JOB_EVENTS; i++)
    g_string_append_printf (
        s, "%s%s", i > 1 ? "\n" : "",
        wy_platform_replica_event_data (i, piece, sizeof piece));
  return g_string_free (s, FALSE);
}

/* Read all results and check that each item is listed once, with its complete
   text.  */
void
job_fixture_check_results (const char *job)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char *want = expected_text ();

  for (uint32_t i = 0; i < JOB_ITEMS; i++)
    {
      json_t *r = job_fixture_await_result (job, i);

      cr_expect_str_eq (job_fixture_string (r, "state"), "completed");
      cr_expect_str_eq (job_fixture_string (r, "text"), want);
      cr_expect (
          g_hash_table_add (seen, g_strdup (job_fixture_string (r, "id"))),
          "%s twice", job_fixture_string (r, "id"));
      json_decref (r);
    }
  g_hash_table_destroy (seen);
  g_free (want);
}

/* The number of results of JOB in the store.  */
uint32_t
job_fixture_count_results (const char *job)
{
  return wy_platform_store_row_count (job_fixture.store, WY_RESULTS_TABLE,
                                      job);
}
