/* Requests in progress: from their receipt until the final answer.  */
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

/* RAN in the word of the timeline and of answers.  */
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

/* A request for NAME with a fresh identifier, not yet in progress.  */
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

/* R came with the caller's KEY.  A non-idempotent request takes its
   identifier from it, so that it is the same one when it is sent again
   through another entry; an idempotent one keeps its fresh identifier, since
   only then a refusal of this sending can be proven to be `not run'.  */
void
wy_request_identify (struct wy_request *r, const char *key, int64_t issued_ms)
{
  g_free (r->key);
  r->key = g_strdup (key);
  if (!r->non_idempotent)
    return;
  g_free (r->id);
  r->id = g_strconcat (r->name, ":", key, NULL);
  r->issued_ms = issued_ms;
}

/* Put R in progress for S, and send it on.  S may be told of the end before
   this returns.  */
void
wy_request_open (struct wy_request *r, struct wy_sink *s)
{
  struct wy_entry *e = r->entry;

  /* Before the identifier is known to anyone.  */
  if (r->non_idempotent && !r->key[0])
    wy_home_draw (r);
  g_ptr_array_add (r->sinks, s);
  g_hash_table_insert (e->requests, r->id, r);
  g_queue_push_tail_link (&e->open, &r->open_link);
  ++*e->n.received;
  *e->n.open = e->open.length;
  wy_retry_request (&e->budget);
  wy_trace_event (
      e->trace, "request.received", "{s:s, s:s, s:b, s:s, s:s}", "req", r->id,
      "key", r->key, "idempotent", !r->non_idempotent, "class",
      r->request_class == WY_REQUEST_ROLLOUT ? "rollout" : "interactive",
      "name", r->name);
  if (wy_issue_rows_wanted (r))
    wy_issue_rows_ask (e->issue_rows, r);
  else
    wy_dispatch (r);
}

/* The request in progress that has identifier ID, or NULL.  */
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

/* Forget what is known of R's run, before another.  */
void
wy_request_reset (struct wy_request *r)
{
  g_free (r->run);
  g_free (r->finish);
  g_free (r->segments);
  if (r->answer_headers)
    g_ptr_array_unref (r->answer_headers);
  r->run = NULL;
  r->finish = NULL;
  r->segments = NULL;
  r->answer_headers = NULL;
  r->n_segments = 0;
  r->headed = false;
  r->offset_bytes = 0;
  r->tokens = 0;
  r->gap_asked = false;
  if (r->answer)
    g_string_truncate (r->answer, 0);
  XXH64_reset (r->digest, DIGEST_SEED);
}

/* R is no longer with its target.  */
void
wy_request_leave_peer (struct wy_request *r)
{
  if (!r->peer)
    return;
  g_queue_unlink (&r->peer->requests, &r->peer_link);
  r->peer = NULL;
  r->sent = false;
  r->away_ms = 0;
}

/* Take R out of progress; no frame reaches it any more.  */
static void
close_request (struct wy_request *r)
{
  struct wy_entry *e = r->entry;

  wy_pool_ended (r, WY_OUTCOME_CANCELLED);
  wy_request_leave_peer (r);
  g_hash_table_remove (e->requests, r->id);
  g_queue_unlink (&e->open, &r->open_link);
  *e->n.open = e->open.length;
}

/* Free R, which is not in progress.  */
void
wy_request_free (struct wy_request *r)
{
  wy_request_reset (r);
  if (r->answer)
    g_string_free (r->answer, TRUE);
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
tell_answered (struct wy_request *r)
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
  ++*e->n.answered;
  wy_hist_add (e->n.latency_us,
               (uint64_t)(wy_clock_mono_us (e->clock) - r->received_us));
}

/* R's answer is whole: give it out, acknowledge and free R.  */
void
wy_request_answered (struct wy_request *r)
{
  if (r->sinks->len > 0)
    wy_ack (r);
  wy_outcome_note (r, WY_RAN_YES, "answered");
  close_request (r);
  for (guint i = 0; i < r->sinks->len; i++)
    {
      struct wy_sink *s = r->sinks->pdata[i];
      s->done (s, r);
    }
  /* Only now is it known what the callers were sent.  */
  if (r->sinks->len > 0)
    tell_answered (r);
  wy_request_free (r);
}

/* R won't be answered, or not whole: say so at once and free R.  RAN is what
   is proven of it.  */
void
wy_request_refused (struct wy_request *r, enum wy_ran ran,
                    enum wy_entry_reason reason, uint32_t retry_after_ms)
{
  struct wy_entry *e = r->entry;

  wy_outcome_note (r, ran, r->begun ? "broken" : "refused");
  if (r->sinks->len > 0 && r->begun)
    {
      wy_trace_event (e->trace, "request.broken", "{s:s, s:s, s:s}", "req",
                      r->id, "run", r->run ? r->run : "", "ran",
                      wy_ran_name (ran));
      ++*e->n.broken;
    }
  else if (r->sinks->len > 0)
    {
      wy_trace_event (e->trace, "request.refused", "{s:s, s:s, s:s}", "req",
                      r->id, "ran", wy_ran_name (ran), "reason",
                      wy_reason_name (reason));
      ++*e->n.refused[ran];
    }
  close_request (r);
  for (guint i = 0; i < r->sinks->len; i++)
    {
      struct wy_sink *s = r->sinks->pdata[i];
      s->refused (s, r, ran, reason, retry_after_ms);
    }
  wy_request_free (r);
}

/* The caller behind S has gone away.  An idempotent request is cancelled when
   nobody waits for it any more; a non-idempotent one goes on, and its answer
   stays with the target for when the caller sends it again.  */
void
wy_request_abandon (struct wy_request *r, struct wy_sink *s)
{
  struct wy_entry *e = r->entry;

  g_ptr_array_remove (r->sinks, s);
  if (r->sinks->len > 0)
    return;
  wy_trace_event (e->trace, "request.abandoned", "{s:s}", "req", r->id);
  ++*e->n.abandoned;
  if (r->non_idempotent && r->sent)
    return;
  wy_dispatch_cancel (r);
  wy_outcome_note (r, WY_RAN_UNKNOWN, "abandoned");
  close_request (r);
  wy_request_free (r);
}
