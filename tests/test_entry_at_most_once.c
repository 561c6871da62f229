/* Requests that may run at most once.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/entry_fixture.h"

static const struct wy_http_header_field filing[]
    = { { "waxwing-idempotent", "no" },
        { "idempotency-key", "f-17" },
        { "waxwing-issued-at", "1700000000000" } };
static const struct wy_http_header_field keyless[]
    = { { "waxwing-idempotent", "no" } };

static void
file (struct caller *c, struct fixture *w)
{
  call_start (c, w, "POST", "/services/portal/filings", filing,
              G_N_ELEMENTS (filing), "{}");
}

static uint32_t
submits (const struct fixture *w)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < w->agents; i++)
    n += w->agent[i].submits;
  return n;
}

static struct fake_agent *
home (struct fixture *w)
{
  for (uint32_t i = 0; i < w->agents; i++)
    if (w->agent[i].submits)
      return &w->agent[i];
  return NULL;
}

static bool
submitted (void *ctx)
{
  return submits (ctx) == 1;
}

static void
accept_only (struct fake_agent *a, const struct wy_frame *f)
{
  fake_accept (a, f, "run-1", "done");
}

static void
expect_unknown (struct caller *c)
{
  call_wait (c);
  cr_assert_geq (c->status, 500);
  cr_assert (call_body_contains (c, "\"ran\":\"unknown\""), "%s",
             c->body->str);
  cr_assert_not_null (c->retry_after);
}

/* The same filing sent again and again reaches the same target each time, the
   only one that can know whether it ran.  */
Test (entry_once, resends_meet_the_same_target)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 5; i++)
    {
      file (&c, &w);
      call_wait (&c);
      cr_assert_eq (c.status, 200);
      call_free (&c);
    }
  cr_assert_eq (home (&w)->submits, 5);
  cr_assert_eq (submits (&w), 5);
  cr_assert_str_eq (home (&w)->last_id, "portal:f-17");
  cr_assert (home (&w)->last.non_idempotent);
  cr_assert_eq (home (&w)->last.issued_ms, 1700000000000);
  fixture_stop (&w);
}

/* The target dies after it took the filing and before it answered.  Whether
   the filing ran can't be known; saying `not run' would make the caller file
   it twice, and so would another target.  */
Test (entry_once, home_lost_after_it_took_the_request)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  file (&c, &w);
  fixture_run_until (&w, submitted, &w);
  fake_agent_stop (home (&w));
  expect_unknown (&c);
  cr_assert_eq (submits (&w), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* The same, but the target's agent is back at once as a new incarnation that
   remembers nothing.  It must not be given the filing anew.  */
Test (entry_once, home_back_as_a_new_incarnation)
{
  struct fixture w;
  struct caller c;
  struct fake_agent again = { 0 };
  struct fake_agent *first;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  file (&c, &w);
  fixture_run_until (&w, submitted, &w);
  first = home (&w);
  fake_agent_stop (first);
  fake_agent_start (&again, &w.loop, first->name, "second", first->port);
  expect_unknown (&c);
  cr_assert_eq (again.submits, 0);
  cr_assert_eq (submits (&w), 1);
  call_free (&c);
  fake_agent_stop (&again);
  fixture_stop (&w);
  fake_agent_free (&again);
}

/* The only target for a key is away when the filing comes.  The key may have
   been sent through another entry before, so this one can't say `not run';
   a filing without a key can't have been, and goes to another member.  */
Test (entry_once, home_away)
{
  struct fixture w;
  struct caller c;
  struct fake_agent *lost;

  fixture_start (&w, 3, true);
  file (&c, &w);
  call_wait (&c);
  call_free (&c);
  lost = home (&w);
  fake_agent_stop (lost);
  fixture_run_ms (&w, 100);
  file (&c, &w);
  expect_unknown (&c);
  call_free (&c);
  for (int i = 0; i < 10; i++)
    {
      call_start (&c, &w, "POST", "/services/portal/filings", keyless, 1,
                  "{}");
      call_wait (&c);
      cr_assert_eq (c.status, 200, "%s", c.body->str);
      call_free (&c);
    }
  cr_assert_eq (lost->submits, 1);
  fixture_stop (&w);
}

/* The connection to the home goes silent after it took the filing.  The
   answer is learnt on the next connection, and the filing runs once.  */
Test (entry_once, answer_learnt_after_silence)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  file (&c, &w);
  fixture_run_until (&w, submitted, &w);
  for (int i = 0; i < 3; i++)
    relay_discard (w.relay[i], true, true);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  cr_assert_str_eq (c.body->str, "done");
  cr_assert_eq (submits (&w), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* The connection swallows the filing itself on its way to the home.  The home,
   asked on the next connection by the same incarnation, knows nothing of it,
   so it may be given to it again; it runs once.  */
Test (entry_once, request_swallowed_on_the_way)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    relay_discard (w.relay[i], true, false);
  file (&c, &w);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  cr_assert_eq (submits (&w), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* The answer of a filing may be lost between entry and caller.  Until the
   caller has had time to send it again the home must keep the answer; that of
   a request without a key can't be asked for and is let go at once.  */
Test (entry_once, answer_is_kept_for_a_resend)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  file (&c, &w);
  call_wait (&c);
  call_free (&c);
  fixture_run_ms (&w, 50);
  cr_assert_eq (home (&w)->acks, 0);
  call_start (&c, &w, "POST", "/services/portal/filings", keyless, 1, "{}");
  call_wait (&c);
  call_free (&c);
  fixture_run_ms (&w, 50);
  cr_assert_eq (w.agent[0].acks + w.agent[1].acks + w.agent[2].acks, 1);
  fixture_stop (&w);
}

static void
refuse (struct fake_agent *a, const struct wy_frame *f)
{
  char *id = wy_bytes_dup (f->u.submit.id);

  fake_send_refused (a, id, WY_RAN_NO, WY_REFUSED_BUSY, 1500);
  g_free (id);
}

/* The home refuses and vouches that the filing did not run.  That is passed
   on, and no other target is asked.  */
Test (entry_once, refusal_of_the_home)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = refuse;
  file (&c, &w);
  call_wait (&c);
  cr_assert_eq (c.status, 503);
  cr_assert (call_body_contains (&c, "\"ran\":\"no\""), "%s", c.body->str);
  cr_assert (call_body_contains (&c, "\"reason\":\"busy\""));
  cr_assert_str_eq (c.retry_after, "2");
  cr_assert_eq (submits (&w), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* An impatient caller sends the filing again while it still runs.  Both
   sendings get the answer of the one run; another filing under the same key
   is told that the key is taken.  */
Test (entry_once, sent_again_while_it_runs)
{
  struct fixture w;
  struct caller first;
  struct caller second;
  struct caller other;
  struct fake_run *r;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  file (&first, &w);
  fixture_run_until (&w, submitted, &w);
  file (&second, &w);
  call_start (&other, &w, "POST", "/services/portal/filings", filing,
              G_N_ELEMENTS (filing), "{\"other\":1}");
  call_wait (&other);
  cr_assert_eq (other.status, 422);
  r = g_hash_table_lookup (home (&w)->runs, "portal:f-17");
  fake_send_head (home (&w), r, 200, "text/plain");
  fake_send_chunk (home (&w), r, 0, 4);
  fake_send_end (home (&w), r, WY_RUN_DONE);
  call_wait (&first);
  call_wait (&second);
  cr_assert_str_eq (first.body->str, "done");
  cr_assert_str_eq (second.body->str, "done");
  cr_assert_eq (submits (&w), 1);
  call_free (&first);
  call_free (&second);
  call_free (&other);
  fixture_stop (&w);
}

/* The caller of a filing goes away while it runs.  Cancelling it halfway would
   leave nobody knowing how far it got, so it goes on.  */
Test (entry_once, caller_gone)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  file (&c, &w);
  fixture_run_until (&w, submitted, &w);
  wy_http_call_cancel (c.call);
  fixture_run_ms (&w, 800);
  cr_assert_eq (home (&w)->cancels, 0);
  cr_assert_eq (fixture_count_events (&w, "request.abandoned"), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* The caller of a filing loses its connection while the answer arrives, and
   sends the filing again.  It must get the whole answer of the one run.  */
Test (entry_once, caller_gone_and_back)
{
  struct fixture w;
  struct caller first;
  struct caller again;
  struct fake_run *r;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  file (&first, &w);
  fixture_run_until (&w, submitted, &w);
  wy_http_call_cancel (first.call);
  fixture_run_ms (&w, 700);
  r = g_hash_table_lookup (home (&w)->runs, "portal:f-17");
  fake_send_head (home (&w), r, 200, "text/plain");
  fake_send_chunk (home (&w), r, 0, 2);
  fixture_run_ms (&w, 50);
  file (&again, &w);
  fixture_run_ms (&w, 50);
  fake_send_chunk (home (&w), r, 2, 4);
  fake_send_end (home (&w), r, WY_RUN_DONE);
  call_wait (&again);
  cr_assert_eq (again.status, 200, "%s", again.body->str);
  cr_assert_str_eq (again.body->str, "done");
  cr_assert_eq (submits (&w), 1);
  call_free (&first);
  call_free (&again);
  fixture_stop (&w);
}

static void
tell_done (struct fake_agent *a, const struct wy_frame *f)
{
  struct wy_frame out = { .kind = WY_FRAME_OUTCOME };

  out.u.end.id = f->u.resume.id;
  out.u.end.run = wy_bytes_of ("run-9");
  out.u.end.result = WY_RUN_DONE;
  out.u.end.ran = WY_RAN_YES;
  wy_conn_send (a->conn, &out);
}

/* A caller that was told `unknown' asks later, through any entry, what became
   of its filing.  The home knows.  */
Test (entry_once, outcome_by_identifier)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_query = tell_done;
  call_start (&c, &w, "GET", "/v1/requests/portal:f-17", NULL, 0, "");
  call_wait (&c);
  cr_assert_eq (c.status, 200);
  cr_assert (call_body_contains (&c, "\"state\":\"done\""), "%s", c.body->str);
  cr_assert (call_body_contains (&c, "\"ran\":\"yes\""));
  call_free (&c);
  for (int i = 0; i < 3; i++)
    {
      w.agent[i].on_query = NULL;
      fake_agent_stop (&w.agent[i]);
    }
  fixture_run_ms (&w, 50);
  call_start (&c, &w, "GET", "/v1/requests/portal:f-18", NULL, 0, "");
  call_wait (&c);
  cr_assert (call_body_contains (&c, "\"ran\":\"unknown\""), "%s",
             c.body->str);
  call_free (&c);
  fixture_stop (&w);
}
