/* Calls to the platform under the lease of the duties.

   A call ends before the lease does: a call that reaches the platform later
   would bear a lower generation than the next holder's.  On a path that is
   cut, what was sent waits in the connection, so an unanswered call resets
   it.  */
#include "duties/calls.h"

#include <string.h>

#include <glib.h>

#include "platform/replica_wire.h"
#include "trace/json_log.h"

enum
{
  CALL_TIMEOUT_MS = 1200,
  /* A call is not begun with less of the lease left.  */
  LEFT_MIN_MS = 200,
  /* A holder that has not reached the platform for so long gives the duties
     up to one that may.  */
  UNREACHED_MS = 1500,
  /* And is no candidate for so long.  */
  PAUSE_MS = 10000
};

struct wy_duty_calls
{
  struct wy_duty_calls_options o;
  struct sockaddr_in address;
  int64_t unreached_since_ms; /* 0: the last call was answered */
  GPtrArray *active;          /* struct call */
};

struct call
{
  struct wy_duty_calls *calls;
  struct wy_h1_call *call;
  uv_timer_t timer;
  int status;
  int64_t started_ms;
  char *target;
  void (*on_done) (void *ctx, enum wy_duty_outcome outcome, int status);
  void *ctx;
};

/* A word for O in logs.  */
const char *
wy_duty_outcome_name (enum wy_duty_outcome o)
{
  static const char *const names[]
      = { "done", "busy", "rejected", "unreached" };

  return names[o];
}

/* Prepare calls as O says and store the caller in OUT.  Returns 0, or
   WY_H1_EBIND for an address that can't be read.  */
int
wy_duty_calls_new (struct wy_duty_calls **out,
                   const struct wy_duty_calls_options *o)
{
  struct wy_duty_calls *c = g_new0 (struct wy_duty_calls, 1);

  c->o = *o;
  if (!wy_address_parse (o->address, &c->address))
    {
      g_free (c);
      return WY_H1_EBIND;
    }
  c->active = g_ptr_array_new ();
  *out = c;
  return 0;
}

/* Stop.  The memory of C stays, since a call may be under way.  */
void
wy_duty_calls_free (struct wy_duty_calls *c)
{
  c->o.election = NULL;
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct call *k = h->data;

  g_free (k->target);
  g_free (k);
}

/* Note how the platform is reached from here, and give the duties up where it
   is not.  */
static void
judge_path (struct wy_duty_calls *c, enum wy_duty_outcome outcome)
{
  int64_t now_ms = wy_clock_mono_ms (c->o.clock);

  if (outcome != WY_DUTY_UNREACHED)
    c->unreached_since_ms = 0;
  else if (!c->unreached_since_ms)
    c->unreached_since_ms = now_ms;
  else if (now_ms - c->unreached_since_ms >= UNREACHED_MS && c->o.election)
    {
      c->unreached_since_ms = 0;
      wy_election_resign (c->o.election, PAUSE_MS, "platform_unreached");
    }
}

static void
end (struct call *k, enum wy_duty_outcome outcome)
{
  struct wy_duty_calls *c = k->calls;

  wy_json_log (
      "duties.called",
      "target=%s outcome=%s status=%d generation=%lld ms=%lld", k->target,
      wy_duty_outcome_name (outcome), k->status,
      c->o.election ? (long long)wy_election_generation (c->o.election) : 0LL,
      (long long)(wy_clock_mono_ms (c->o.clock) - k->started_ms));
  k->call = NULL;
  g_ptr_array_remove_fast (c->active, k);
  judge_path (c, outcome);
  k->on_done (k->ctx, outcome, k->status);
  uv_close ((uv_handle_t *)&k->timer, on_timer_closed);
}

static void
on_head (void *ctx, const struct wy_h1_response *a)
{
  ((struct call *)ctx)->status = a->status;
}

static void
on_data (void *ctx, const char *p, size_t n)
{
}

static void
on_end (void *ctx, int err)
{
  struct call *k = ctx;
  enum wy_duty_outcome outcome = WY_DUTY_UNREACHED;

  if (k->status)
    switch (wy_duty_response_from_status (k->status))
      {
      case WY_DUTY_RESPONSE_DONE:
        outcome = err ? WY_DUTY_UNREACHED : WY_DUTY_DONE;
        break;
      case WY_DUTY_RESPONSE_RETRY:
        outcome = WY_DUTY_BUSY;
        break;
      case WY_DUTY_RESPONSE_REJECTED:
        outcome = WY_DUTY_REJECTED;
        break;
      }
  end (k, outcome);
}

static void
on_timeout (uv_timer_t *t)
{
  struct call *k = t->data;

  wy_h1_call_cancel (k->call);
  end (k, WY_DUTY_UNREACHED);
}

/* Break all calls off: nothing of theirs reaches the platform any more.  */
void
wy_duty_calls_stop (struct wy_duty_calls *c)
{
  while (c->active->len)
    {
      struct call *k = g_ptr_array_index (c->active, 0);

      wy_h1_call_cancel (k->call);
      end (k, WY_DUTY_UNREACHED);
    }
}

/* Make the call TARGET with the N bytes of BODY.  False: the lease is not held
   for long enough, and ON_DONE does not come.  */
bool
wy_duty_call (struct wy_duty_calls *c, const char *target, const char *body,
              size_t n,
              void (*on_done) (void *ctx, enum wy_duty_outcome outcome,
                               int status),
              void *ctx)
{
  struct wy_duty_caller who
      = { .host = c->o.address,
          .holder = c->o.node,
          .generation = wy_election_generation (c->o.election) };
  struct wy_h1_header fields[WY_DUTY_FIELDS];
  struct wy_h1_call_options o
      = { .address = c->address,
          .method = "POST",
          .target = target,
          .fields = fields,
          .n_fields = wy_duty_header_fields (&who, fields),
          .body = body,
          .body_size_bytes = n,
          .has_body = true,
          .new_connection = true,
          .on_head = on_head,
          .on_data = on_data,
          .on_end = on_end };
  int64_t left_ms = wy_election_remaining_ms (c->o.election);
  struct call *k;

  if (left_ms < LEFT_MIN_MS)
    return false;
  k = g_new0 (struct call, 1);
  k->calls = c;
  k->on_done = on_done;
  k->ctx = ctx;
  k->target = g_strdup (target);
  k->started_ms = wy_clock_mono_ms (c->o.clock);
  uv_timer_init (c->o.loop, &k->timer);
  k->timer.data = k;
  uv_update_time (c->o.loop);
  uv_timer_start (&k->timer, on_timeout,
                  (uint64_t)MIN (left_ms, CALL_TIMEOUT_MS), 0);
  o.ctx = k;
  g_ptr_array_add (c->active, k);
  k->call = wy_h1_call_start (c->o.http, &o);
  return true;
}
