/* Connections from entries.

   Only the newest connection of each incarnation of an entry is used.  An
   entry that reconnects has given up the old connection.  If frames were still
   read from it, a delayed SUBMIT could run after the entry had told its caller
   that the request didn't run.  */
#include "agent/links.h"

#include <string.h>

#include "agent/attach.h"
#include "agent/orders.h"
#include "agent/run.h"
#include "agent/submit.h"
#include "trace/log.h"

enum
{
  /* Minimum time between two sends of the configuration to an entry.  */
  CONFIG_RESEND_MS = 1000
};

static void
close_older (struct wy_link *newest)
{
  GList *next;

  for (GList *i = newest->agent->links.head; i; i = next)
    {
      struct wy_link *l = i->data;

      next = i->next;
      if (l != newest && l->peer && !strcmp (l->peer, newest->peer))
        wy_conn_close (l->conn);
    }
}

static void
on_ready (void *ctx, struct wy_conn *c, const char *process,
          const char *incarnation, const char *availability_zone)
{
  struct wy_link *l = ctx;
  struct wy_agent *a = l->agent;
  struct wy_frame leaving = { .kind = WY_FRAME_LEAVING };

  l->peer = g_strdup_printf ("%s/%s", process, incarnation);
  wy_log (WY_LOG_INFO, "entry.ready", "entry=%s availability_zone=%s", l->peer,
          availability_zone);
  close_older (l);
  ++*a->n.links;
  if (a->leaving)
    wy_conn_send (c, &leaving);
}

/* Send the configuration to the entry of L, which has an older one.  Entries
   that can't reach the store receive it from agents, which received it from
   other entries.  */
static void
send_config (struct wy_link *l)
{
  struct wy_agent *a = l->agent;
  const char *text = wy_config_feed_text (a->feed);
  int64_t now_ms = wy_agent_now_ms (a);
  struct wy_frame f = { .kind = WY_FRAME_CONFIG };

  if (!text || now_ms < l->config_resend_ms)
    return;
  l->config_resend_ms = now_ms + CONFIG_RESEND_MS;
  f.u.config.revision = wy_config_feed_revision (a->feed);
  f.u.config.confirmed_ms = wy_config_feed_confirmed_ms (a->feed);
  f.u.config.json = wy_bytes_of (text);
  wy_conn_send (l->conn, &f);
}

static void
on_ping (struct wy_link *l, const struct wy_frame *f)
{
  struct wy_agent *a = l->agent;
  int64_t revision = wy_config_feed_revision (a->feed);

  wy_trace_observe (a->trace, f->u.ping.timestamp);
  if (f->kind == WY_FRAME_PONG)
    l->last_pong_seq = f->u.ping.seq;
  if (f->u.ping.config_revision < revision)
    send_config (l);
  else if (f->u.ping.config_revision == revision && revision > 0)
    wy_config_feed_offer (a->feed, revision, f->u.ping.config_confirmed_ms,
                          NULL, 0);
}

static void
on_ack (struct wy_link *l, const struct wy_frame_resume *f)
{
  struct wy_run *r = wy_agent_run_find (l->agent, f->id);

  if (r && wy_bytes_equal (f->run, r->run))
    wy_agent_run_acked (r);
}

static void
on_frame (void *ctx, struct wy_conn *c, const struct wy_frame *f)
{
  struct wy_link *l = ctx;

  switch (f->kind)
    {
    case WY_FRAME_PING:
    case WY_FRAME_PONG:
      on_ping (l, f);
      return;
    case WY_FRAME_SUBMIT:
      wy_agent_submit (l, &f->u.submit);
      return;
    case WY_FRAME_RESUME:
      wy_agent_resume (l, &f->u.resume);
      return;
    case WY_FRAME_CANCEL:
      wy_agent_cancel (l, &f->u.resume);
      return;
    case WY_FRAME_ACK:
      on_ack (l, &f->u.resume);
      return;
    case WY_FRAME_QUERY:
      wy_agent_query (l, &f->u.resume);
      return;
    case WY_FRAME_ORDER:
      wy_agent_order (l, &f->u.order);
      return;
    case WY_FRAME_CONFIG:
      wy_config_feed_offer (l->agent->feed, f->u.config.revision,
                            f->u.config.confirmed_ms, f->u.config.json.p,
                            f->u.config.json.n);
      return;
    case WY_FRAME_HELLO:
    case WY_FRAME_CHALLENGE:
    case WY_FRAME_PROOF:
    case WY_FRAME_WELCOME:
    case WY_FRAME_ACCEPTED:
    case WY_FRAME_REFUSED:
    case WY_FRAME_HEAD:
    case WY_FRAME_CHUNK:
    case WY_FRAME_END:
    case WY_FRAME_OUTCOME:
    case WY_FRAME_ORDERED:
    case WY_FRAME_LEAVING:
      wy_log (WY_LOG_WARN, "entry.frame", "entry=%s kind=%d", l->peer,
              (int)f->kind);
      return;
    }
}

static void
on_closed (void *ctx, struct wy_conn *c, int err)
{
  struct wy_link *l = ctx;
  struct wy_agent *a = l->agent;

  ++*a->n.links_closed;
  if (err == WY_INNER_EAUTH || err == WY_INNER_EMALFORMED
      || err == WY_INNER_ETOOBIG || err == WY_INNER_EPROTOCOL)
    {
      ++*a->n.links_bad;
      wy_log (WY_LOG_WARN, "entry.refused", "entry=%s why=\"%s\"",
              l->peer ? l->peer : "", wy_inner_strerror (err));
    }
  if (l->peer)
    {
      wy_log (WY_LOG_INFO, "entry.away", "entry=%s why=\"%s\" runs=%u",
              l->peer, wy_inner_strerror (err), l->attached.length);
      --*a->n.links;
    }
  while (l->attached.head)
    wy_agent_detach (l->attached.head->data);
  wy_agent_orders_link_closed (l);
  g_queue_unlink (&a->links, &l->link);
  g_free (l->peer);
  g_free (l);
}

static void
on_writable (void *ctx, struct wy_conn *c)
{
  wy_agent_flush_link (ctx);
}

static uint32_t
load_age_ms (const struct wy_agent *a)
{
  int64_t age = wy_clock_wall_ms (a->clock) - a->target.as_of_ms;

  return a->target.as_of_ms && age > 0 ? (uint32_t)MIN (age, UINT32_MAX) : 0;
}

static void
fill_load (struct wy_agent *a, struct wy_target_load *l)
{
  struct wy_queue_load q;

  wy_queue_load (&a->queue, wy_agent_now_ms (a), &q);
  l->running = q.callers_running + q.rollouts_running;
  l->running_rollout = q.rollouts_running;
  l->queued_interactive = q.callers_waiting;
  l->queued_rollout = q.rollouts_waiting;
  l->kv_total_tokens = a->queue.o.kv_tokens_max;
  l->kv_used_tokens = (int64_t)a->queue.o.kv_tokens_max - q.kv_free_tokens;
  l->completed_milli_per_s = a->completed_milli_per_s;
  l->version = a->target.version;
  l->staged_version = a->target.staged;
  l->leaving = a->leaving;
  l->target_up = a->target.state == WY_TARGET_UP;
  l->age_ms = load_age_ms (a);
  l->streams_max = q.streams_max;
  l->caller_wait_ms = q.caller_wait_ms;
  l->us_per_token = a->s->target_kind == WY_TARGET_MODEL ? q.us_per_token : 0;
  l->weights_port = wy_agent_weights_port (a);
}

static bool
is_busy (void *ctx, struct wy_conn *c)
{
  return ((const struct wy_link *)ctx)->attached.length > 0;
}

static void
fill_ping (void *ctx, struct wy_conn *c, struct wy_frame_ping *p)
{
  struct wy_agent *a = ((struct wy_link *)ctx)->agent;

  p->timestamp = wy_trace_timestamp (a->trace);
  p->config_revision = wy_config_feed_revision (a->feed);
  p->config_confirmed_ms = wy_config_feed_confirmed_ms (a->feed);
  p->has_load = true;
  fill_load (a, &p->load);
  p->prefixes = a->target.prefixes;
  p->n_prefixes = a->target.n_prefixes;
}

static struct wy_conn_events
on_accept (void *ctx, struct wy_conn *c)
{
  struct wy_agent *a = ctx;
  struct wy_link *l = g_new0 (struct wy_link, 1);
  struct wy_conn_events events = { .on_ready = on_ready,
                                   .on_frame = on_frame,
                                   .on_closed = on_closed,
                                   .on_writable = on_writable,
                                   .is_busy = is_busy,
                                   .fill_ping = fill_ping,
                                   .ctx = l };

  l->agent = a;
  l->conn = c;
  l->number = ++a->link_number;
  l->link.data = l;
  g_queue_push_tail_link (&a->links, &l->link);
  return events;
}

/* Log that the agent can't listen on PORT, which SETTING names.  */
void
wy_agent_listen_failed (const struct wy_agent *a, const char *setting,
                        uint16_t port, int system_error)
{
  wy_log (WY_LOG_ERROR, "process.not_started",
          "setting=%s address=%s:%u error=%s", setting, a->s->host, port,
          uv_strerror (system_error));
}

/* Listen for connections from entries.  Returns 0 or WY_AGENT_ELISTEN.  */
int
wy_agent_links_start (struct wy_agent *a)
{
  int system_error = 0;
  struct wy_listener_options o = { .identity = &a->identity,
                                   .host = a->s->host,
                                   .port = (uint16_t)a->s->port,
                                   .on_accept = on_accept,
                                   .ctx = a,
                                   .system_error = &system_error };

  if (!wy_listener_new (&a->listener, &o))
    return 0;
  wy_agent_listen_failed (a, "port", o.port, system_error);
  return WY_AGENT_ELISTEN;
}

/* Send F to all connected entries.  */
void
wy_agent_links_send (struct wy_agent *a, const struct wy_frame *f)
{
  for (GList *i = a->links.head; i; i = i->next)
    wy_conn_send (((struct wy_link *)i->data)->conn, f);
}

/* Stop listening and close all connections.  */
void
wy_agent_links_stop (struct wy_agent *a)
{
  wy_listener_close (a->listener);
  for (GList *i = a->links.head; i; i = i->next)
    wy_conn_close (((struct wy_link *)i->data)->conn);
}
