/* Duty calls: calls to the platform that only the leader may make.

   A call times out before the leader's lease expires.  If it reached the
   platform later, its generation would be lower than that of the next leader.
   During a network partition the request stays in the connection's send
   buffer, so a call without a response resets its connection.  */
#include "duties/calls.h"

#include <string.h>

#include <glib.h>

#include "platform/replica_wire.h"
#include "trace/json_log.h"

enum
{
  CALL_TIMEOUT_MS = 1200,
  /* No call is started with less of the lease remaining.  */
  REMAINING_MIN_MS = 200,
  /* A leader that has had no response for this long resigns, so that an entry
     that can reach the platform may be elected.  */
  UNREACHABLE_RESIGN_MS = 1500,
  /* It is no candidate for this long afterwards.  */
  RESIGN_PAUSE_MS = 10000,
  RESPONSE_LIMIT_BYTES = 65536
};

struct wy_duty_calls
{
  struct wy_duty_calls_options o;
  struct sockaddr_in address;
  int64_t unreachable_since_ms; /* 0: the last call had a response */
  GPtrArray *active;            /* struct call */
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

/* The name of O in logs.  */
const char *
wy_duty_outcome_name (enum wy_duty_outcome o)
{
  static const char *const names[]
      = { "done", "busy", "rejected", "unreached" };

  return names[o];
}

/* Create the state for duty calls with options O and store it in OUT.  Returns
   0, or WY_H1_EBIND for an address that can't be parsed.  */
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

/* Stop.  C itself is not freed, since a call may be in progress.  */
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

/* Record whether the platform is reachable from this instance, and resign as
   leader if it is not.  */
static void
check_reachability (struct wy_duty_calls *c, enum wy_duty_outcome outcome)
{
  int64_t now_ms = wy_clock_mono_ms (c->o.clock);

  if (outcome != WY_DUTY_NO_RESPONSE)
    c->unreachable_since_ms = 0;
  else if (!c->unreachable_since_ms)
    c->unreachable_since_ms = now_ms;
  else if (now_ms - c->unreachable_since_ms >= UNREACHABLE_RESIGN_MS
           && c->o.election)
    {
      c->unreachable_since_ms = 0;
      wy_election_resign (c->o.election, RESIGN_PAUSE_MS,
                          "platform_unreached");
    }
}

static void
finish_call (struct call *k, enum wy_duty_outcome outcome)
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
  check_reachability (c, outcome);
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
  enum wy_duty_outcome outcome = WY_DUTY_NO_RESPONSE;

  /* The status of a malformed response promises nothing.  */
  if (k->status && err != WY_H1_EMALFORMED)
    switch (wy_duty_response_from_status (k->status))
      {
      case WY_DUTY_RESPONSE_DONE:
        outcome = err ? WY_DUTY_NO_RESPONSE : WY_DUTY_DONE;
        break;
      case WY_DUTY_RESPONSE_RETRY:
        outcome = WY_DUTY_RETRY;
        break;
      case WY_DUTY_RESPONSE_REJECTED:
        outcome = WY_DUTY_REJECTED;
        break;
      }
  finish_call (k, outcome);
}

static void
on_timeout (uv_timer_t *t)
{
  struct call *k = t->data;

  wy_h1_call_cancel (k->call);
  finish_call (k, WY_DUTY_NO_RESPONSE);
}

/* Cancel all calls.  Nothing more of them is sent to the platform.  */
void
wy_duty_calls_stop (struct wy_duty_calls *c)
{
  while (c->active->len)
    {
      struct call *k = g_ptr_array_index (c->active, 0);

      wy_h1_call_cancel (k->call);
      finish_call (k, WY_DUTY_NO_RESPONSE);
    }
}

/* Start a POST of the N bytes of BODY to the path TARGET.  Returns false if
   too little of the lease remains; ON_DONE is not called then.  */
bool
wy_duty_call (struct wy_duty_calls *c, const char *target, const char *body,
              size_t n,
              void (*on_done) (void *ctx, enum wy_duty_outcome outcome,
                               int status),
              void *ctx)
{
  struct wy_duty_caller caller
      = { .host = c->o.address,
          .holder = c->o.node,
          .generation = wy_election_generation (c->o.election) };
  struct wy_h1_header fields[WY_DUTY_FIELDS];
  struct wy_h1_call_options o
      = { .address = c->address,
          .method = "POST",
          .target = target,
          .fields = fields,
          .n_fields = wy_duty_header_fields (&caller, fields),
          .body = body,
          .body_size_bytes = n,
          .has_body = true,
          .new_connection = true,
          .response_limit_bytes = RESPONSE_LIMIT_BYTES,
          .on_head = on_head,
          .on_data = on_data,
          .on_end = on_end };
  int64_t remaining_ms = wy_election_remaining_ms (c->o.election);
  struct call *k;

  if (remaining_ms < REMAINING_MIN_MS)
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
                  (uint64_t)MIN (remaining_ms, CALL_TIMEOUT_MS), 0);
  o.ctx = k;
  g_ptr_array_add (c->active, k);
  k->call = wy_h1_call_start (c->o.http, &o);
  return true;
}
