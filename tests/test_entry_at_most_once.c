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
send_filing (struct caller *c, struct fixture *w)
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

/* Retries of a request go to the same target each time, the only one that can
   know whether it ran.  */
Test (entry_at_most_once, retries_reach_the_same_target)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 5; i++)
    {
      send_filing (&c, &w);
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

/* The target fails after it accepted the request and before it responded.
   Whether the request ran can't be known; guards against reporting `not run'
   and against a retry at another target, which would both lead to a second
   execution.  */
Test (entry_at_most_once, home_fails_after_accepting_the_request)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  send_filing (&c, &w);
  fixture_run_until (&w, submitted, &w);
  fake_agent_stop (home (&w));
  expect_unknown (&c);
  cr_assert_eq (submits (&w), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* The same, but the agent is back at once as a new incarnation without
   records.  Guards against submitting the request to it again.  */
Test (entry_at_most_once, home_restarted_as_new_incarnation)
{
  struct fixture w;
  struct caller c;
  struct fake_agent again = { 0 };
  struct fake_agent *first;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  send_filing (&c, &w);
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

/* The home of a key is disconnected when the request arrives.  The key may
   have been sent through another entry before, so this entry can't report `not
   run'.  A request without a key can't have been, and goes to another
   member.  */
Test (entry_at_most_once, home_disconnected)
{
  struct fixture w;
  struct caller c;
  struct fake_agent *lost;

  fixture_start (&w, 3, true);
  send_filing (&c, &w);
  call_wait (&c);
  call_free (&c);
  lost = home (&w);
  fake_agent_stop (lost);
  fixture_run_ms (&w, 100);
  send_filing (&c, &w);
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

/* The connection to the home goes silent after the request was accepted.  The
   response must arrive on the next connection, after a single run.  */
Test (entry_at_most_once, response_resumed_after_silence)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  send_filing (&c, &w);
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

/* The request itself is lost on the connection to the home.  The same
   incarnation of the home, asked on the next connection, has no record of it,
   so it may be sent again; it must run once.  */
Test (entry_at_most_once, request_lost_in_transit)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    relay_discard (w.relay[i], true, false);
  send_filing (&c, &w);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  cr_assert_eq (submits (&w), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* The response may be lost between entry and caller.  Guards against an
   acknowledgement before the caller had time to retry, which would discard the
   response.  Without a key it can't be asked for and is acknowledged at
   once.  */
Test (entry_at_most_once, response_kept_for_a_retry)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  send_filing (&c, &w);
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

/* The home refuses and proves that the request did not run.  The caller must
   be told so, and no other target asked.  */
Test (entry_at_most_once, home_refuses)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = refuse;
  send_filing (&c, &w);
  call_wait (&c);
  cr_assert_eq (c.status, 503);
  cr_assert (call_body_contains (&c, "\"ran\":\"no\""), "%s", c.body->str);
  cr_assert (call_body_contains (&c, "\"reason\":\"busy\""));
  cr_assert_str_eq (c.retry_after, "2");
  cr_assert_eq (submits (&w), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* A caller retries while the request still runs.  Both must get the response
   of the one run; a different request under the same key must be rejected.  */
Test (entry_at_most_once, retry_while_running)
{
  struct fixture w;
  struct caller first;
  struct caller second;
  struct caller other;
  struct fake_run *r;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  send_filing (&first, &w);
  fixture_run_until (&w, submitted, &w);
  send_filing (&second, &w);
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

/* The caller disconnects while a non-idempotent request runs.  It must not be
   cancelled, since nobody would know how far it got.  */
Test (entry_at_most_once, caller_disconnects)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  send_filing (&c, &w);
  fixture_run_until (&w, submitted, &w);
  wy_http_call_cancel (c.call);
  fixture_run_ms (&w, 800);
  cr_assert_eq (home (&w)->cancels, 0);
  cr_assert_eq (fixture_count_events (&w, "request.abandoned"), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* The caller loses its connection while the response arrives, and retries.  It
   must get the complete response of the one run.  */
Test (entry_at_most_once, caller_disconnects_and_retries)
{
  struct fixture w;
  struct caller first;
  struct caller again;
  struct fake_run *r;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = accept_only;
  send_filing (&first, &w);
  fixture_run_until (&w, submitted, &w);
  wy_http_call_cancel (first.call);
  fixture_run_ms (&w, 700);
  r = g_hash_table_lookup (home (&w)->runs, "portal:f-17");
  fake_send_head (home (&w), r, 200, "text/plain");
  fake_send_chunk (home (&w), r, 0, 2);
  fixture_run_ms (&w, 50);
  send_filing (&again, &w);
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
send_outcome_done (struct fake_agent *a, const struct wy_frame *f)
{
  struct wy_frame out = { .kind = WY_FRAME_OUTCOME };

  out.u.end.id = f->u.resume.id;
  out.u.end.run = wy_bytes_of ("run-9");
  out.u.end.result = WY_RUN_DONE;
  out.u.end.ran = WY_RAN_YES;
  wy_conn_send (a->conn, &out);
}

/* A caller that was told `unknown' queries the outcome later, through any
   entry; the home knows it.  */
Test (entry_at_most_once, outcome_by_identifier)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, true);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_query = send_outcome_done;
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
