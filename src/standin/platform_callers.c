/* Callers of the platform stand-in: small idempotent requests whose response
   must equal their body.  */
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
  ID_SIZE_BYTES = 48
};

static uv_timer_t timer;

static void call_desk (struct wy_platform *p, uint32_t number,
                       uint32_t attempt, bool faults_over);

static void
format_id (uint32_t number, uint32_t attempt, char out[ID_SIZE_BYTES])
{
  snprintf (out, ID_SIZE_BYTES, WY_PLATFORM_CALL_ID "%u-%u", number, attempt);
}

static void
log_response (const struct wy_platform_call *c, int err)
{
  char id[ID_SIZE_BYTES];
  char digest[WY_PLATFORM_DIGEST_SIZE_BYTES];
  int status = err ? 0 : c->status;

  format_id (c->number, c->attempt, id);
  wy_platform_digest (c->body->str, c->body->len, digest);
  wy_trace_event (c->platform->standin->trace, "caller.got",
                  "{s:s, s:s, s:i, s:s, s:s}", "key", id, "req", id, "status",
                  status, "ran",
                  wy_attempt_status_implies_not_run (status) ? "no" : "",
                  "digest", digest);
}

static void
on_done (struct wy_platform_call *c, int err)
{
  struct wy_platform *p = c->platform;
  char body[32];

  snprintf (body, sizeof body, "call-%u", c->number);
  log_response (c, err);
  if (!err && c->status == STATUS_OK)
    {
      p->stats.answered++;
      p->stats.answered_after_faults += c->faults_over;
      if (strcmp (c->body->str, body) != 0)
        wy_platform_violation (p, "%s: wrong response body: %.40s", body,
                               c->body->str);
      return;
    }
  if (!err && c->status == STATUS_UNAVAILABLE && c->retry_after_s <= 0)
    wy_platform_violation (p, "%s: rejected without Retry-After", body);
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
  char body[32];
  struct wy_platform_call *c;

  format_id (number, attempt, id);
  wy_trace_event (p->standin->trace, "caller.sent", "{s:s}", "key", id);
  snprintf (body, sizeof body, "call-%u", number);
  c = wy_platform_call (p, "POST", WY_PLATFORM_CALLS "x", id, body);
  c->number = number;
  c->attempt = attempt;
  c->faults_over = faults_over;
  c->on_done = on_done;
}

static void
on_timer (uv_timer_t *t)
{
  struct wy_platform *p = t->data;

  if (p->ending)
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
