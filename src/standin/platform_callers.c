/* Callers of the platform stand-in: idempotent requests whose response must
   equal their body.  Most are small; while faults last, some are large, and
   their callers stop reading for some seconds.  */
#include "standin/platform.h"

#include <stdio.h>
#include <string.h>

#include "decide/attempt.h"

enum
{
  CALL_INTERVAL_MS = 40,
  ATTEMPTS_MAX = 3,
  STATUS_OK = 200,
  STATUS_UNAVAILABLE = 503,
  ID_SIZE_BYTES = 48,
  /* One call in this many is large.  */
  LARGE_CALL_DIVISOR = 8,
  LARGE_BODY_BYTES = 900000,
  /* Some readers stop for longer than the 2 s after which an entry that is
     short of memory closes them.  */
  PAUSE_STEP_MS = 700,
  PAUSE_STEPS = 5
};

static uv_timer_t timer;

static void call_desk (struct wy_platform *p, uint32_t number,
                       uint32_t attempt, bool faults_over);

static void
format_id (uint32_t number, uint32_t attempt, char out[ID_SIZE_BYTES])
{
  snprintf (out, ID_SIZE_BYTES, WY_PLATFORM_CALL_ID "%u-%u", number, attempt);
}

/* Without a time of faults nothing is left for silent callers to read in
   before the run ends.  */
static bool
is_large (const struct wy_platform *p, uint32_t number, bool faults_over)
{
  return p->random_faults_ms && !faults_over
         && number % LARGE_CALL_DIVISOR == 0;
}

static char *
body_of (const struct wy_platform *p, uint32_t number, bool faults_over)
{
  GString *s = g_string_new (NULL);

  g_string_append_printf (s, "call-%u", number);
  if (is_large (p, number, faults_over))
    {
      gsize at = s->len;

      g_string_set_size (s, LARGE_BODY_BYTES);
      memset (s->str + at, 'x', s->len - at);
    }
  return g_string_free (s, FALSE);
}

/* Record the response to C, the call ID, in the timeline.  */
void
wy_platform_record_response (const struct wy_platform_call *c, const char *id,
                             int err)
{
  char digest[WY_PLATFORM_DIGEST_SIZE_BYTES];
  int status = err ? 0 : c->status;

  wy_platform_digest (c->body->str, c->body->len, digest);
  wy_trace_event (c->platform->standin->trace, "caller.got",
                  "{s:s, s:s, s:i, s:s, s:s}", "key", id, "req", id, "status",
                  status, "ran",
                  wy_attempt_status_implies_not_run (status) ? "no" : "",
                  "digest", digest);
}

static void
check_body (const struct wy_platform_call *c)
{
  char *body = body_of (c->platform, c->number, c->faults_over);

  if (strcmp (c->body->str, body) != 0)
    wy_platform_violation (c->platform,
                           "call-%u: wrong response body of %zu bytes: %.40s",
                           c->number, c->body->len, c->body->str);
  g_free (body);
}

static void
on_done (struct wy_platform_call *c, int err)
{
  struct wy_platform *p = c->platform;
  char id[ID_SIZE_BYTES];

  format_id (c->number, c->attempt, id);
  wy_platform_record_response (c, id, err);
  if (!err && c->status == STATUS_OK)
    {
      p->stats.answered++;
      p->stats.answered_after_faults += c->faults_over;
      check_body (c);
      return;
    }
  if (!err && c->status == STATUS_UNAVAILABLE && c->retry_after_s <= 0)
    wy_platform_violation (p, "call-%u: rejected without Retry-After",
                           c->number);
  if (c->attempt + 1 < ATTEMPTS_MAX)
    {
      p->stats.retries++;
      call_desk (p, c->number, c->attempt + 1, c->faults_over);
    }
  else if (!err && c->status == STATUS_UNAVAILABLE)
    p->stats.rejected++;
  else
    p->stats.failed++;
}

static void
call_desk (struct wy_platform *p, uint32_t number, uint32_t attempt,
           bool faults_over)
{
  char id[ID_SIZE_BYTES];
  char *body = body_of (p, number, faults_over);
  struct wy_platform_call *c;

  format_id (number, attempt, id);
  wy_trace_event (p->standin->trace, "caller.sent", "{s:s}", "key", id);
  c = wy_platform_call (p, "POST", WY_PLATFORM_CALLS "x", id, body);
  c->number = number;
  c->attempt = attempt;
  c->faults_over = faults_over;
  if (is_large (p, number, faults_over))
    c->pause_ms = PAUSE_STEP_MS * (1 + number % PAUSE_STEPS);
  g_free (body);
  c->on_done = on_done;
}

static void
on_timer (uv_timer_t *t)
{
  struct wy_platform *p = t->data;

  if (p->ending || p->in_crash_phase)
    return;
  p->stats.sent_after_faults += p->faults_over;
  call_desk (p, p->stats.sent++, 0, p->faults_over);
}

/* Start the callers, which send requests until the platform ends.  */
void
wy_platform_callers_start (struct wy_platform *p)
{
  uv_timer_init (p->standin->loop, &timer);
  timer.data = p;
  uv_timer_start (&timer, on_timer, CALL_INTERVAL_MS, CALL_INTERVAL_MS);
}
