/* Leaving: no new work, and an end when nothing is in progress.

   The instance list tells of a leaving target late, so the agent tells all
   entries itself, at once.  */
#include "agent/drain.h"

#include "agent/dispatch.h"
#include "agent/links.h"
#include "agent/run.h"
#include "agent/target.h"
#include "trace/log.h"

enum
{
  /* Non-idempotent work that waits has no other target.  Within this it can
     still begin; entries and operators count on two seconds at most.  */
  LAST_START_MS = 1500
};

static void
announce (struct wy_agent *a)
{
  struct wy_frame f = { .kind = WY_FRAME_LEAVING };

  a->leaving = true;
  a->leaving_ms = wy_agent_now_ms (a);
  a->waiting_refused = false;
  *a->n.leaving = 1;
  wy_queue_close (&a->queue);
  wy_trace_event (a->trace, "target.leaving", "{s:s}", "target", a->s->name);
  wy_agent_links_send (a, &f);
  wy_agent_refuse_waiting (a, WY_REFUSED_LEAVING, false);
}

static void
come_back (struct wy_agent *a)
{
  a->leaving = false;
  *a->n.leaving = 0;
  a->queue.closing = false;
  wy_trace_event (a->trace, "target.up", "{s:s, s:s}", "target", a->s->name,
                  "target_inc",
                  a->target.incarnation ? a->target.incarnation : "");
}

static void
settle (struct wy_agent *a)
{
  bool leaving = a->drain_ordered || a->drain_configured || a->stopping;

  if (leaving && !a->leaving)
    announce (a);
  else if (!leaving && a->leaving)
    come_back (a);
}

/* An operator drains the target, or takes it back.  */
void
wy_agent_drain_order (struct wy_agent *a, bool drain)
{
  a->drain_ordered = drain;
  settle (a);
}

/* D is in force: it may name the target as drained.  */
void
wy_agent_drain_configured (struct wy_agent *a, const struct wy_document *d)
{
  a->drain_configured = wy_document_is_drained (d, a->s->name);
  settle (a);
}

/* Whether an entry is still to take the result of R, which has ended: it
   follows R, or may yet acknowledge, or dial and ask.  */
static bool
is_owed (const struct wy_run *r, int64_t now_ms)
{
  if (wy_agent_run_settled (r))
    return false;
  return r->attached.length
         || now_ms - r->alone_ms < r->agent->s->orphan_grace_ms;
}

/* Runs that would be cut off if the agent ended now.  */
static uint32_t
in_progress (const struct wy_agent *a, int64_t now_ms)
{
  uint32_t n = a->open.length;

  for (GList *l = a->ended.head; l; l = l->next)
    n += is_owed (l->data, now_ms);
  return n;
}

static void
end (struct wy_agent *a, uint32_t cut)
{
  a->stopped = true;
  wy_trace_event (a->trace, "target.left", "{s:s}", "target", a->s->name);
  wy_log (WY_LOG_INFO, "process.stop", "cut=%u", cut);
  uv_timer_stop (&a->sweep_timer);
  uv_timer_stop (&a->queue_timer);
  wy_agent_target_stop (a);
  wy_agent_links_stop (a);
  if (a->on_stopped)
    a->on_stopped (a->ctx, cut);
}

/* Look whether the last start is over and whether a stop is complete.  */
void
wy_agent_drain_sweep (struct wy_agent *a, int64_t now_ms)
{
  uint32_t n;

  if (a->leaving && !a->waiting_refused
      && now_ms - a->leaving_ms >= LAST_START_MS)
    {
      a->waiting_refused = true;
      wy_agent_refuse_waiting (a, WY_REFUSED_LEAVING, true);
    }
  if (!a->stopping || a->stopped)
    return;
  n = in_progress (a, now_ms);
  if (n == 0 || now_ms - a->stopping_ms >= a->s->drain_deadline_ms)
    end (a, n);
}

/* Take no new work and end when all that is in progress has ended and was
   acknowledged, or the drain deadline has passed.  */
void
wy_agent_stop (struct wy_agent *a)
{
  if (a->stopping)
    return;
  a->stopping = true;
  a->stopping_ms = wy_agent_now_ms (a);
  wy_trace_event (a->trace, "process.drain", NULL);
  settle (a);
}

/* End at once.  Returns how many requests that cut off.  */
uint32_t
wy_agent_stop_now (struct wy_agent *a)
{
  uint32_t n = in_progress (a, wy_agent_now_ms (a));

  if (!a->stopped)
    end (a, n);
  return n;
}
