/* An agent beside a model engine: runs, resumes, crashes, pauses.  */
#include <criterion/criterion.h>
#include <string.h>

#include <jansson.h>

#include "base/id.h"
#include "support/agent_world.h"

static bool
one_call (struct world *w)
{
  return w->n_calls >= 1;
}

static bool
two_calls (struct world *w)
{
  return w->n_calls >= 2;
}

static bool
first_ended (struct world *w)
{
  return w->entry[0].ends > 0;
}

static bool
second_ended (struct world *w)
{
  return w->entry[1].ends > 0;
}

static bool
some_body (struct world *w)
{
  return w->entry[0].body->len > 0;
}

static bool
first_refused (struct world *w)
{
  return w->entry[0].refused > 0;
}

static bool
has_stopped (struct world *w)
{
  return w->stopped;
}

static void
check_whole (const struct peer *p)
{
  cr_assert_eq (p->end.result, WY_RUN_DONE);
  cr_assert_eq (p->end.ran, WY_RAN_YES);
  cr_assert_not (p->gap);
  cr_assert_eq (p->end.total_bytes, p->body->len);
  cr_assert_eq (p->end.digest, wy_hash64 (p->body->data, p->body->len, 0));
}

Test (agent_model, answer_with_its_versions)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");
  json_t *starts;

  agent_world_init (&w, WY_TARGET_MODEL);
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 10);
  w.version = 8;
  agent_world_tokens (&w, 0, 5);
  agent_world_finish (&w, 0);
  agent_world_until (&w, first_ended);
  check_whole (&w.entry[0]);
  cr_assert_eq (w.entry[0].status, 200);
  cr_assert_eq (w.entry[0].end.tokens, 15);
  cr_assert_eq (w.entry[0].end.n_segments, 2);
  cr_assert_eq (w.entry[0].segments[0].version, 7);
  cr_assert_eq (w.entry[0].segments[0].to, 10);
  cr_assert_eq (w.entry[0].segments[1].version, 8);
  cr_assert_eq (w.entry[0].segments[1].to, 15);
  cr_assert_str_eq (w.entry[0].end_run, w.calls[0].run);
  starts = agent_world_events (&w, "run.start");
  cr_assert_eq (json_array_size (starts), 1);
  cr_assert_eq (json_array_size (agent_world_events (&w, "run.end")), 1);
}

/* The connection to the entry is lost in the middle of an answer.  The entry
   dials anew and asks from where it was; the caller sees one answer, whole
   and from one run.  */
Test (agent_model, resume_at_the_offset)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");
  char *run;

  agent_world_init (&w, WY_TARGET_MODEL);
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 10);
  agent_world_until (&w, some_body);
  agent_world_cut (&w, 0);
  agent_world_tokens (&w, 0, 10);
  agent_world_dial (&w, 0);
  agent_world_until (&w, agent_world_entries_ready);
  run = w.calls[0].run;
  agent_world_send (&w, 0, WY_FRAME_RESUME, "r1", run, w.entry[0].body->len);
  agent_world_tokens (&w, 0, 10);
  agent_world_finish (&w, 0);
  agent_world_until (&w, first_ended);
  check_whole (&w.entry[0]);
  cr_assert_eq (w.entry[0].end.tokens, 30);
  cr_assert_eq (w.n_calls, 1);
}

/* The same request comes by two entries while it runs.  It runs once, and
   both get the whole of it.  */
Test (agent_model, second_sending_joins_the_run)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");

  agent_world_init (&w, WY_TARGET_MODEL);
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 10);
  agent_world_until (&w, some_body);
  agent_world_send_submit (&w, 1, &s);
  agent_world_tokens (&w, 0, 10);
  agent_world_finish (&w, 0);
  agent_world_until (&w, first_ended);
  agent_world_until (&w, second_ended);
  check_whole (&w.entry[0]);
  check_whole (&w.entry[1]);
  cr_assert_eq (w.n_calls, 1);
  cr_assert_eq (w.entry[1].accepted, 1);
}

/* The engine dies in the middle of a stream.  The entry is told that the run
   crashed, and may run the request again; the broken part is of no use.  */
Test (agent_model, engine_dies_in_the_middle)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");

  agent_world_init (&w, WY_TARGET_MODEL);
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 10);
  agent_world_until (&w, some_body);
  w.incarnation = "engine-b";
  w.version = 3;
  wy_http_stream_abort (w.calls[0].ex);
  agent_world_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_CRASHED);
  cr_assert_eq (w.entry[0].end.ran, WY_RAN_UNKNOWN);
  cr_assert_eq (w.entry[0].end.n_segments, 0);
  /* The entry goes elsewhere and owes no word about it: a stop later on is
     not held up and cuts nothing.  */
  wy_agent_stop (w.agent);
  agent_world_until (&w, has_stopped);
  cr_assert_eq (w.cut, 0);
}

static bool
version_is_old (struct world *w)
{
  return w->entry[0].load.version == 3;
}

/* An engine restarts between two looks of the agent, with the weights it was
   built with.  A sample that was under way by then, and whose connection
   still lived, names no versions, so that it is not used; entries learn of
   the old version.  */
Test (agent_model, engine_restarts_with_old_weights)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");
  json_t *versions;

  agent_world_init (&w, WY_TARGET_MODEL);
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 10);
  w.incarnation = "engine-b";
  w.version = 3;
  agent_world_until (&w, version_is_old);
  agent_world_tokens (&w, 0, 1);
  agent_world_finish (&w, 0);
  agent_world_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_DONE);
  cr_assert_eq (w.entry[0].end.n_segments, 0);
  versions = agent_world_events (&w, "target.version");
  cr_assert_eq (json_array_size (versions), 2);
}

/* An engine mixes two streams up: a token of another run arrives.  The run
   ends there, before the foreign text goes on to the caller.  */
Test (agent_model, token_of_another_run)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");

  agent_world_init (&w, WY_TARGET_MODEL);
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 2);
  w.calls[0].run = g_strdup ("foreign");
  agent_world_tokens (&w, 0, 1);
  agent_world_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_FAILED);
  cr_assert_eq (w.entry[0].end.tokens, 2);
  cr_assert_null (g_strstr_len ((char *)w.entry[0].body->data,
                                w.entry[0].body->len, "foreign"));
}

/* A target that can't be reached takes no work.  The refusal says "not run",
   which is proven, and the entry goes elsewhere at once.  */
Test (agent_model, target_away)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");

  agent_world_init (&w, WY_TARGET_MODEL);
  agent_world_start (&w);
  w.target_away = true;
  agent_world_for_ms (&w, 100);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, first_refused);
  cr_assert_eq (w.entry[0].refused_ran, WY_RAN_NO);
  cr_assert_eq (w.entry[0].reason, WY_REFUSED_BUSY);
  cr_assert_gt (w.entry[0].retry_after_ms, 0);
  cr_assert_eq (w.n_calls, 0);
}

static bool
was_paused (struct world *w)
{
  return strstr (w->controls->str, "/control/pause") != NULL;
}

static bool
was_resumed (struct world *w)
{
  return strstr (w->controls->str, "/control/resume") != NULL;
}

/* A rollout fills the target when a caller comes.  The rollout stands still
   until the caller is served, and then ends whole.  */
Test (agent_model, rollout_gives_way_to_a_caller)
{
  struct world w;
  struct wy_frame_submit rollout = agent_world_submit_model ("sample");
  struct wy_frame_submit caller = agent_world_submit_model ("caller");

  agent_world_init (&w, WY_TARGET_MODEL);
  w.s.concurrency = 1;
  w.s.shared_streams = 1;
  rollout.request_class = WY_REQUEST_ROLLOUT;
  rollout.trainer = wy_bytes_of ("levels");
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &rollout);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 3);
  agent_world_send_submit (&w, 1, &caller);
  agent_world_until (&w, two_calls);
  agent_world_until (&w, was_paused);
  agent_world_tokens (&w, 1, 4);
  agent_world_finish (&w, 1);
  agent_world_until (&w, second_ended);
  check_whole (&w.entry[1]);
  agent_world_until (&w, was_resumed);
  agent_world_tokens (&w, 0, 3);
  agent_world_finish (&w, 0);
  agent_world_until (&w, first_ended);
  check_whole (&w.entry[0]);
  cr_assert_eq (w.entry[0].end.tokens, 6);
  cr_assert_eq (json_array_size (agent_world_events (&w, "run.paused")), 1);
  cr_assert_eq (json_array_size (agent_world_events (&w, "run.resumed")), 1);
}

static bool
was_cancelled (struct world *w)
{
  return strstr (w->controls->str, "/control/cancel") != NULL;
}

/* The entry of a caller dies and nobody asks for the answer any more.  After
   a grace the engine is told to stop, so that it works for those who still
   wait.  */
Test (agent_model, abandoned_run_is_cancelled)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");

  agent_world_init (&w, WY_TARGET_MODEL);
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 1);
  agent_world_until (&w, some_body);
  agent_world_cut (&w, 0);
  agent_world_until (&w, was_cancelled);
  cr_assert_eq (json_array_size (agent_world_events (&w, "run.end")), 1);
}

/* A stream stops bringing tokens though its connection is open: something has
   lost track of it.  It counts as crashed.  */
Test (agent_model, silent_stream_counts_as_crashed)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");

  agent_world_init (&w, WY_TARGET_MODEL);
  w.s.target_silence_ms = 100;
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, one_call);
  agent_world_tokens (&w, 0, 1);
  agent_world_until (&w, first_ended);
  cr_assert_eq (w.entry[0].end.result, WY_RUN_CRASHED);
}

/* A rollout is to generate with a version that this engine hasn't yet.  */
Test (agent_model, version_not_served)
{
  struct world w;
  struct wy_frame_submit s = agent_world_submit_model ("r1");

  agent_world_init (&w, WY_TARGET_MODEL);
  s.min_version = 9;
  agent_world_start (&w);
  agent_world_send_submit (&w, 0, &s);
  agent_world_until (&w, first_refused);
  cr_assert_eq (w.entry[0].reason, WY_REFUSED_VERSION);
  cr_assert_eq (w.entry[0].refused_ran, WY_RAN_NO);
}
