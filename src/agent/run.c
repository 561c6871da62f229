/* Runs.  A run is one execution of a request, from its acceptance until its
   result is discarded.

   A result is retained until an entry has acknowledged it.  The result of a
   non-idempotent request is retained after that as long as there is room,
   since the caller may send the request again if the response was lost between
   entry and caller.  When there is no room, acknowledged results are
   discarded, then new work is rejected: an unacknowledged result is the only
   proof of what the request did.  */
#include "agent/run.h"

#include <string.h>

#include "agent/attach.h"
#include "agent/dispatch.h"
#include "agent/target.h"

enum
{
  DIGEST_SEED = 0,
  /* Headers of a response: as many as a frame can hold.  */
  HEADERS_MAX = 256,
  /* Approximate memory of a run without its body and output; most of it for
     small requests.  */
  RUN_SIZE_BYTES = 2048
};

static const char *const result_names[]
    = { "none", "done", "failed", "crashed", "cancelled", "timed_out" };
static const char *const class_names[] = { "interactive", "rollout" };

/* Create a run for the request S.  It must be added to the queue next.  */
struct wy_run *
wy_agent_run_new (struct wy_agent *a, const struct wy_frame_submit *s)
{
  struct wy_run *r = g_new0 (struct wy_run, 1);

  r->agent = a;
  r->id = wy_bytes_dup (s->id);
  wy_id_new (a->clock, r->run);
  r->is_model = s->is_model;
  r->non_idempotent = s->non_idempotent;
  r->request_class = s->request_class;
  r->fingerprint = s->fingerprint;
  r->attempt = s->attempt;
  r->method = wy_bytes_dup (s->method);
  r->path = wy_bytes_dup (s->path);
  r->body = g_byte_array_new ();
  g_byte_array_append (r->body, (const guint8 *)s->body.p, s->body.n);
  a->retained_bytes += RUN_SIZE_BYTES + r->body->len;
  r->headers = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < s->n_headers; i++)
    {
      g_ptr_array_add (r->headers, wy_bytes_dup (s->headers[i].name));
      g_ptr_array_add (r->headers, wy_bytes_dup (s->headers[i].value));
    }
  r->response_headers = g_ptr_array_new_with_free_func (g_free);
  r->output = g_byte_array_new ();
  r->digest = XXH64_createState ();
  XXH64_reset (r->digest, DIGEST_SEED);
  r->detached_ms = wy_agent_now_ms (a);
  g_hash_table_replace (a->runs, r->id, r);
  r->list_link.data = r;
  g_queue_push_tail_link (&a->open, &r->list_link);
  return r;
}

/* Return the run of request ID, or NULL.  */
struct wy_run *
wy_agent_run_find (const struct wy_agent *a, struct wy_bytes id)
{
  char *text = wy_bytes_dup (id);
  struct wy_run *r = g_hash_table_lookup (a->runs, text);

  g_free (text);
  return r;
}

static void
drop_body (struct wy_run *r)
{
  r->agent->retained_bytes -= r->body->len;
  g_byte_array_set_size (r->body, 0);
}

/* Free R, which must not be in the queue or have a call open.  */
void
wy_agent_run_free (struct wy_run *r)
{
  struct wy_agent *a = r->agent;

  while (r->attached.head)
    wy_agent_detach (r->attached.head->data);
  g_queue_unlink (r->phase == WY_PHASE_ENDED ? &a->ended : &a->open,
                  &r->list_link);
  drop_body (r);
  a->retained_bytes -= RUN_SIZE_BYTES + r->output->len;
  g_hash_table_remove (a->runs, r->id);
  g_byte_array_unref (r->body);
  g_byte_array_unref (r->output);
  XXH64_freeState (r->digest);
  g_ptr_array_unref (r->headers);
  g_ptr_array_unref (r->response_headers);
  wy_token_stream_clear (&r->tokens);
  if (r->segments)
    g_array_unref (r->segments);
  g_free (r->finish);
  g_free (r->target_inc);
  g_free (r->blob);
  g_free (r->method);
  g_free (r->path);
  g_free (r->id);
  g_free (r);
}

/* Record that the request of R is being sent.  From here on the target may
   have received it, so "not run" can't be reported any more.  */
void
wy_agent_run_sent (struct wy_run *r)
{
  struct wy_agent *a = r->agent;

  if (r->sent)
    return;
  r->sent = true;
  r->ran = WY_RAN_UNKNOWN;
  if (r->non_idempotent)
    wy_at_most_once_started (a->once, &r->at_most_once);
  g_free (r->target_inc);
  r->target_inc = g_strdup (a->target.incarnation);
  ++*a->n.started;
  wy_hist_add (a->n.wait_ms,
               (uint64_t)(wy_agent_now_ms (a) - r->item.arrived_ms));
  wy_trace_event (a->trace, "run.start", "{s:s, s:s, s:s, s:s, s:b, s:s}",
                  "req", r->id, "run", r->run, "target", a->s->name,
                  "target_inc", r->target_inc ? r->target_inc : "",
                  "idempotent", !r->non_idempotent, "class",
                  class_names[r->request_class]);
}

/* Store STATUS and HEADERS of the target's response.  */
void
wy_agent_run_head (struct wy_run *r, int status,
                   const struct wy_http_header_field *headers, size_t n)
{
  r->status = status;
  r->last_received_ms = wy_agent_now_ms (r->agent);
  for (size_t i = 0; i < n && i < HEADERS_MAX; i++)
    {
      g_ptr_array_add (r->response_headers, g_strdup (headers[i].name));
      g_ptr_array_add (r->response_headers, g_strdup (headers[i].value));
    }
}

/* Process the output appended to R after its first BEFORE bytes.  */
void
wy_agent_run_output_grew (struct wy_run *r, size_t before)
{
  size_t n = r->output->len - before;

  r->last_received_ms = wy_agent_now_ms (r->agent);
  if (n == 0)
    return;
  r->agent->retained_bytes += n;
  XXH64_update (r->digest, r->output->data + before, n);
  wy_agent_flush_run (r);
}

/* Append N bytes at P to the output of R.  */
void
wy_agent_run_output (struct wy_run *r, const void *p, size_t n)
{
  size_t before = r->output->len;

  g_byte_array_append (r->output, p, (guint)n);
  wy_agent_run_output_grew (r, before);
}

static json_t *
segments_json (const struct wy_run *r)
{
  json_t *list = json_array ();

  for (guint i = 0; r->segments && i < r->segments->len; i++)
    {
      const struct wy_segment *s
          = &g_array_index (r->segments, struct wy_segment, i);
      json_array_append_new (list, json_pack ("{s:I, s:I, s:I}", "version",
                                              (json_int_t)s->version, "from",
                                              (json_int_t)s->from, "to",
                                              (json_int_t)s->to));
    }
  return list;
}

static void
trace_end (const struct wy_run *r)
{
  char digest[17];

  g_snprintf (digest, sizeof digest, "%016" G_GINT64_MODIFIER "x",
              (guint64)XXH64_digest (r->digest));
  wy_trace_event (r->agent->trace, "run.end",
                  "{s:s, s:s, s:s, s:I, s:s, s:I, s:o}", "req", r->id, "run",
                  r->run, "result", result_names[r->result], "bytes",
                  (json_int_t)r->output->len, "digest", digest, "tokens",
                  (json_int_t)r->n_tokens, "segments", segments_json (r));
}

/* End R with RESULT.  RAN is what is proven about its execution.  Its call to
   the target, if any, must have ended.  */
void
wy_agent_run_end (struct wy_run *r, enum wy_run_result result, enum wy_ran ran)
{
  struct wy_agent *a = r->agent;
  int64_t now_ms = wy_agent_now_ms (a);

  if (r->phase == WY_PHASE_ENDED)
    return;
  wy_queue_done (&a->queue, &r->item, r->n_tokens, now_ms);
  r->phase = WY_PHASE_ENDED;
  r->result = result;
  r->ran = ran;
  r->ended_ms = now_ms;
  g_queue_unlink (&a->open, &r->list_link);
  g_queue_push_tail_link (&a->ended, &r->list_link);
  ++*a->n.ended[result];
  if (r->non_idempotent && ran == WY_RAN_YES)
    wy_at_most_once_completed (a->once, r->at_most_once.id);
  drop_body (r);
  wy_token_stream_clear (&r->tokens);
  g_clear_pointer (&r->blob, g_free);
  if (r->sent)
    trace_end (r);
  wy_agent_flush_run (r);
  wy_agent_dispatch_soon (a);
}

/* Reject R, which has not started: send the rejection to all connections
   attached to it, and free it.  */
void
wy_agent_run_reject (struct wy_run *r, enum wy_refusal_reason reason,
                     uint32_t retry_after_ms)
{
  struct wy_agent *a = r->agent;
  struct wy_frame f = { .kind = WY_FRAME_REFUSED };

  f.u.refused.id = wy_bytes_of (r->id);
  f.u.refused.ran = r->may_have_run_before ? WY_RAN_UNKNOWN : WY_RAN_NO;
  f.u.refused.reason = reason;
  f.u.refused.retry_after_ms = retry_after_ms;
  if (r->non_idempotent && !r->may_have_run_before)
    {
      r->at_most_once.now_ms = wy_clock_wall_ms (a->clock);
      wy_at_most_once_reported_not_run (a->once, &r->at_most_once);
    }
  wy_queue_cancel (&a->queue, &r->item, wy_agent_now_ms (a));
  ++*a->n.refused[f.u.refused.ran];
  wy_trace_event (a->trace, "run.refused", "{s:s, s:s, s:s, s:s}", "req",
                  r->id, "target", a->s->name, "ran",
                  r->may_have_run_before ? "unknown" : "no", "reason",
                  wy_refusal_reason_name (reason));
  for (GList *l = r->attached.head; l; l = l->next)
    wy_conn_send (((struct wy_attachment *)l->data)->link->conn, &f);
  wy_agent_run_free (r);
}

/* Fill F, an END or OUTCOME frame, with the outcome of R so far.  */
void
wy_agent_run_outcome (const struct wy_run *r, enum wy_frame_kind kind,
                      struct wy_frame *f)
{
  memset (f, 0, sizeof *f);
  f->kind = kind;
  f->u.end.id = wy_bytes_of (r->id);
  f->u.end.run = wy_bytes_of (r->run);
  f->u.end.result = r->result;
  f->u.end.ran = r->ran;
  f->u.end.total_bytes = r->output->len;
  f->u.end.digest = XXH64_digest (r->digest);
  f->u.end.tokens = r->n_tokens;
  f->u.end.finish = wy_bytes_of (r->finish);
  if (!r->segments)
    return;
  f->u.end.segments = (const struct wy_segment *)(void *)r->segments->data;
  f->u.end.n_segments = r->segments->len;
}

/* Handle an acknowledgement: an entry has the complete result of R.  */
void
wy_agent_run_acked (struct wy_run *r)
{
  if (r->phase != WY_PHASE_ENDED)
    return;
  r->acked = true;
  if (!r->non_idempotent)
    wy_agent_run_free (r);
}

/* Whether R has ended and no entry needs its result any more: it was
   acknowledged, or there is none and the attached entries were notified.  */
bool
wy_agent_run_is_settled (const struct wy_run *r)
{
  if (r->phase != WY_PHASE_ENDED)
    return false;
  return r->acked
         || (r->attached.length == 0 && r->result != WY_RUN_DONE
             && r->result != WY_RUN_FAILED);
}

static bool
is_full (const struct wy_agent *a)
{
  return a->retained_bytes >= (size_t)a->s->retained_bytes;
}

/* Discard results that no entry needs, oldest first, until there is room for
   new work.  Returns whether there is room.  */
bool
wy_agent_evict_results (struct wy_agent *a)
{
  GList *next;

  for (GList *l = a->ended.head; l && is_full (a); l = next)
    {
      next = l->next;
      if (wy_agent_run_is_settled (l->data))
        wy_agent_run_free (l->data);
    }
  return !is_full (a);
}

/* Cancel idempotent runs to which no entry is attached.  Non-idempotent ones
   run to completion: their outcome must be known.  */
static void
end_orphans (struct wy_agent *a, int64_t now_ms)
{
  GList *next;

  for (GList *l = a->open.head; l; l = next)
    {
      struct wy_run *r = l->data;

      next = l->next;
      if (r->attached.length || r->non_idempotent
          || now_ms - r->detached_ms < a->s->orphan_grace_ms)
        continue;
      wy_agent_run_cancel (r);
      wy_agent_run_free (r);
    }
}

/* Discard results that no entry fetched within retained_ms.  */
static void
drop_expired (struct wy_agent *a, int64_t now_ms)
{
  int64_t limit_ms = now_ms - a->s->retained_ms;
  GList *next;

  for (GList *l = a->ended.head; l; l = next)
    {
      struct wy_run *r = l->data;

      next = l->next;
      if (r->ended_ms > limit_ms)
        return;
      if (r->attached.length || r->detached_ms > limit_ms)
        continue;
      if (!wy_agent_run_is_settled (r))
        ++*a->n.dropped;
      wy_agent_run_free (r);
    }
}

/* Cancel orphaned runs and discard expired results.  */
void
wy_agent_runs_sweep (struct wy_agent *a, int64_t now_ms)
{
  end_orphans (a, now_ms);
  drop_expired (a, now_ms);
}
