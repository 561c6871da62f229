/* Callers of the platform stand-in: small idempotent requests whose answer
   must be their own body.  */
#include "standin/platform.h"

#include <stdio.h>
#include <string.h>

#include "decide/attempt.h"

enum
{
  CALL_EVERY_MS = 40,
  TRIES_MAX = 3,
  STATUS_OK = 200,
  STATUS_REFUSED = 503,
  ID_SIZE_BYTES = 48
};

static uv_timer_t timer;

static void call_desk (struct wy_platform *p, uint32_t number, uint32_t tries,
                       bool calm);

static void
id_of (uint32_t number, uint32_t tries, char out[ID_SIZE_BYTES])
{
  snprintf (out, ID_SIZE_BYTES, WY_PLATFORM_CALL_ID "%u-%u", number, tries);
}

static void
note_answer (const struct wy_platform_call *c, int err)
{
  char id[ID_SIZE_BYTES];
  char digest[WY_PLATFORM_DIGEST_SIZE_BYTES];
  int status = err ? 0 : c->status;

  id_of (c->number, c->tries, id);
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
  note_answer (c, err);
  if (!err && c->status == STATUS_OK)
    {
      p->books.answered++;
      p->books.calm_answered += c->calm;
      if (strcmp (c->body->str, body) != 0)
        wy_platform_violation (p, "%s got another answer: %.40s", body,
                               c->body->str);
      return;
    }
  if (!err && c->status == STATUS_REFUSED && c->retry_after_s <= 0)
    wy_platform_violation (p, "%s refused without a time to come back", body);
  if (c->tries + 1 < TRIES_MAX)
    {
      p->books.retries++;
      call_desk (p, c->number, c->tries + 1, c->calm);
    }
  else if (!err && c->status == STATUS_REFUSED)
    p->books.refused++;
  else
    p->books.failed++;
}

static void
call_desk (struct wy_platform *p, uint32_t number, uint32_t tries, bool calm)
{
  char id[ID_SIZE_BYTES];
  char body[32];
  struct wy_platform_call *c;

  id_of (number, tries, id);
  wy_trace_event (p->standin->trace, "caller.sent", "{s:s}", "key", id);
  snprintf (body, sizeof body, "call-%u", number);
  c = wy_platform_call (p, "POST", WY_PLATFORM_CALLS "x", id, body);
  c->number = number;
  c->tries = tries;
  c->calm = calm;
  c->on_done = on_done;
}

static void
on_timer (uv_timer_t *t)
{
  struct wy_platform *p = t->data;

  if (p->ending)
    return;
  p->books.calm_sent += p->calm;
  call_desk (p, p->books.sent++, 0, p->calm);
}

/* Call until the platform ends.  */
void
wy_platform_callers_start (struct wy_platform *p)
{
  uv_timer_init (p->standin->loop, &timer);
  timer.data = p;
  uv_timer_start (&timer, on_timer, CALL_EVERY_MS, CALL_EVERY_MS);
}
