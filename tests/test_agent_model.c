/* An agent with a model engine: runs, resumes, crashes, pauses.  */
#include <criterion/criterion.h>
#include <string.h>

#include <jansson.h>

#include "base/id.h"
#include "support/agent_fixture.h"

static bool
one_call (struct fixture *w)
{
  return w->n_calls >= 1;
}

static bool
two_calls (struct fixture *w)
{
  return w->n_calls >= 2;
}

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
first_refused (struct fixture *w)
{
  return w->entry[0].refused > 0;
}

static bool
has_stopped (struct fixture *w)
{
  return w->stopped;
}

static void
check_complete (const struct peer *p)
{
  cr_assert_eq (p->end.result, WY_RUN_DONE);
  cr_assert_eq (p->end.ran, WY_RAN_YES);
  cr_assert_not (p->gap);
  cr_assert_eq (p->end.total_bytes, p->body->len);
  cr_assert_eq (p->end.digest, wy_hash64 (p->body->data, p->body->len, 0));
}

Test (agent_model, response_with_its_versions)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");
  json_t *starts;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 10);
  w.version = 8;
  agent_fixture_send_tokens (&w, 0, 5);
  agent_fixture_send_end (&w, 0);
  agent_fixture_run_until (&w, first_ended);
  check_complete (&w.entry[0]);
  cr_assert_eq (w.entry[0].status, 200);
  cr_assert_eq (w.entry[0].end.tokens, 15);
  cr_assert_eq (w.entry[0].end.n_segments, 2);
  cr_assert_eq (w.entry[0].segments[0].version, 7);
  cr_assert_eq (w.entry[0].segments[0].to, 10);
  cr_assert_eq (w.entry[0].segments[1].version, 8);
  cr_assert_eq (w.entry[0].segments[1].to, 15);
  cr_assert_str_eq (w.entry[0].end_run, w.calls[0].run);
  starts = agent_fixture_events (&w, "run.start");
  cr_assert_eq (json_array_size (starts), 1);
  cr_assert_eq (json_array_size (agent_fixture_events (&w, "run.end")), 1);
}

/* The connection to the entry is lost during a response.  The entry reconnects
   and resumes at its offset; the caller receives one complete response of one
   run.  */
Test (agent_model, resume_at_the_offset)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");
  char *run;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 10);
  agent_fixture_run_until (&w, first_has_output);
  agent_fixture_disconnect (&w, 0);
  agent_fixture_send_tokens (&w, 0, 10);
  agent_fixture_connect (&w, 0);
  agent_fixture_run_until (&w, agent_fixture_entries_ready);
  run = w.calls[0].run;
  agent_fixture_send_frame (&w, 0, WY_FRAME_RESUME, "r1", run,
                            w.entry[0].body->len);
  agent_fixture_send_tokens (&w, 0, 10);
  agent_fixture_send_end (&w, 0);
  agent_fixture_run_until (&w, first_ended);
  check_complete (&w.entry[0]);
  cr_assert_eq (w.entry[0].end.tokens, 30);
  cr_assert_eq (w.n_calls, 1);
}

/* The same request arrives through two entries while it runs.  It runs once,
   and both receive the complete response.  */
Test (agent_model, second_attempt_joins_the_run)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 10);
  agent_fixture_run_until (&w, first_has_output);
  agent_fixture_send_submit (&w, 1, &s);
  agent_fixture_send_tokens (&w, 0, 10);
  agent_fixture_send_end (&w, 0);
  agent_fixture_run_until (&w, first_ended);
  agent_fixture_run_until (&w, second_ended);
  check_complete (&w.entry[0]);
  check_complete (&w.entry[1]);
  cr_assert_eq (w.n_calls, 1);
  cr_assert_eq (w.entry[1].accepted, 1);
}

/* The engine fails during a stream.  The entry is told that the run crashed,
   and may run the request again; the partial response is discarded.  */
Test (agent_model, engine_fails_during_a_stream)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 10);
  agent_fixture_run_until (&w, first_has_output);
  w.incarnation = "engine-b";
  w.version = 3;
  wy_http_stream_abort (w.calls[0].ex);
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_CRASHED);
  cr_assert_eq (w.entry[0].end.ran, WY_RAN_UNKNOWN);
  cr_assert_eq (w.entry[0].end.n_segments, 0);
  /* The entry retries elsewhere and doesn't acknowledge this run.  A later
     stop must not wait for it or count it as aborted.  */
  wy_agent_stop (w.agent);
  agent_fixture_run_until (&w, has_stopped);
  cr_assert_eq (w.cut, 0);
}

static bool
version_is_old (struct fixture *w)
{
  return w->entry[0].load.version == 3;
}

/* An engine restarts between two polls of the agent, with its initial weights.
   A sample in progress whose connection is still open gets no weight versions,
   so that it isn't used; entries are told the old version.  */
Test (agent_model, engine_restarts_with_old_weights)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");
  json_t *versions;

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 10);
  w.incarnation = "engine-b";
  w.version = 3;
  agent_fixture_run_until (&w, version_is_old);
  agent_fixture_send_tokens (&w, 0, 1);
  agent_fixture_send_end (&w, 0);
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_DONE);
  cr_assert_eq (w.entry[0].end.n_segments, 0);
  versions = agent_fixture_events (&w, "target.version");
  cr_assert_eq (json_array_size (versions), 2);
}

/* An engine confuses two streams, and a token of another run arrives.  The run
   ends before that text reaches the caller.  */
Test (agent_model, token_of_another_run)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 2);
  w.calls[0].run = g_strdup ("foreign");
  agent_fixture_send_tokens (&w, 0, 1);
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_FAILED);
  cr_assert_eq (w.entry[0].end.tokens, 2);
  cr_assert_null (g_strstr_len ((char *)w.entry[0].body->data,
                                w.entry[0].body->len, "foreign"));
}

/* An unreachable target accepts no work.  The rejection says "not run", which
   is proven, so the entry retries elsewhere at once.  */
Test (agent_model, target_unreachable)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  w.load_unavailable = true;
  agent_fixture_run_ms (&w, 100);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, first_refused);
  cr_assert_eq (w.entry[0].refused_ran, WY_RAN_NO);
  cr_assert_eq (w.entry[0].reason, WY_REFUSED_BUSY);
  cr_assert_gt (w.entry[0].retry_after_ms, 0);
  cr_assert_eq (w.n_calls, 0);
}

static bool
was_paused (struct fixture *w)
{
  return strstr (w->control_paths->str, "/control/pause") != NULL;
}

static bool
was_resumed (struct fixture *w)
{
  return strstr (w->control_paths->str, "/control/resume") != NULL;
}

/* A rollout uses the target's only stream when a caller's request arrives.
   The rollout is paused until the request has run, and then completes.  */
Test (agent_model, rollout_is_paused_for_a_caller)
{
  struct fixture w;
  struct wy_frame_submit rollout = agent_fixture_submit_model ("sample");
  struct wy_frame_submit caller = agent_fixture_submit_model ("caller");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  w.s.concurrency = 1;
  w.s.shared_streams = 1;
  rollout.request_class = WY_REQUEST_ROLLOUT;
  rollout.trainer = wy_bytes_of ("levels");
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &rollout);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 3);
  agent_fixture_send_submit (&w, 1, &caller);
  agent_fixture_run_until (&w, two_calls);
  agent_fixture_run_until (&w, was_paused);
  agent_fixture_send_tokens (&w, 1, 4);
  agent_fixture_send_end (&w, 1);
  agent_fixture_run_until (&w, second_ended);
  check_complete (&w.entry[1]);
  agent_fixture_run_until (&w, was_resumed);
  agent_fixture_send_tokens (&w, 0, 3);
  agent_fixture_send_end (&w, 0);
  agent_fixture_run_until (&w, first_ended);
  check_complete (&w.entry[0]);
  cr_assert_eq (w.entry[0].end.tokens, 6);
  cr_assert_eq (json_array_size (agent_fixture_events (&w, "run.paused")), 1);
  cr_assert_eq (json_array_size (agent_fixture_events (&w, "run.resumed")), 1);
}

static bool
was_cancelled (struct fixture *w)
{
  return strstr (w->control_paths->str, "/control/cancel") != NULL;
}

/* The entry of a caller fails and nobody fetches the response.  After
   orphan_grace_ms the run is cancelled on the engine, to free it for
   others.  */
Test (agent_model, orphaned_run_is_cancelled)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 1);
  agent_fixture_run_until (&w, first_has_output);
  agent_fixture_disconnect (&w, 0);
  agent_fixture_run_until (&w, was_cancelled);
  cr_assert_eq (json_array_size (agent_fixture_events (&w, "run.end")), 1);
}

/* A stream sends no more tokens though its connection is open, because its
   state was lost somewhere.  The run counts as crashed.  */
Test (agent_model, silent_stream_counts_as_crashed)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  w.s.target_silence_ms = 100;
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, one_call);
  agent_fixture_send_tokens (&w, 0, 1);
  agent_fixture_run_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_CRASHED);
}

/* A rollout requires a weight version that this engine doesn't have yet.  */
Test (agent_model, version_not_served)
{
  struct fixture w;
  struct wy_frame_submit s = agent_fixture_submit_model ("r1");

  agent_fixture_init (&w, WY_TARGET_MODEL);
  s.min_version = 9;
  agent_fixture_start (&w);
  agent_fixture_send_submit (&w, 0, &s);
  agent_fixture_run_until (&w, first_refused);
  cr_assert_eq (w.entry[0].reason, WY_REFUSED_VERSION);
  cr_assert_eq (w.entry[0].refused_ran, WY_RAN_NO);
}
