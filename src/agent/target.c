/* Tracks the state of the target: whether it is up, and what it reports.

   An engine that restarts comes up with old weights, at the same address and
   within a second.  So nothing is sent to a target after a connection to it
   broke until it has responded to a poll, and when its incarnation has
   changed, this is announced and the weight version is read before the queue
   continues.  */
#include "agent/target.h"

#include <string.h>

#include <jansson.h>

#include "agent/dispatch.h"
#include "agent/prefix_cache.h"
#include "agent/probe.h"
#include "agent/run.h"
#include "agent/run_model.h"
#include "agent/run_service.h"
#include "http/error.h"
#include "trace/log.h"

enum
{
  POLL_TIMEOUT_MS = 2000,
  /* Consecutive failed polls before the target counts as down.  A target that
     is merely slow shouldn't lose its queue.  */
  FAILURES_MAX = 3,
  STATUS_OK = 200
};

/* Record the weight version in force on the target, and the staged one.  */
void
wy_agent_target_set_version (struct wy_agent *a, int64_t version,
                             int64_t staged)
{
  struct wy_target *t = &a->target;

  t->staged = staged;
  if (t->version == version)
    return;
  t->version = version;
  *a->n.version = version;
  wy_trace_event (a->trace, "target.version", "{s:s, s:s, s:I}", "target",
                  a->s->name, "target_inc", t->incarnation, "version",
                  (json_int_t)version);
}

static void
set_up (struct wy_agent *a, const char *incarnation)
{
  struct wy_target *t = &a->target;
  bool changed = g_strcmp0 (t->incarnation, incarnation) != 0;

  t->failures = 0;
  if (t->state == WY_TARGET_UP && !changed)
    return;
  if (changed)
    {
      if (t->incarnation)
        ++*a->n.target_restarts;
      g_free (t->incarnation);
      t->incarnation = g_strdup (incarnation);
      t->version = 0;
      t->ordered_ms = 0;
      t->n_prefixes = 0;
      t->cache_seq = 0;
    }
  t->state = WY_TARGET_UP;
  *a->n.target_up = 1;
  wy_log (WY_LOG_INFO, "target.up", "target=%s incarnation=%s", a->s->name,
          incarnation);
  /* While the target is leaving, this event would mean that it has stopped
     leaving.  */
  if (!a->leaving)
    wy_trace_event (a->trace, "target.up", "{s:s, s:s}", "target", a->s->name,
                    "target_inc", incarnation);
  wy_agent_dispatch_soon (a);
}

static void
set_down (struct wy_agent *a)
{
  struct wy_target *t = &a->target;

  if (t->state != WY_TARGET_DOWN)
    {
      wy_log (WY_LOG_WARN, "target.down", "target=%s open=%u", a->s->name,
              a->open.length);
      wy_trace_event (a->trace, "target.down", "{s:s, s:s}", "target",
                      a->s->name, "target_inc",
                      t->incarnation ? t->incarnation : "");
    }
  t->state = WY_TARGET_DOWN;
  *a->n.target_up = 0;
  wy_agent_reject_waiting (a, WY_REFUSED_BUSY, true);
}

static int64_t
number (const json_t *body, const char *key)
{
  return json_integer_value (json_object_get (body, key));
}

static bool
read_load (struct wy_agent *a, const struct wy_http_response *response)
{
  struct wy_target *t = &a->target;
  json_t *body = json_loadb (response->body, response->size_bytes, 0, NULL);
  const char *incarnation
      = json_string_value (json_object_get (body, "incarnation"));

  if (incarnation)
    {
      t->kv_used = number (body, "kv_used");
      t->kv_total = number (body, "kv_total");
      t->as_of_ms = number (body, "as_of_ms");
      t->running = (uint32_t)number (body, "running");
      if (!a->s->kv_tokens && t->kv_total > 0 && t->kv_total <= UINT32_MAX)
        a->queue.o.kv_tokens_max = (uint32_t)t->kv_total;
      set_up (a, incarnation);
      /* Load reports are delayed.  One from before the last order names the
         old version; if it were used, the target would seem to have gone back,
         and would be omitted from placement or swapped again.  */
      if (t->as_of_ms >= t->ordered_ms)
        wy_agent_target_set_version (a, number (body, "version"),
                                     number (body, "staged"));
    }
  json_decref (body);
  return incarnation != NULL;
}

static void
poll_done (struct wy_agent *a, bool ok, bool refused)
{
  struct wy_target *t = &a->target;

  t->polling = false;
  if (!ok && (refused || ++t->failures >= FAILURES_MAX))
    set_down (a);
  if (ok)
    wy_agent_prefix_cache_poll (a);
}

static void
on_load (void *ctx, const struct wy_http_response *response)
{
  struct wy_agent *a = ctx;
  bool ok = !response->err && response->status == STATUS_OK
            && read_load (a, response);

  poll_done (a, ok, response->err == WY_HTTP_ECONNECT);
}

/* A plain service reports no incarnation; each time it comes up counts as a
   new one.  */
static void
on_probed (void *ctx, bool ok)
{
  struct wy_agent *a = ctx;
  struct wy_target *t = &a->target;
  char *incarnation;

  if (ok)
    {
      if (t->state != WY_TARGET_UP)
        t->starts++;
      incarnation
          = g_strdup_printf ("up-%" G_GUINT64_FORMAT, (guint64)t->starts);
      set_up (a, incarnation);
      g_free (incarnation);
    }
  poll_done (a, ok, true);
}

static void
poll_target (struct wy_agent *a)
{
  const struct wy_agent_settings *s = a->s;
  struct wy_http_call_options o = { .method = "GET",
                                    .host = s->target_host,
                                    .port = (uint16_t)s->target_port,
                                    .path = "/control/load",
                                    .timeout_ms = POLL_TIMEOUT_MS };

  if (a->target.polling)
    return;
  a->target.polling = true;
  if (s->target_kind == WY_TARGET_MODEL)
    wy_http_fetch (a->client, &o, on_load, a);
  else
    wy_agent_probe (a->loop, s->target_host, (uint16_t)s->target_port,
                    on_probed, a);
}

static void
on_poll (uv_timer_t *t)
{
  poll_target (t->data);
}

/* Poll the target after a connection to it failed.  Nothing is sent to it
   until it has responded.  A poll in progress may have been answered by the
   failed incarnation, so the next one decides.  */
void
wy_agent_target_recheck (struct wy_agent *a)
{
  if (a->target.state != WY_TARGET_UP)
    return;
  a->target.state = WY_TARGET_UNKNOWN;
  *a->n.target_up = 0;
  if (!a->target.polling)
    poll_target (a);
}

/* Start polling the target.  */
void
wy_agent_target_start (struct wy_agent *a)
{
  uv_timer_init (a->loop, &a->poll_timer);
  a->poll_timer.data = a;
  uv_timer_start (&a->poll_timer, on_poll, 0, (uint64_t)a->s->target_poll_ms);
}

/* Stop polling the target.  */
void
wy_agent_target_stop (struct wy_agent *a)
{
  uv_timer_stop (&a->poll_timer);
}

static bool
is_silent (const struct wy_run *r, int64_t now_ms)
{
  return r->phase == WY_PHASE_RUNNING && r->item.state == WY_QUEUE_ITEM_RUNNING
         && r->call
         && now_ms - r->last_received_ms >= r->agent->s->target_silence_ms;
}

/* End runs whose target has sent nothing for target_silence_ms.  Their
   connections are open, but the target or something on the path has lost their
   state.  */
void
wy_agent_target_end_silent (struct wy_agent *a, int64_t now_ms)
{
  GList *next;

  for (GList *l = a->open.head; l; l = next)
    {
      struct wy_run *r = l->data;

      next = l->next;
      if (!is_silent (r, now_ms))
        continue;
      if (r->is_model)
        wy_agent_model_crashed (r);
      else
        wy_agent_service_crashed (r);
    }
}
