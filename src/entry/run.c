/* Frames of a run: head, chunks and end of an answer.

   Frames may come twice, after a resume, or from a run that was given up.
   Each names its run and the place of its bytes in the answer, so that what
   was taken before is dropped, what is missing is asked for again, and
   nothing of one run gets into the answer of another.  */
#include "entry/run.h"

#include <string.h>

#include "entry/acks.h"
#include "entry/dispatch.h"
#include "entry/token_latency.h"
#include "entry/problem.h"
#include "entry/request.h"
#include "entry/pool.h"
#include "entry/suspects.h"

static bool
same_run (struct wy_request *r, struct wy_bytes run)
{
  if (!r->run)
    r->run = wy_bytes_dup (run);
  return wy_bytes_equal (run, r->run);
}

static void
take_headers (struct wy_request *r, const struct wy_frame_head *h)
{
  r->answer_headers = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < h->n_headers; i++)
    {
      g_ptr_array_add (r->answer_headers, wy_bytes_dup (h->headers[i].name));
      g_ptr_array_add (r->answer_headers, wy_bytes_dup (h->headers[i].value));
    }
}

static void
take_head (struct wy_request *r, const struct wy_frame_head *h)
{
  if (!same_run (r, h->run) || r->headed)
    return;
  r->headed = true;
  r->status = h->status;
  take_headers (r, h);
  wy_pace_begin (r);
  /* The caller of a non-idempotent request may be gone and come back.  */
  r->keep = r->non_idempotent;
  for (guint i = 0; i < r->sinks->len; i++)
    {
      struct wy_sink *s = r->sinks->pdata[i];

      if (s->head)
        s->head (s, r);
      if (s->streams)
        r->begun = true;
      else
        r->keep = true;
    }
  if (r->keep && !r->answer)
    r->answer = g_string_new (NULL);
}

static void
take_bytes (struct wy_request *r, const char *p, size_t n)
{
  r->offset_bytes += n;
  wy_pace_chunk (r, p, n);
  XXH64_update (r->digest, p, n);
  if (r->keep)
    g_string_append_len (r->answer, p, (gssize)n);
  for (guint i = 0; i < r->sinks->len; i++)
    {
      struct wy_sink *s = r->sinks->pdata[i];
      if (s->streams)
        s->data (s, r, p, n);
    }
}

/* Ask once for what is missing at the present place; the answer to it comes
   in order.  */
static void
ask_for_gap (struct wy_request *r)
{
  if (r->gap_asked && r->gap_bytes == r->offset_bytes)
    return;
  r->gap_asked = true;
  r->gap_bytes = r->offset_bytes;
  wy_dispatch_resume (r);
}

static void
take_chunk (struct wy_request *r, const struct wy_frame_chunk *c)
{
  uint64_t end = c->offset_bytes + c->data.n;
  uint64_t skip;

  if (!r->headed || c->offset_bytes > r->offset_bytes)
    {
      ++*r->entry->n.chunks_dropped;
      ask_for_gap (r);
      return;
    }
  if (!same_run (r, c->run) || end <= r->offset_bytes)
    {
      ++*r->entry->n.chunks_dropped;
      return;
    }
  skip = r->offset_bytes - c->offset_bytes;
  take_bytes (r, c->data.p + skip, c->data.n - skip);
}

static void
take_segments (struct wy_request *r, const struct wy_frame_end *f)
{
  g_free (r->segments);
  r->segments = g_memdup2 (f->segments, f->n_segments * sizeof *f->segments);
  r->n_segments = f->n_segments;
  r->tokens = f->tokens;
  g_free (r->finish);
  r->finish = wy_bytes_dup (f->finish);
}

/* The run came to nothing.  Its end is acknowledged as well: the agent holds
   it, and a stop of the agent waits for it.  */
static void
fail (struct wy_request *r, const struct wy_frame_end *f,
      enum wy_outcome outcome, enum wy_entry_reason reason)
{
  wy_ack (r);
  wy_pool_ended (r, outcome);
  wy_dispatch_failed (r, f->ran, reason);
}

/* The run is over and the target answered, with success or an error.  */
static void
end_whole (struct wy_request *r, const struct wy_frame_end *f)
{
  bool failed = f->result == WY_RUN_FAILED;

  if (!r->headed || r->offset_bytes < f->total_bytes)
    {
      if (failed && f->total_bytes == 0)
        fail (r, f, WY_OUTCOME_FAILED, WY_REASON_FAILED);
      else
        ask_for_gap (r);
      return;
    }
  if (f->digest != XXH64_digest (r->digest) || (failed && r->pool->is_model))
    {
      fail (r, f, WY_OUTCOME_FAILED, WY_REASON_FAILED);
      return;
    }
  take_segments (r, f);
  wy_pool_ended (r, failed ? WY_OUTCOME_FAILED : WY_OUTCOME_OK);
  if (!failed)
    wy_suspect_cleared (r);
  wy_request_answered (r);
}

static void
take_end (struct wy_peer *p, struct wy_request *r,
          const struct wy_frame_end *f)
{
  if (f->run.n > 0 && !same_run (r, f->run))
    return;
  switch (f->result)
    {
    case WY_RUN_DONE:
    case WY_RUN_FAILED:
      end_whole (r, f);
      return;
    case WY_RUN_CRASHED:
      ++*r->entry->n.crashes;
      wy_suspect_crashed (r, p);
      fail (r, f, WY_OUTCOME_FAILED, WY_REASON_CRASHED);
      return;
    case WY_RUN_CANCELLED:
      fail (r, f, WY_OUTCOME_CANCELLED, WY_REASON_CANCELLED);
      return;
    case WY_RUN_TIMED_OUT:
      wy_ack (r);
      wy_pool_ended (r, WY_OUTCOME_SLOW);
      wy_request_refused (r, f->ran, WY_REASON_DEADLINE, 0);
      return;
    }
}

/* Take in F, which P sent about a run.  */
void
wy_run_frame (struct wy_peer *p, const struct wy_frame *f)
{
  /* Every kind that comes here begins with the id.  */
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
      take_head (r, &f->u.head);
      return;
    case WY_FRAME_CHUNK:
      take_chunk (r, &f->u.chunk);
      return;
    case WY_FRAME_END:
      take_end (p, r, &f->u.end);
      return;
    default:
      return;
    }
}
