/* Response frames of a run: head, chunks and end.

   After a resume frames may arrive twice, and frames may arrive from a run
   that was given up.  Each frame carries its run and the offset of its bytes
   in the response.  Bytes received before are dropped, missing ones are
   requested again, and bytes of different runs are never mixed.  */
#include "entry/run.h"

#include <string.h>

#include "entry/acks.h"
#include "entry/dispatch.h"
#include "entry/pool.h"
#include "entry/problem.h"
#include "entry/request.h"
#include "entry/suspects.h"
#include "entry/token_latency.h"

static bool
same_run (struct wy_request *r, struct wy_bytes run)
{
  if (!r->run)
    r->run = wy_bytes_dup (run);
  return wy_bytes_equal (run, r->run);
}

static void
copy_response_headers (struct wy_request *r, const struct wy_frame_head *h)
{
  r->response_headers = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < h->n_headers; i++)
    {
      g_ptr_array_add (r->response_headers, wy_bytes_dup (h->headers[i].name));
      g_ptr_array_add (r->response_headers,
                       wy_bytes_dup (h->headers[i].value));
    }
}

static void
handle_head (struct wy_request *r, const struct wy_frame_head *h)
{
  if (!same_run (r, h->run) || r->head_received)
    return;
  r->head_received = true;
  r->status = h->status;
  copy_response_headers (r, h);
  wy_token_latency_begin (r);
  /* The caller of a non-idempotent request may disconnect and retry.  */
  r->keep_response = r->non_idempotent;
  for (guint i = 0; i < r->sinks->len; i++)
    {
      struct wy_sink *s = r->sinks->pdata[i];

      if (s->head)
        s->head (s, r);
      if (s->streams)
        r->response_begun = true;
      else
        r->keep_response = true;
    }
  if (r->keep_response && !r->response)
    r->response = g_string_new (NULL);
}

static void
append_bytes (struct wy_request *r, const char *p, size_t n)
{
  r->offset_bytes += n;
  wy_token_latency_chunk (r, p, n);
  XXH64_update (r->digest, p, n);
  if (r->keep_response)
    g_string_append_len (r->response, p, (gssize)n);
  for (guint i = 0; i < r->sinks->len; i++)
    {
      struct wy_sink *s = r->sinks->pdata[i];
      if (s->streams)
        s->data (s, r, p, n);
    }
}

/* Request the missing bytes from the current offset on, once per offset; the
   resumed frames arrive in order.  */
static void
request_missing (struct wy_request *r)
{
  if (r->gap_requested && r->gap_offset_bytes == r->offset_bytes)
    return;
  r->gap_requested = true;
  r->gap_offset_bytes = r->offset_bytes;
  wy_dispatch_resume (r);
}

static void
handle_chunk (struct wy_request *r, const struct wy_frame_chunk *c)
{
  uint64_t end = c->offset_bytes + c->data.n;
  uint64_t skip;

  if (!r->head_received || c->offset_bytes > r->offset_bytes)
    {
      ++*r->entry->counters.chunks_dropped;
      request_missing (r);
      return;
    }
  if (!same_run (r, c->run) || end <= r->offset_bytes)
    {
      ++*r->entry->counters.chunks_dropped;
      return;
    }
  skip = r->offset_bytes - c->offset_bytes;
  append_bytes (r, c->data.p + skip, c->data.n - skip);
}

static void
set_segments (struct wy_request *r, const struct wy_frame_end *f)
{
  g_free (r->segments);
  r->segments = g_memdup2 (f->segments, f->n_segments * sizeof *f->segments);
  r->n_segments = f->n_segments;
  r->tokens = f->tokens;
  g_free (r->finish_reason);
  r->finish_reason = wy_bytes_dup (f->finish);
}

/* The run failed.  Its end is acknowledged too, since the agent holds it until
   then, and its graceful stop waits for that.  */
static void
fail_run (struct wy_request *r, const struct wy_frame_end *f,
          enum wy_outcome outcome, enum wy_entry_reason reason)
{
  wy_ack_response (r);
  wy_pool_request_ended (r, outcome);
  wy_dispatch_failed (r, f->ran, reason);
}

/* The run ended with a response, either success or an error.  */
static void
end_with_response (struct wy_request *r, const struct wy_frame_end *f)
{
  bool failed = f->result == WY_RUN_FAILED;

  if (!r->head_received || r->offset_bytes < f->total_bytes)
    {
      if (failed && f->total_bytes == 0)
        fail_run (r, f, WY_OUTCOME_FAILED, WY_REASON_FAILED);
      else
        request_missing (r);
      return;
    }
  if (f->digest != XXH64_digest (r->digest) || (failed && r->pool->is_model))
    {
      fail_run (r, f, WY_OUTCOME_FAILED, WY_REASON_FAILED);
      return;
    }
  set_segments (r, f);
  wy_pool_request_ended (r, failed ? WY_OUTCOME_FAILED : WY_OUTCOME_OK);
  if (!failed)
    wy_suspect_clear (r);
  wy_request_complete (r);
}

static void
handle_end (struct wy_peer *p, struct wy_request *r,
            const struct wy_frame_end *f)
{
  if (f->run.n > 0 && !same_run (r, f->run))
    return;
  switch (f->result)
    {
    case WY_RUN_DONE:
    case WY_RUN_FAILED:
      end_with_response (r, f);
      return;
    case WY_RUN_CRASHED:
      ++*r->entry->counters.crashes;
      wy_suspect_record_crash (r, p);
      fail_run (r, f, WY_OUTCOME_FAILED, WY_REASON_CRASHED);
      return;
    case WY_RUN_CANCELLED:
      fail_run (r, f, WY_OUTCOME_CANCELLED, WY_REASON_CANCELLED);
      return;
    case WY_RUN_TIMED_OUT:
      wy_ack_response (r);
      wy_pool_request_ended (r, WY_OUTCOME_SLOW);
      wy_request_reject (r, f->ran, WY_REASON_DEADLINE, 0);
      return;
    }
}

/* Handle F, which P sent about a run.  */
void
wy_run_frame (struct wy_peer *p, const struct wy_frame *f)
{
  /* Every kind handled here begins with the request id.  */
  struct wy_request *r = wy_request_find (p->entry, f->u.resume.id);

  if (!r || r->peer != p || !r->sent)
    return;
  switch (f->kind)
    {
    case WY_FRAME_ACCEPTED:
      if (f->u.resume.run.n > 0)
        same_run (r, f->u.resume.run);
      return;
    case WY_FRAME_REFUSED:
      wy_dispatch_refused (r, &f->u.refused);
      return;
    case WY_FRAME_HEAD:
      handle_head (r, &f->u.head);
      return;
    case WY_FRAME_CHUNK:
      handle_chunk (r, &f->u.chunk);
      return;
    case WY_FRAME_END:
      handle_end (p, r, &f->u.end);
      return;
    default:
      return;
    }
}
