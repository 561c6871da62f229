/* Targets that refuse, leave, crash or change, and the stop of the entry.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/entry_fixture.h"

#define UNSTREAMED "{\"model\":\"m\",\"prompt\":\"hello\",\"max_tokens\":2}"

static const struct wy_http_header_field operator[] = { { "authorization",
                                                          "Bearer op" } };
static const struct wy_http_header_field trainer[]
    = { { "authorization", "Bearer tr" } };

static void
complete (struct caller *c, struct fixture *w)
{
  call_start (c, w, "POST", "/v1/completions", NULL, 0, UNSTREAMED);
}

static uint32_t
submits (const struct fixture *w)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < w->agents; i++)
    n += w->agent[i].submits;
  return n;
}

static void
refuse (struct fake_agent *a, const struct wy_frame *f)
{
  char *id = wy_bytes_dup (f->u.submit.id);

  fake_send_refused (a, id, WY_RAN_NO, WY_REFUSED_BUSY, 1500);
  g_free (id);
}

static void
refuse_first (struct fake_agent *a, const struct wy_frame *f)
{
  if (submits (a->test) == 1)
    refuse (a, f);
  else
    fake_send_response (a, f);
}

/* A target at capacity refuses a request.  The caller must not notice while
   another target has capacity.  */
Test (entry_targets, refused_then_retried_elsewhere)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 2, false);
  w.agent[0].on_submit = refuse_first;
  w.agent[1].on_submit = refuse_first;
  complete (&c, &w);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  cr_assert_eq (w.agent[0].submits, 1);
  cr_assert_eq (w.agent[1].submits, 1);
  call_free (&c);
  fixture_stop (&w);
}

/* All targets are at capacity.  The caller gets the rejection, proven `not
   run', with Retry-After; no target is asked twice.  */
Test (entry_targets, all_targets_refuse)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 3, false);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = refuse;
  complete (&c, &w);
  call_wait (&c);
  cr_assert_eq (c.status, 503);
  cr_assert (call_body_contains (&c, "\"ran\":\"no\""), "%s", c.body->str);
  cr_assert_str_eq (c.retry_after, "2");
  for (int i = 0; i < 3; i++)
    cr_assert_leq (w.agent[i].submits, 1);
  cr_assert_eq (fixture_count_events (&w, "request.refused"), 1);
  call_free (&c);
  fixture_stop (&w);
}

/* All targets are at capacity for a while.  Retrying each request at each
   target would multiply the overload, so the retries of all requests together
   are bounded.  */
Test (entry_targets, retries_share_a_budget)
{
  enum
  {
    CALLS = 60
  };
  struct fixture w;
  struct caller c;

  fixture_start_with (&w, 2, false, "retry_burst: 5\nretry_percent: 10\n");
  w.agent[0].on_submit = refuse;
  w.agent[1].on_submit = refuse;
  for (int i = 0; i < CALLS; i++)
    {
      complete (&c, &w);
      call_wait (&c);
      cr_assert_eq (c.status, 503);
      call_free (&c);
    }
  cr_assert_leq (submits (&w), CALLS + 5 + CALLS / 10);
  fixture_stop (&w);
}

static void
send_leaving (struct fake_agent *a)
{
  struct wy_frame f = { .kind = WY_FRAME_LEAVING };

  a->load.leaving = true;
  wy_conn_send (a->conn, &f);
}

enum leave
{
  LEAVE_BY_FRAME,
  LEAVE_BY_LOAD,
  LEAVE_BY_LIST,
  LEAVE_UNLISTED
};

static void
leave (struct fixture *w, enum leave how)
{
  switch (how)
    {
    case LEAVE_BY_FRAME:
      send_leaving (&w->agent[0]);
      return;
    case LEAVE_BY_LOAD:
      w->agent[0].load.leaving = true;
      return;
    case LEAVE_BY_LIST:
      w->leaving[0] = true;
      return;
    case LEAVE_UNLISTED:
      w->unlisted[0] = true;
      return;
    }
}

/* A target reports that it is leaving, or only the lagging list shows it, or
   the list no longer names it.  It must get no new work, and callers must not
   notice.  */
Test (entry_targets, leaving)
{
  struct fixture w;
  struct caller c;
  uint32_t before;

  for (int how = LEAVE_BY_FRAME; how <= LEAVE_UNLISTED; how++)
    {
      fixture_start (&w, 2, false);
      leave (&w, (enum leave)how);
      fixture_run_ms (&w, 400);
      before = w.agent[0].submits;
      for (int i = 0; i < 20; i++)
        {
          complete (&c, &w);
          call_wait (&c);
          cr_assert_eq (c.status, 200, "how %d: %s", how, c.body->str);
          call_free (&c);
        }
      cr_assert_eq (w.agent[0].submits, before, "how %d", how);
      fixture_stop (&w);
    }
}

/* The instance list is unavailable for long.  The known targets stay in
   use.  */
Test (entry_targets, list_outage)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 2, false);
  w.list_unavailable = true;
  fixture_run_ms (&w, 500);
  complete (&c, &w);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  call_free (&c);
  fixture_stop (&w);
}

static bool
knows_config (void *ctx)
{
  return ((struct fixture *)ctx)->agent[0].config_revision == 1;
}

/* An agent that missed changes of the configuration reports an old revision in
   its heartbeat and must be sent the one in force.  */
Test (entry_targets, configuration_is_pushed)
{
  struct fixture w;

  fixture_start (&w, 1, false);
  fixture_run_until (&w, knows_config, &w);
  w.agent[0].config_revision = 0;
  fixture_run_until (&w, knows_config, &w);
  cr_assert_eq (w.agent[0].config_revision, 1);
  fixture_stop (&w);
}

static void
crash (struct fake_agent *a, const struct wy_frame *f)
{
  struct fake_run *r = fake_accept (a, f, "run-1", "");

  /* The second target has to run it isolated.  */
  cr_assert_eq (f->u.submit.suspect, submits (a->test) == 2);
  fake_send_end (a, r, WY_RUN_CRASHED);
}

/* One request crashes each target that runs it, and its caller keeps retrying.
   At most two targets may crash, also while other requests succeed; an
   operator can list the block and lift it.  */
Test (entry_targets, crashing_request_is_blocked)
{
  struct fixture w;
  struct caller c;
  char *fingerprint;
  char *path;

  fixture_start (&w, 3, false);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = crash;
  for (int i = 0; i < 3; i++)
    {
      complete (&c, &w);
      call_wait (&c);
      cr_assert_geq (c.status, 500);
      call_free (&c);
    }
  cr_assert_eq (submits (&w), 2);
  cr_assert_eq (fixture_count_events (&w, "suspect.blocked"), 1);
  call_start (&c, &w, "GET", "/v1/blocks", operator, 1, "");
  call_wait (&c);
  cr_assert (call_body_contains (&c, "\"blocked\":true"), "%s", c.body->str);
  fingerprint = g_strndup (strstr (c.body->str, "fingerprint\":\"") + 14, 16);
  call_free (&c);
  path = g_strconcat ("/v1/blocks/", fingerprint, NULL);
  call_start (&c, &w, "DELETE", path, operator, 1, "");
  call_wait (&c);
  cr_assert_eq (c.status, 204);
  call_free (&c);
  for (int i = 0; i < 3; i++)
    w.agent[i].on_submit = NULL;
  complete (&c, &w);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  call_free (&c);
  g_free (fingerprint);
  g_free (path);
  fixture_stop (&w);
}

enum
{
  SLOW_TOKENS = 40,
  SLOW_TOKEN_MS = 40
};

static void
begin_slow_response (struct fake_agent *a, const struct wy_frame *f)
{
  char *events = fake_event_stream ("slow", SLOW_TOKENS);
  struct fake_run *r = fake_accept (a, f, "slow", events);

  fake_send_head (a, r, 200, "text/event-stream");
  g_free (events);
}

/* Send the response of A's last request one event at a time.  */
static void
send_slowly (struct fixture *w, struct fake_agent *a)
{
  struct fake_run *r = g_hash_table_lookup (a->runs, a->last_id);
  const char *text = r->body->str;
  const char *from = text;

  for (const char *to; (to = strstr (from, "\n\n")); from = to)
    {
      to += 2;
      fake_send_chunk (a, r, (size_t)(from - text), (size_t)(to - text));
      fixture_run_ms (w, SLOW_TOKEN_MS);
    }
}

/* One target generates far more slowly than the others, but sends its
   heartbeats and reports little load, so that it looks best by load.  Its
   token latency must reveal it while its streams still run, and new callers
   must go elsewhere.  */
Test (entry_targets, one_slow_target)
{
  struct fixture w;
  struct caller c[20];
  struct caller later;
  uint32_t n = 0;

  fixture_start (&w, 3, false);
  w.agent[0].on_submit = begin_slow_response;
  while (w.agent[0].submits == 0)
    {
      cr_assert_lt (n, G_N_ELEMENTS (c));
      complete (&c[n++], &w);
      fixture_run_ms (&w, 20);
    }
  send_slowly (&w, &w.agent[0]);
  for (uint32_t i = 0; i + 1 < n; i++)
    call_free (&c[i]);
  for (int i = 0; i < 10; i++)
    {
      complete (&later, &w);
      call_wait (&later);
      cr_assert_eq (later.status, 200);
      call_free (&later);
    }
  cr_assert_eq (w.agent[0].submits, 1);
  wy_http_call_cancel (c[n - 1].call);
  call_free (&c[n - 1]);
  fixture_stop (&w);
}

static void
accept_only (struct fake_agent *a, const struct wy_frame *f)
{
  char *events = fake_event_stream ("run-1", 2);

  fake_accept (a, f, "run-1", events);
  g_free (events);
}

static bool
submitted (void *ctx)
{
  return submits (ctx) == 1;
}

static void
on_stopped (void *ctx, uint32_t cut)
{
  struct fixture *w = ctx;

  w->stopped = true;
  w->cut = cut;
}

static bool
is_stopped (void *ctx)
{
  return ((struct fixture *)ctx)->stopped;
}

static void
finish (struct fake_agent *a)
{
  struct wy_frame f = { .kind = WY_FRAME_RESUME };

  f.u.resume.id = wy_bytes_of (a->last_id);
  fake_send_rest (a, &f);
}

/* The platform stops the entry while a request is in progress.  The entry must
   exit after the response, not before.  */
Test (entry_targets, stop_waits_for_requests)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 1, false);
  w.agent[0].on_submit = accept_only;
  complete (&c, &w);
  fixture_run_until (&w, submitted, &w);
  wy_entry_stop (w.entry, on_stopped, &w);
  fixture_run_ms (&w, 200);
  cr_assert_not (w.stopped);
  finish (&w.agent[0]);
  call_wait (&c);
  cr_assert_eq (c.status, 200, "%s", c.body->str);
  fixture_run_until (&w, is_stopped, &w);
  cr_assert_eq (w.cut, 0);
  call_free (&c);
  fixture_stop (&w);
}

/* The same with a target that never responds: a second signal ends the entry,
   which reports how many requests it cut off.  */
Test (entry_targets, stop_now_reports_cut_requests)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 1, false);
  w.agent[0].on_submit = accept_only;
  complete (&c, &w);
  fixture_run_until (&w, submitted, &w);
  wy_entry_stop (w.entry, on_stopped, &w);
  wy_entry_stop_now (w.entry);
  fixture_run_until (&w, is_stopped, &w);
  cr_assert_eq (w.cut, 1);
  wy_http_call_cancel (c.call);
  call_free (&c);
  fixture_stop (&w);
}

struct access
{
  const char *method;
  const char *path;
  const struct wy_http_header_field *header;
  int status;
};

static const struct access accesses[] = {
  { "GET", "/v1/status", NULL, 401 }, { "GET", "/v1/status", trainer, 403 },
  { "GET", "/v1/status", operator, 200 },
    { "GET", "/v1/blocks", trainer, 403 },
    { "POST", "/v1/targets/t0/drain", NULL, 401 },
    { "POST", "/v1/targets/t0/drain", operator, 202 },
      {
          "POST",
          "/v1/targets/t9/drain",
          operator,
          404 },
          { "POST", "/v1/yards/y/steps", NULL, 401 },
          { "GET", "/metrics", NULL, 200 },
          { "GET", "/readyz", NULL, 200 },
          { "GET", "/healthz", NULL, 200 },
          { "GET", "/nothing", NULL, 404 },
          { "POST", "/v1/completions", NULL, 400 },
          { "GET", "/services/none/x", NULL, 404 },
    };

/* Callers, trainers and operators can use the routes of their role and no
   others.  */
Test (entry_targets, roles)
{
  struct fixture w;
  struct caller c;

  fixture_start (&w, 1, false);
  for (size_t i = 0; i < G_N_ELEMENTS (accesses); i++)
    {
      call_start (&c, &w, accesses[i].method, accesses[i].path,
                  accesses[i].header, accesses[i].header ? 1 : 0, "");
      call_wait (&c);
      cr_assert_eq (c.status, accesses[i].status, "case %zu: %d %s", i,
                    c.status, c.body->str);
      call_free (&c);
    }
  cr_assert_eq (w.agent[0].orders, 1);
  fixture_stop (&w);
}

/* A caller sends too many headers.  It must get a rejection without a run, and
   other callers must not notice.  */
Test (entry_targets, too_many_headers)
{
  struct wy_http_header_field headers[20];
  struct fixture w;
  struct caller c;

  for (size_t i = 0; i < G_N_ELEMENTS (headers); i++)
    headers[i] = (struct wy_http_header_field){ "x-filler", "1" };
  fixture_start_with (&w, 1, false, "header_limit: 10\n");
  call_start (&c, &w, "POST", "/v1/completions", headers,
              G_N_ELEMENTS (headers), UNSTREAMED);
  call_wait (&c);
  cr_assert_eq (c.status, 431);
  cr_assert_eq (submits (&w), 0);
  call_free (&c);
  fixture_stop (&w);
}
