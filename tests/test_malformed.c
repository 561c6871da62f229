/* Servers that send malformed responses.  No client of ours may take anything
   from them: neither their status nor their body, which each reader would
   accept in a sound response.  */
#include <criterion/criterion.h>
#include <string.h>

#include "duties/calls.h"
#include "gate/peer_call.h"
#include "platform/store_wire.h"
#include "standin/scripted.h"
#include "support/duty_fixture.h"
#include "support/job_fixture.h"

enum
{
  PEER_TIMEOUT_MS = 3000,
  RESPONSES_MAX = 80
};

/* A server of one malformed response.  */
struct server
{
  struct wy_scripted *s;
  struct wy_scripted_response response;
  bool done;
};

static struct server servers[2 * RESPONSES_MAX]; /* whole and bytewise */
static size_t n_servers;

/* Replace the six bytes "spoilt" in R by an empty JSON object.  */
static void
set_json (struct wy_scripted_response *r)
{
  static const char object[] = "{}    ";
  size_t n = r->n ? r->n : strlen (r->text);
  char *text = g_memdup2 (r->text, n + 1);

  for (size_t i = 0; i + sizeof object - 1 <= n; i++)
    if (!memcmp (text + i, "spoilt", sizeof object - 1))
      memcpy (text + i, object, sizeof object - 1);
  r->text = text;
  r->n = n;
}

/* Start a server for each malformed response, and another that sends it one
   byte at a time.  */
static void
start_servers (uv_loop_t *loop)
{
  for (size_t i = 0; i < wy_n_malformed_responses; i++)
    for (int bytewise = 0; bytewise <= 1; bytewise++)
      {
        struct server *v = &servers[n_servers++];
        struct wy_scripted_options o = { .loop = loop, .bytewise = bytewise };

        cr_assert_lt (n_servers, G_N_ELEMENTS (servers));
        v->response = wy_malformed_responses[i];
        set_json (&v->response);
        o.response = v->response;
        v->s = wy_scripted_new (&o);
        cr_assert_not_null (v->s);
      }
}

static void
stop_servers (void)
{
  for (size_t i = 0; i < n_servers; i++)
    {
      cr_expect_gt (servers[i].s->answered, 0, "%s: not asked",
                    servers[i].response.name);
      wy_scripted_free (servers[i].s);
    }
}

static bool
are_done (void *ctx)
{
  for (size_t i = 0; i < n_servers; i++)
    if (!servers[i].done)
      return false;
  return true;
}

/* List V's server as a replica of SERVICE, with MODEL unless it is NULL, and
   the others no more.  */
static void
list_only (const struct server *v, const char *service, const char *model)
{
  struct wy_replica info
      = { .address = platform_loopback (v->s->port), .slots = 12 };

  for (size_t i = 0; i < n_servers; i++)
    {
      g_snprintf (info.id, sizeof info.id, "i-bad-%zu", i);
      if (&servers[i] != v)
        {
          wy_targets_remove (job_fixture.env.targets, info.id);
          continue;
        }
      g_strlcpy (info.service, service, sizeof info.service);
      if (model)
        {
          info.n_models = 1;
          g_strlcpy (info.models[0].model, model, sizeof info.models[0].model);
          info.models[0].version = 1;
        }
      wy_targets_set (job_fixture.env.targets, &info);
    }
}

/* Run a job for each server, listed beside the sound replicas: BODY or, if it
   is NULL, items without scores.  */
static void
run_jobs (const char *service, const char *model, const char *body)
{
  for (size_t i = 0; i < n_servers; i++)
    {
      char job[16];

      g_snprintf (job, sizeof job, "j%zu", i);
      list_only (&servers[i], service, model);
      cr_assert_eq (body ? job_fixture_submit_body (job, body)
                         : job_fixture_submit (job, 1),
                    202);
      for (int k = 0; k < JOB_ITEMS; k++)
        json_decref (job_fixture_await_result (job, (uint32_t)k));
      job_fixture_check_results (job);
    }
}

/* Guards against items that take their text from such a response.  */
Test (malformed, items, .timeout = 120)
{
  job_fixture_start (1);
  start_servers (&job_fixture.loop);
  run_jobs ("svc", "m", NULL);
  stop_servers ();
  job_fixture_stop ();
}

/* The same for scores of texts.  */
Test (malformed, scores, .timeout = 120)
{
  char *body = job_fixture_scored_body ("h", "c2NvcmU=");

  job_fixture_start (1);
  platform_fixture_add_scorer (&job_fixture, "h");
  start_servers (&job_fixture.loop);
  run_jobs ("desk", NULL, body);
  stop_servers ();
  job_fixture_stop ();
  g_free (body);
}

static struct platform_fixture w;

static void
on_rows (void *ctx, const struct wy_rows_result *r)
{
  struct server *v = ctx;

  cr_expect_eq (r->err, WY_ROWS_EUNKNOWN, "%s: %d", v->response.name, r->err);
  cr_expect_eq (r->n, 0, "%s", v->response.name);
  cr_expect_null (r->object, "%s", v->response.name);
  v->done = true;
}

static void
call_store (struct wy_rows *rows, enum wy_store_verb verb, struct server *v)
{
  static const struct wy_rows_range range = { .table = "t", .partition = "" };
  static const struct wy_row_write write = { "t", "k", "v", 1 };
  static const struct wy_rows_tx tx
      = { .partition = "", .writes = &write, .n_writes = 1 };

  switch (verb)
    {
    case WY_STORE_GET:
      wy_rows_get (rows, &range, on_rows, v);
      return;
    case WY_STORE_PARTITIONS:
      wy_rows_list_partitions (rows, "t", NULL, on_rows, v);
      return;
    case WY_STORE_FEED:
      wy_rows_read_feed (rows, "t", 0, 1000, on_rows, v);
      return;
    case WY_STORE_TX:
      wy_rows_tx (rows, &tx, on_rows, v);
      return;
    case WY_STORE_PUT_OBJECT:
      wy_rows_put_object (rows, "o", "v", 1, on_rows, v);
      return;
    case WY_STORE_GET_OBJECT:
      wy_rows_get_object (rows, "o", on_rows, v);
      return;
    case WY_STORE_DELETE_OBJECT:
      wy_rows_delete_object (rows, "o", on_rows, v);
      return;
    }
}

static void
check_store (enum wy_store_verb verb)
{
  struct wy_rows *rows[G_N_ELEMENTS (servers)] = { NULL };

  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "n1");
  start_servers (&w.loop);
  for (size_t i = 0; i < n_servers; i++)
    {
      struct wy_rows_options o
          = { .loop = &w.loop,
              .clock = wy_clock_system (),
              .http = w.env.http,
              .address = platform_loopback (servers[i].s->port),
              .object_bytes = 1 << 20 };

      rows[i] = wy_rows_new (&o);
      call_store (rows[i], verb, &servers[i]);
    }
  cr_expect (platform_fixture_run_until (&w, are_done, NULL));
  stop_servers ();
  for (size_t i = 0; i < n_servers; i++)
    wy_rows_free (rows[i]);
  platform_fixture_free (&w);
}

/* Guards against rows and objects read from such a response of the store, and
   against writes that it reports as done or not done.  */
Test (malformed, store_rows) { check_store (WY_STORE_GET); }

Test (malformed, store_partitions) { check_store (WY_STORE_PARTITIONS); }

Test (malformed, store_feed) { check_store (WY_STORE_FEED); }

Test (malformed, store_transactions) { check_store (WY_STORE_TX); }

Test (malformed, store_objects_written) { check_store (WY_STORE_PUT_OBJECT); }

Test (malformed, store_objects_read) { check_store (WY_STORE_GET_OBJECT); }

Test (malformed, store_objects_deleted)
{
  check_store (WY_STORE_DELETE_OBJECT);
}

static void
on_peer (void *ctx, const json_t *doc)
{
  struct server *v = ctx;

  cr_expect_null (doc, "%s", v->response.name);
  v->done = true;
}

/* The same of another entry.  */
Test (malformed, peers)
{
  json_t *doc = json_object ();

  platform_fixture_init (&w);
  platform_fixture_add_env (&w, "n1");
  start_servers (&w.loop);
  for (size_t i = 0; i < n_servers; i++)
    {
      struct wy_peer_call_options o
          = { .env = &w.env,
              .address = platform_loopback (servers[i].s->port),
              .target = "/x",
              .doc = doc,
              .timeout_ms = PEER_TIMEOUT_MS,
              .on_end = on_peer,
              .ctx = &servers[i] };

      wy_peer_call_start (&o);
    }
  cr_expect (platform_fixture_run_until (&w, are_done, NULL));
  stop_servers ();
  json_decref (doc);
  platform_fixture_free (&w);
}

static void
on_duty (void *ctx, enum wy_duty_outcome outcome, int status)
{
  struct server *v = ctx;

  cr_expect_eq (outcome, WY_DUTY_NO_RESPONSE, "%s: %d", v->response.name,
                outcome);
  v->done = true;
}

/* The same of the platform that the leader calls.  */
Test (malformed, duties)
{
  struct duty_entry e = { .is_candidate = true };
  struct wy_duty_calls *calls[G_N_ELEMENTS (servers)] = { NULL };

  duty_fixture_start ();
  duty_entry_start (&e, "n1");
  cr_assert (
      platform_fixture_run_until (&duty_fixture, duty_entry_is_leader, &e));
  start_servers (&duty_fixture.loop);
  for (size_t i = 0; i < n_servers; i++)
    {
      struct wy_duty_calls_options o = { .loop = &duty_fixture.loop,
                                         .clock = wy_clock_system (),
                                         .http = e.http,
                                         .election = e.election,
                                         .node = "n1" };
      char address[32];

      g_snprintf (address, sizeof address, "127.0.0.1:%u", servers[i].s->port);
      o.address = address;
      cr_assert_eq (wy_duty_calls_new (&calls[i], &o), 0);
      cr_assert (wy_duty_call (calls[i], "/x", "{}", 2, on_duty, &servers[i]));
    }
  cr_expect (platform_fixture_run_until (&duty_fixture, are_done, NULL));
  stop_servers ();
  for (size_t i = 0; i < n_servers; i++)
    wy_duty_calls_free (calls[i]);
  duty_entry_kill (&e);
  duty_fixture_stop ();
}
