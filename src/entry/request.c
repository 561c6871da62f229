/* Requests in progress, from receipt to the final response.  */
#include "entry/request.h"

#include <string.h>

#include "entry/acks.h"
#include "entry/dispatch.h"
#include "entry/home.h"
#include "entry/issue_times.h"
#include "entry/outcomes.h"
#include "entry/pool.h"
#include "entry/problem.h"

enum
{
  ID_LIMIT_BYTES = 512,
  DIGEST_SEED = 0
};

/* RAN as written in the timeline and in responses.  */
const char *
wy_ran_name (enum wy_ran ran)
{
  switch (ran)
    {
    case WY_RAN_NO:
      return "no";
    case WY_RAN_YES:
      return "yes";
    case WY_RAN_UNKNOWN:
      break;
    }
  return "unknown";
}

/* Create a request for model or service NAME with a fresh identifier, not yet
   in progress.  */
struct wy_request *
wy_request_new (struct wy_entry *e, const char *name, struct wy_pool *pool)
{
  struct wy_request *r = g_malloc0 (sizeof *r);

  r->entry = e;
  r->id = g_malloc (WY_ID_SIZE_BYTES);
  wy_id_new (e->clock, r->id);
  r->key = g_strdup ("");
  r->name = g_strdup (name);
  r->pool = pool;
  r->issued_ms = wy_clock_wall_ms (e->clock);
  r->received_us = wy_clock_mono_us (e->clock);
  r->deadline_mono_ms
      = wy_clock_mono_ms (e->clock) + e->s->default_deadline_ms;
  r->body = g_string_new (NULL);
  r->sinks = g_ptr_array_new ();
  r->open_link.data = r;
  r->peer_link.data = r;
  r->digest = XXH64_createState ();
  XXH64_reset (r->digest, DIGEST_SEED);
  return r;
}

/* Set the caller's KEY and its issue time (wall clock, 0: unknown) for R.  A
   non-idempotent request takes its identifier from the key, so that a retry
   through another entry has the same one.  An idempotent request keeps its
   fresh identifier; only then can a rejection of this attempt be proven to be
   `not run'.  */
void
wy_request_set_key (struct wy_request *r, const char *key, int64_t issued_ms)
{
  g_free (r->key);
  r->key = g_strdup (key);
  if (!r->non_idempotent)
    return;
  g_free (r->id);
  r->id = g_strconcat (r->name, ":", key, NULL);
  r->issued_ms = issued_ms;
}

/* Put R in progress for S and dispatch it.  S may be called before this
   returns.  */
void
wy_request_open (struct wy_request *r, struct wy_sink *s)
{
  struct wy_entry *e = r->entry;

  /* Before the identifier is used anywhere.  */
  if (r->non_idempotent && !r->key[0])
    wy_home_draw_id (r);
  g_ptr_array_add (r->sinks, s);
  g_hash_table_insert (e->requests, r->id, r);
  g_queue_push_tail_link (&e->open, &r->open_link);
  ++*e->counters.received;
  *e->counters.open = e->open.length;
  wy_retry_request (&e->budget);
  wy_trace_event (
      e->trace, "request.received", "{s:s, s:s, s:b, s:s, s:s}", "req", r->id,
      "key", r->key, "idempotent", !r->non_idempotent, "class",
      r->request_class == WY_REQUEST_ROLLOUT ? "rollout" : "interactive",
      "name", r->name);
  if (wy_issue_times_should_assign (r))
    wy_issue_times_assign (e->issue_times, r);
  else
    wy_dispatch (r);
}

/* The request in progress with identifier ID, or NULL.  */
struct wy_request *
wy_request_find (struct wy_entry *e, struct wy_bytes id)
{
  char text[ID_LIMIT_BYTES];

  if (id.n >= sizeof text)
    return NULL;
  memcpy (text, id.p, id.n);
  text[id.n] = 0;
  return g_hash_table_lookup (e->requests, text);
}

/* Discard the state of R's run, before another attempt.  */
void
wy_request_reset_run (struct wy_request *r)
{
  g_free (r->run);
  g_free (r->finish_reason);
  g_free (r->segments);
  if (r->response_headers)
    g_ptr_array_unref (r->response_headers);
  r->run = NULL;
  r->finish_reason = NULL;
  r->segments = NULL;
  r->response_headers = NULL;
  r->n_segments = 0;
  r->head_received = false;
  r->offset_bytes = 0;
  r->tokens = 0;
  r->gap_requested = false;
  if (r->response)
    g_string_truncate (r->response, 0);
  XXH64_reset (r->digest, DIGEST_SEED);
}

/* Detach R from its target.  */
void
wy_request_detach_peer (struct wy_request *r)
{
  if (!r->peer)
    return;
  g_queue_unlink (&r->peer->requests, &r->peer_link);
  r->peer = NULL;
  r->sent = false;
  r->disconnected_since_ms = 0;
}

/* Remove R from the requests in progress; no frame reaches it any more.  */
static void
remove_request (struct wy_request *r)
{
  struct wy_entry *e = r->entry;

  wy_pool_request_ended (r, WY_OUTCOME_CANCELLED);
  wy_request_detach_peer (r);
  g_hash_table_remove (e->requests, r->id);
  g_queue_unlink (&e->open, &r->open_link);
  *e->counters.open = e->open.length;
}

/* Free R, which is not in progress.  */
void
wy_request_free (struct wy_request *r)
{
  wy_request_reset_run (r);
  if (r->response)
    g_string_free (r->response, TRUE);
  if (r->headers)
    g_ptr_array_unref (r->headers);
  XXH64_freeState (r->digest);
  g_string_free (r->body, TRUE);
  g_ptr_array_free (r->sinks, TRUE);
  g_free (r->trainer);
  g_free (r->method);
  g_free (r->path);
  g_free (r->name);
  g_free (r->key);
  g_free (r->id);
  g_free (r);
}

static void
trace_answered (struct wy_request *r)
{
  struct wy_entry *e = r->entry;
  uint64_t run_digest = XXH64_digest (r->digest);
  uint64_t sent_digest = r->sent_digest ? r->sent_digest : run_digest;
  char digest[17];
  char sent[17];

  g_snprintf (digest, sizeof digest, "%016" G_GINT64_MODIFIER "x",
              (guint64)run_digest);
  g_snprintf (sent, sizeof sent, "%016" G_GINT64_MODIFIER "x",
              (guint64)sent_digest);
  wy_trace_event (e->trace, "request.answered",
                  "{s:s, s:s, s:i, s:I, s:s, s:s}", "req", r->id, "run",
                  r->run ? r->run : "", "status", (int)r->status, "bytes",
                  (json_int_t)r->offset_bytes, "digest", digest, "sent", sent);
  ++*e->counters.answered;
  wy_hist_add (e->counters.latency_us,
               (uint64_t)(wy_clock_mono_us (e->clock) - r->received_us));
}

/* R's response is complete: acknowledge it, deliver it and free R.  */
void
wy_request_complete (struct wy_request *r)
{
  if (r->sinks->len > 0)
    wy_ack_response (r);
  wy_outcome_record (r, WY_RAN_YES, "answered");
  remove_request (r);
  for (guint i = 0; i < r->sinks->len; i++)
    {
      struct wy_sink *s = r->sinks->pdata[i];
      s->done (s, r);
    }
  /* Only now is the body that the callers were sent known.  */
  if (r->sinks->len > 0)
    trace_answered (r);
  wy_request_free (r);
}

/* R failed, before or during its response: report it to the callers and free
   R.  RAN is what is proven of R's execution.  */
void
wy_request_reject (struct wy_request *r, enum wy_ran ran,
                   enum wy_entry_reason reason, uint32_t retry_after_ms)
{
  struct wy_entry *e = r->entry;

  wy_outcome_record (r, ran, r->response_begun ? "broken" : "refused");
  if (r->sinks->len > 0 && r->response_begun)
    {
      wy_trace_event (e->trace, "request.broken", "{s:s, s:s, s:s}", "req",
                      r->id, "run", r->run ? r->run : "", "ran",
                      wy_ran_name (ran));
      ++*e->counters.broken;
    }
  else if (r->sinks->len > 0)
    {
      wy_trace_event (e->trace, "request.refused", "{s:s, s:s, s:s}", "req",
                      r->id, "ran", wy_ran_name (ran), "reason",
                      wy_reason_name (reason));
      ++*e->counters.refused[ran];
    }
  remove_request (r);
  for (guint i = 0; i < r->sinks->len; i++)
    {
      struct wy_sink *s = r->sinks->pdata[i];
      s->rejected (s, r, ran, reason, retry_after_ms);
    }
  wy_request_free (r);
}

/* The caller behind S disconnected.  An idempotent request is cancelled when
   no other caller waits for it.  A non-idempotent one that was submitted goes
   on, and the target keeps its response for a retry.  */
void
wy_request_abandon (struct wy_request *r, struct wy_sink *s)
{
  struct wy_entry *e = r->entry;

  g_ptr_array_remove (r->sinks, s);
  if (r->sinks->len > 0)
    return;
  wy_trace_event (e->trace, "request.abandoned", "{s:s}", "req", r->id);
  ++*e->counters.abandoned;
  if (r->non_idempotent && r->sent)
    return;
  wy_dispatch_cancel (r);
  wy_outcome_record (r, WY_RAN_UNKNOWN, "abandoned");
  remove_request (r);
  wy_request_free (r);
}
