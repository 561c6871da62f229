/* Draining and graceful stop: the agent accepts no new work, and after a stop
   it ends when nothing is in progress.

   The instance list shows a leaving target with a delay, so the agent
   announces it to all entries directly.  */
#include "agent/drain.h"

#include "agent/dispatch.h"
#include "agent/links.h"
#include "agent/run.h"
#include "agent/target.h"
#include "trace/log.h"

enum
{
  /* Waiting non-idempotent requests can't run on another target and may still
     start within this time.  Entries and operators expect it to be at most two
     seconds.  */
  LAST_START_MS = 1500
};

static void
start_leaving (struct wy_agent *a)
{
  struct wy_frame f = { .kind = WY_FRAME_LEAVING };

  a->leaving = true;
  a->leaving_ms = wy_agent_now_ms (a);
  a->waiting_rejected = false;
  *a->n.leaving = 1;
  wy_queue_close (&a->queue);
  wy_trace_event (a->trace, "target.leaving", "{s:s}", "target", a->s->name);
  wy_agent_links_send (a, &f);
  wy_agent_reject_waiting (a, WY_REFUSED_LEAVING, false);
}

static void
stop_leaving (struct wy_agent *a)
{
  a->leaving = false;
  *a->n.leaving = 0;
  a->queue.closing = false;
  wy_trace_event (a->trace, "target.up", "{s:s, s:s}", "target", a->s->name,
                  "target_inc",
                  a->target.incarnation ? a->target.incarnation : "");
}

static void
update_leaving (struct wy_agent *a)
{
  bool leaving = a->drain_ordered || a->drain_configured || a->stopping;

  if (leaving && !a->leaving)
    start_leaving (a);
  else if (!leaving && a->leaving)
    stop_leaving (a);
}

/* Drain the target or undrain it, by order of an operator.  */
void
wy_agent_drain_order (struct wy_agent *a, bool drain)
{
  a->drain_ordered = drain;
  update_leaving (a);
}

/* Apply the new configuration D, which may list the target as drained.  */
void
wy_agent_drain_on_config (struct wy_agent *a, const struct wy_document *d)
{
  a->drain_configured = wy_document_is_drained (d, a->s->name);
  update_leaving (a);
}

/* Whether an entry has yet to fetch the result of R, which has ended: one is
   attached, may still acknowledge it, or may reconnect and resume.  */
static bool
result_is_pending (const struct wy_run *r, int64_t now_ms)
{
  if (wy_agent_run_is_settled (r))
    return false;
  return r->attached.length
         || now_ms - r->detached_ms < r->agent->s->orphan_grace_ms;
}

/* Number of runs that would be lost if the agent ended now.  */
static uint32_t
count_in_progress (const struct wy_agent *a, int64_t now_ms)
{
  uint32_t n = a->open.length;

  for (GList *l = a->ended.head; l; l = l->next)
    n += result_is_pending (l->data, now_ms);
  return n;
}

static void
finish_stop (struct wy_agent *a, uint32_t aborted)
{
  a->stopped = true;
  wy_trace_event (a->trace, "target.left", "{s:s}", "target", a->s->name);
  wy_log (WY_LOG_INFO, "process.stop", "cut=%u", aborted);
  uv_timer_stop (&a->sweep_timer);
  uv_timer_stop (&a->queue_timer);
  wy_agent_target_stop (a);
  wy_agent_links_stop (a);
  if (a->on_stopped)
    a->on_stopped (a->ctx, aborted);
}

/* Reject waiting requests when the time for late starts is over, and end the
   agent when a stop is complete.  */
void
wy_agent_drain_sweep (struct wy_agent *a, int64_t now_ms)
{
  uint32_t n;

  if (a->leaving && !a->waiting_rejected
      && now_ms - a->leaving_ms >= LAST_START_MS)
    {
      a->waiting_rejected = true;
      wy_agent_reject_waiting (a, WY_REFUSED_LEAVING, true);
    }
  if (!a->stopping || a->stopped)
    return;
  n = count_in_progress (a, now_ms);
  if (n == 0 || now_ms - a->stopping_ms >= a->s->drain_deadline_ms)
    finish_stop (a, n);
}

/* Accept no new work, and end when all runs in progress have ended and their
   results are acknowledged, or after drain_deadline_ms.  */
void
wy_agent_stop (struct wy_agent *a)
{
  if (a->stopping)
    return;
  a->stopping = true;
  a->stopping_ms = wy_agent_now_ms (a);
  wy_trace_event (a->trace, "process.drain", NULL);
  update_leaving (a);
}

/* End immediately.  Returns the number of requests that are aborted.  */
uint32_t
wy_agent_stop_now (struct wy_agent *a)
{
  uint32_t n = count_in_progress (a, wy_agent_now_ms (a));

  if (!a->stopped)
    finish_stop (a, n);
  return n;
}
