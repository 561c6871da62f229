/* The target beside the agent: whether it is up, and what it reports.

   An engine that restarts comes up with old weights, at the same address and
   within a second.  Nothing is handed to a target that broke a connection
   until it has been asked anew, and a changed incarnation is told and its
   version read before the queue goes on.  */
#include "agent/target.h"

#include <string.h>

#include <jansson.h>

#include "agent/prefix_cache.h"
#include "agent/dispatch.h"
#include "agent/probe.h"
#include "agent/run.h"
#include "agent/run_model.h"
#include "agent/run_service.h"
#include "http/error.h"
#include "trace/log.h"

enum
{
  POLL_TIMEOUT_MS = 2000,
  /* Polls in a row without an answer before the target counts as down.  One
     that was merely slow isn't worth losing its queue for.  */
  FAILURES_MAX = 3,
  STATUS_OK = 200
};

/* VERSION is in force at the target, and STAGED lies ready.  */
void
wy_agent_target_version (struct wy_agent *a, int64_t version, int64_t staged)
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
up (struct wy_agent *a, const char *incarnation)
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
  /* Told of a leaving target it would read as the end of the leaving.  */
  if (!a->leaving)
    wy_trace_event (a->trace, "target.up", "{s:s, s:s}", "target", a->s->name,
                    "target_inc", incarnation);
  wy_agent_dispatch_soon (a);
}

static void
down (struct wy_agent *a)
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
  wy_agent_refuse_waiting (a, WY_REFUSED_BUSY, true);
}

static int64_t
number (const json_t *body, const char *key)
{
  return json_integer_value (json_object_get (body, key));
}

static bool
take_load (struct wy_agent *a, const struct wy_http_response *answer)
{
  struct wy_target *t = &a->target;
  json_t *body = json_loadb (answer->body, answer->size_bytes, 0, NULL);
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
      up (a, incarnation);
      /* Load reports lag.  One from before an order was carried out names the
         version before; taken for true, the target would seem to fall back,
         and be left out of placement or swapped again.  */
      if (t->as_of_ms >= t->ordered_ms)
        wy_agent_target_version (a, number (body, "version"),
                                 number (body, "staged"));
    }
  json_decref (body);
  return incarnation != NULL;
}

static void
polled (struct wy_agent *a, bool ok, bool refused)
{
  struct wy_target *t = &a->target;

  t->polling = false;
  if (!ok && (refused || ++t->failures >= FAILURES_MAX))
    down (a);
  if (ok)
    wy_agent_cache_poll (a);
}

static void
on_load (void *ctx, const struct wy_http_response *answer)
{
  struct wy_agent *a = ctx;
  bool ok
      = !answer->err && answer->status == STATUS_OK && take_load (a, answer);

  polled (a, ok, answer->err == WY_HTTP_ECONNECT);
}

/* A plain service tells no incarnation; each time it comes up counts as a new
   one.  */
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
      up (a, incarnation);
      g_free (incarnation);
    }
  polled (a, ok, true);
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

/* A connection to the target broke or couldn't be had: hand nothing to it
   until it has answered.  A poll that is under way may have been answered by
   the one that died, so the next one decides.  */
void
wy_agent_target_doubt (struct wy_agent *a)
{
  if (a->target.state != WY_TARGET_UP)
    return;
  a->target.state = WY_TARGET_UNKNOWN;
  *a->n.target_up = 0;
  if (!a->target.polling)
    poll_target (a);
}

/* Begin to watch the target.  */
void
wy_agent_target_start (struct wy_agent *a)
{
  uv_timer_init (a->loop, &a->poll_timer);
  a->poll_timer.data = a;
  uv_timer_start (&a->poll_timer, on_poll, 0, (uint64_t)a->s->target_poll_ms);
}

/* Watch it no more.  */
void
wy_agent_target_stop (struct wy_agent *a)
{
  uv_timer_stop (&a->poll_timer);
}

static bool
is_silent (const struct wy_run *r, int64_t now_ms)
{
  return r->phase == WY_PHASE_RUNNING && r->item.state == WY_QUEUE_ITEM_RUNNING
         && r->call && now_ms - r->heard_ms >= r->agent->s->target_silence_ms;
}

/* End the runs that brought nothing for too long.  Their connections are
   open, but something between or in the target has lost track of them.  */
void
wy_agent_target_silent (struct wy_agent *a, int64_t now_ms)
{
  GList *next;

  for (GList *l = a->open.head; l; l = next)
    {
      struct wy_run *r = l->data;

      next = l->next;
      if (!is_silent (r, now_ms))
        continue;
      if (r->is_model)
        wy_agent_model_lost (r);
      else
        wy_agent_service_lost (r);
    }
}
