/* An agent with the stand-in engine, which runs as a separate process.  */
#include <criterion/criterion.h>
#include <signal.h>
#include <string.h>

#include <jansson.h>

#include "base/id.h"
#include "support/agent_fixture.h"
#include "support/proc.h"

static bool
first_ended (struct fixture *w)
{
  return w->entry[0].ends > 0;
}

static bool
second_ended (struct fixture *w)
{
  return w->entry[1].ends > 0;
}

static bool
first_has_output (struct fixture *w)
{
  return w->entry[0].body->len > 0;
}

static bool
new_version (struct fixture *w)
{
  return w->entry[0].load.version == 2;
}

static bool
target_down (struct fixture *w)
{
  return !w->entry[0].load.target_up;
}

/* Start an engine with the additional settings MORE, and an agent for it.  */
static void
start (struct fixture *w, struct wy_proc *p, const char *more)
{
  char *settings = g_strconcat ("name: engine\nmodel: pattern\n", more, NULL);

  agent_fixture_init (w, WY_TARGET_MODEL);
  cr_assert_eq (wy_proc_start (p, "wystandin", "engine", settings), 0);
  w->s.target_port = wy_proc_port (p, "http");
  agent_fixture_start (w);
  g_free (settings);
}

static void
stop (struct wy_proc *p)
{
  wy_proc_kill (p, SIGKILL);
  wy_proc_wait (p);
}

static void
check_complete (const struct peer *p)
{
  cr_assert_eq (p->end.result, WY_RUN_DONE);
  cr_assert_not (p->gap);
  cr_assert_eq (p->end.digest, wy_hash64 (p->body->data, p->body->len, 0));
  cr_assert_geq (p->end.n_segments, 1);
  cr_assert_eq (p->segments[p->end.n_segments - 1].to, p->end.tokens);
}

static struct wy_frame_submit
long_rollout (void)
{
  struct wy_frame_submit s = agent_fixture_submit_model ("sample");

  s.request_class = WY_REQUEST_ROLLOUT;
  s.trainer = wy_bytes_of ("levels");
  s.max_tokens = 300;
  s.predicted_tokens = 300;
  s.body = wy_bytes_of ("{\"model\":\"pattern\",\"prompt\":\"long\","
                        "\"max_tokens\":300}");
  return s;
}

/* A rollout uses nearly all KV memory when a caller's request needs it.  The
   rollout is exported from the engine, the request runs, and the rollout
   resumes where it stopped: one run, no token lost or repeated.  */
Test (agent_engine, rollout_is_exported_for_a_caller)
{
  struct fixture w;
  struct wy_proc engine;
  struct wy_frame_submit rollout = long_rollout ();
  struct wy_frame_submit caller = agent_fixture_submit_model ("caller");
  GString *metrics = g_string_new (NULL);

  start (&w, &engine,
         "kv_total: 400\ntokens_median: 2000\ntokens_sigma: 0.0\n"
         "token_base_us: 2000\n");
  agent_fixture_send_submit (&w, 0, &rollout);
  agent_fixture_run_until (&w, first_has_output);
  caller.max_tokens = 150;
  caller.predicted_tokens = 150;
  caller.body = wy_bytes_of ("{\"model\":\"pattern\",\"prompt\":\"short\","
                             "\"max_tokens\":150}");
  agent_fixture_send_submit (&w, 1, &caller);
  agent_fixture_run_until (&w, second_ended);
  check_complete (&w.entry[1]);
  cr_assert_eq (w.entry[1].end.tokens, 150);
  cr_assert_eq (w.entry[0].ends, 0);
  agent_fixture_run_until (&w, first_ended);
  check_complete (&w.entry[0]);
  cr_assert_eq (w.entry[0].end.tokens, 300);
  cr_assert_geq (json_array_size (agent_fixture_events (&w, "run.resumed")),
                 1);
  cr_assert_eq (json_array_size (agent_fixture_events (&w, "run.start")), 2);
  wy_metrics_print (w.metrics, metrics);
  cr_assert_null (strstr (metrics->str, "\nwy_agent_moved_total 0\n"));
  stop (&engine);
}

/* New weights are activated while a response is generated.  Its segments name
   both versions.  */
Test (agent_engine, weight_swap_during_a_response)
{
  struct fixture w;
  struct wy_proc engine;
  struct wy_frame_submit s = long_rollout ();

  start (&w, &engine,
         "tokens_median: 2000\ntokens_sigma: 0.0\ntoken_base_us: 2000\n"
         "activate_ms: 10\nload_lag_ms: 20\n");
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, first_has_output);
  for (int i = 0; i < 2; i++)
    {
      agent_fixture_send_order (&w, 1, "o", WY_ORDER_STAGE, 3, 2);
      agent_fixture_run_ms (&w, 60);
    }
  agent_fixture_send_order (&w, 1, "o", WY_ORDER_ACTIVATE, 3, 2);
  agent_fixture_run_until (&w, new_version);
  agent_fixture_run_until (&w, first_ended);
  check_complete (&w.entry[0]);
  cr_assert_eq (w.entry[0].end.n_segments, 2);
  cr_assert_eq (w.entry[0].segments[0].version, 1);
  cr_assert_eq (w.entry[0].segments[1].version, 2);
  stop (&engine);
}

/* A request that crashes every engine that runs it.  The run is reported as
   crashed and the target as down; the agent and its other connections stay
   up.  */
Test (agent_engine, request_that_crashes_its_engine)
{
  struct fixture w;
  struct wy_proc engine;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");
  int status = 0;

  start (&w, &engine, "");
  g_free (wy_fetch_text (wy_proc_port (&engine, "http"), "POST", "/fault",
                         "{\"fault\":\"crash_on\",\"value\":\"poison\"}", NULL,
                         &status));
  cr_assert_eq (status, 200);
  s.body = wy_bytes_of ("{\"model\":\"pattern\",\"prompt\":\"poison\"}");
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_CRASHED);
  cr_assert_eq (w.entry[0].end.ran, WY_RAN_UNKNOWN);
  agent_fixture_run_until (&w, target_down);
  cr_assert_eq (w.entry[1].closed, 0);
  wy_proc_wait (&engine);
}

struct page
{
  struct fixture *w;
  char *text;
  int status;
};

static void
on_page (void *ctx, const struct wy_http_response *a)
{
  struct page *p = ctx;

  p->status = a->status;
  p->text = g_strdup (a->body);
  uv_stop (&p->w->loop);
}

static char *
read_page (struct fixture *w, const char *path, int *status)
{
  struct page p = { .w = w };
  struct wy_http_client *client = wy_http_client_new (&w->loop, 5000);
  struct wy_http_call_options o = { .method = "GET",
                                    .host = "127.0.0.1",
                                    .port = wy_agent_http_port (w->agent),
                                    .path = path };

  wy_http_fetch (client, &o, on_page, &p);
  uv_run (&w->loop, UV_RUN_DEFAULT);
  *status = p.status;
  return p.text;
}

/* Health checks and metrics of a target that is up, and after it was
   drained.  */
Test (agent_engine, health_and_metrics)
{
  struct fixture w;
  struct wy_proc engine;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");
  char *text;
  int status;

  start (&w, &engine, "token_base_us: 500\n");
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, first_ended);
  g_free (read_page (&w, "/healthz", &status));
  cr_assert_eq (status, 200);
  g_free (read_page (&w, "/readyz", &status));
  cr_assert_eq (status, 200);
  text = read_page (&w, "/metrics", &status);
  cr_assert_not_null (strstr (text, "\nwy_agent_started_total 1\n"));
  cr_assert_not_null (strstr (text, "\nwy_agent_ended_done_total 1\n"));
  cr_assert_not_null (strstr (text, "\nwy_agent_target_up 1\n"));
  agent_fixture_send_order (&w, 0, "o", WY_ORDER_DRAIN, 0, 0);
  agent_fixture_run_ms (&w, 50);
  g_free (read_page (&w, "/readyz", &status));
  cr_assert_eq (status, 503);
  stop (&engine);
}
