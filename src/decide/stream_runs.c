/* Which run of a streamed request writes the response to its caller.

   A resumable stream may have several runs: a hedge while the first event is
   late, and a resumption after a run that has failed.  Two runs generate
   different texts.  So the first run with a complete event owns the response,
   and all others are cancelled before that event is passed on.  While the
   owner runs no other run is started, and only the owner can end the response
   as complete.  If it fails, a run that was asked to continue after the last
   event becomes the owner with its first event, which must be the next one. */
#include "decide/stream_runs.h"

/* Initialize S.  CALLERS_EVENT is the id of the last event that the caller
   has of an earlier response, -1 if it has none.  */
void
wy_stream_init (struct wy_stream *s, bool resumable, int64_t callers_event)
{
  *s = (struct wy_stream){ .resumable = resumable,
                           .gapless = true,
                           .last_event = callers_event };
}

/* Whether another run can continue S, which has begun.  After an event
   without an id, or with another than the next one, a run would not show
   whether it leaves out or repeats something.  */
bool
wy_stream_may_be_resumed (const struct wy_stream *s)
{
  return s->resumable && s->gapless && s->last_event >= 0;
}

/* Whether a run may be started.  IS_RUNNING is true if another one has not
   ended.  */
bool
wy_stream_may_start_run (const struct wy_stream *s, bool is_running)
{
  return !s->begun || (!is_running && wy_stream_may_be_resumed (s));
}

/* Set R to run NUMBER of S, which is started now.  */
void
wy_stream_run_started (const struct wy_stream *s, uint32_t number,
                       struct wy_stream_run *r)
{
  *r = (struct wy_stream_run){ .number = number,
                               .after_event
                               = s->resumable ? s->last_event : -1,
                               .first_event = -1,
                               .last_event = -1 };
}

/* Whether an event with ID may be the next one of R.  */
static bool
is_next (const struct wy_stream_run *r, int64_t id)
{
  if (r->n_events == 0)
    return r->after_event < 0 || id == r->after_event + 1;
  return id < 0 || id > r->last_event;
}

/* R has sent an event with ID, -1 if it has none.  HAS_DATA is false for one
   that contains nothing for the caller.  */
enum wy_stream_event_step
wy_stream_on_event (struct wy_stream *s, struct wy_stream_run *r, int64_t id,
                    bool has_data)
{
  bool begins = !s->begun;

  if (s->owner && s->owner != r->number)
    return WY_STREAM_ABORT_RUN;
  if (!has_data && id < 0)
    return s->owner == r->number ? WY_STREAM_PASS : WY_STREAM_DROP;
  if (!is_next (r, id))
    return WY_STREAM_ABORT_RUN;
  if (id < 0 || (r->n_events > 0 && id != r->last_event + 1))
    s->gapless = false;
  if (r->n_events++ == 0)
    r->first_event = id;
  if (id >= 0)
    r->last_event = s->last_event = id;
  s->begun = true;
  s->owner = r->number;
  return begins ? WY_STREAM_BEGIN : WY_STREAM_PASS;
}

/* The response E of R is complete.  */
enum wy_stream_end_step
wy_stream_on_end (const struct wy_stream *s, const struct wy_stream_run *r,
                  const struct wy_stream_end *e)
{
  if (!e->has_events)
    return s->begun ? WY_STREAM_FAILED : WY_STREAM_WHOLE;
  if (e->in_event)
    return WY_STREAM_FAILED;
  if (r->n_events > 0)
    return s->owner == r->number ? WY_STREAM_END : WY_STREAM_FAILED;
  /* A run without events does not show that the stream has none left.  */
  return !s->begun && e->has_length ? WY_STREAM_WHOLE : WY_STREAM_FAILED;
}

/* R has ended or was cancelled.  */
void
wy_stream_run_ended (struct wy_stream *s, const struct wy_stream_run *r)
{
  if (s->owner == r->number)
    s->owner = 0;
}
