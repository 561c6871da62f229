/* Lifecycle of an entry: start, periodic checks, graceful stop.  */
#include "entry/entry.h"

#include <stdlib.h>
#include <string.h>

#include "entry/acks.h"
#include "entry/clients.h"
#include "entry/counters.h"
#include "entry/dispatch.h"
#include "entry/instance_list.h"
#include "entry/issue_times.h"
#include "entry/orderer.h"
#include "entry/outcomes.h"
#include "entry/peers.h"
#include "entry/pool.h"
#include "entry/request.h"
#include "entry/routes.h"
#include "entry/runner.h"
#include "entry/state.h"
#include "entry/status.h"
#include "entry/suspect_rows.h"
#include "trace/log.h"

enum
{
  /* Period of the checks of deadlines, redials and the end of a stop.  */
  SWEEP_MS = 20,
  /* Unsent bytes for one target beyond which its connection is closed: some
     seconds of requests.  What was lost is sent again on the next
     connection.  */
  SEND_LIMIT_BYTES = 16 << 20,
  PORT_MAX = 65535
};

static int
split_address (const char *text, char **host, uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  char *end;
  long n;

  if (!colon || colon == text)
    return WY_ENTRY_EADDRESS;
  n = strtol (colon + 1, &end, 10);
  if (*end || n < 1 || n > PORT_MAX)
    return WY_ENTRY_EADDRESS;
  *host = g_strndup (text, (gsize)(colon - text));
  *port = (uint16_t)n;
  return 0;
}

static int
read_key (struct wy_entry *e, const char *text)
{
  struct wy_inner_key *k = &e->keys[e->identity.n_keys];
  char *end;
  unsigned long n;

  if (!*text)
    return 0;
  n = strtoul (text, &end, 10);
  if (end == text || *end != ':' || !end[1] || n > UINT32_MAX)
    return WY_ENTRY_EKEY;
  k->number = (uint32_t)n;
  k->secret = end + 1;
  e->identity.n_keys++;
  return 0;
}

static int
set_identity (struct wy_entry *e)
{
  const struct wy_entry_settings *s = e->s;
  int err = read_key (e, s->key_1);

  if (!err)
    err = read_key (e, s->key_2);
  if (!err && e->identity.n_keys == 0)
    err = WY_ENTRY_EKEY;
  e->identity.loop = e->loop;
  e->identity.clock = e->clock;
  e->identity.process = s->name;
  e->identity.incarnation = wy_trace_incarnation (e->trace);
  e->identity.availability_zone = s->availability_zone;
  e->identity.keys = e->keys;
  e->identity.handshake_timeout_ms = (uint32_t)s->handshake_timeout_ms;
  e->identity.heartbeat_ms = (uint32_t)s->heartbeat_ms;
  e->identity.silence_limit_ms = (uint32_t)s->silence_limit_ms;
  e->identity.send_limit_bytes = SEND_LIMIT_BYTES;
  e->identity.timestamp = wy_trace_timestamp;
  e->identity.observe = wy_trace_observe;
  e->identity.trace = e->trace;
  return err;
}

static void
sweep_requests (struct wy_entry *e, int64_t now_ms)
{
  GList *next;

  /* The end of one request never removes another one from the list, see cancel
     in runner.c.  */
  for (GList *l = e->open.head; l; l = next)
    {
      next = l->next;
      wy_dispatch_sweep (l->data, now_ms);
    }
}

static void
sweep_peers (struct wy_entry *e, int64_t now_ms)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, e->peers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    wy_peer_sweep (value, now_ms);
}

/* Log, the first time, that E is ready.  */
void
wy_entry_announce_ready (struct wy_entry *e)
{
  if (e->ready_announced || !wy_entry_ready (e))
    return;
  e->ready_announced = true;
  wy_trace_event (e->trace, "process.ready", NULL);
  wy_log (WY_LOG_INFO, "ready", "port=%u", wy_entry_port (e));
}

static void
finish_stop (struct wy_entry *e)
{
  e->stopped = true;
  wy_acks_flush (e, NULL);
  e->requests_cut = wy_http_server_active_requests (e->http);
  uv_timer_stop (&e->sweep_timer);
  wy_instance_list_stop (e);
  e->on_stopped (e->stopped_ctx, e->requests_cut);
}

static bool
is_done (const struct wy_entry *e)
{
  return e->open.length == 0 && e->pending_starts.length == 0
         && wy_http_server_active_requests (e->http) == 0
         && !(e->hooks.is_busy && e->hooks.is_busy (e->hooks.ctx));
}

static void
on_sweep (uv_timer_t *t)
{
  struct wy_entry *e = t->data;
  int64_t now_ms = wy_clock_mono_ms (e->clock);

  sweep_requests (e, now_ms);
  sweep_peers (e, now_ms);
  wy_orders_sweep (e, now_ms);
  wy_outcome_sweep (e, now_ms);
  wy_acks_sweep (e, now_ms);
  if (e->suspect_rows)
    wy_suspect_rows_sweep (e->suspect_rows, now_ms);
  if (e->issue_times)
    wy_issue_times_sweep (e->issue_times);
  wy_entry_announce_ready (e);
  if (e->stopping && (now_ms >= e->stop_deadline_ms || is_done (e)))
    finish_stop (e);
}

static int
listen_http (struct wy_entry *e)
{
  const struct wy_entry_settings *s = e->s;
  int system_error = 0;
  struct wy_http_server_options o
      = { .loop = e->loop,
          .host = s->host,
          .port = (uint16_t)s->port,
          .body_limit_bytes = (size_t)s->body_limit_bytes,
          .name = "callers",
          .bodies_limit_bytes = wy_entry_bodies_limit_bytes (s),
          .connection_limit = wy_entry_connection_limit (s),
          .overload = e->overload,
          .request_timeout_ms = (uint32_t)s->request_timeout_ms,
          .on_request = wy_routes_http,
          .ctx = e,
          .system_error = &system_error };

  if (!wy_http_server_new (&e->http, &o))
    return 0;
  wy_log (WY_LOG_ERROR, "process.not_started",
          "setting=port address=%s:%u error=%s", s->host, o.port,
          uv_strerror (system_error));
  return WY_ENTRY_ELISTEN;
}

static int
check_options (struct wy_entry *e)
{
  int err = set_identity (e);

  if (!err)
    err = split_address (e->s->list, &e->list_host, &e->list_port);
  if (!err && *e->s->operator_token
      && !strcmp (e->s->operator_token, e->s->trainer_token))
    err = WY_ENTRY_ETOKEN;
  if (err)
    return err;
  wy_entry_start_overload (e);
  return listen_http (e);
}

static void
init_tables (struct wy_entry *e)
{
  e->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wy_peer_free);
  e->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wy_pool_free);
  e->zones = g_ptr_array_new_with_free_func (g_free);
  e->requests = g_hash_table_new (g_str_hash, g_str_equal);
  e->orders
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, wy_order_free);
  e->outcomes = wy_outcomes_new ();
  g_queue_init (&e->open);
  g_queue_init (&e->pending_starts);
  g_queue_init (&e->deferred_acks);
}

/* Create an entry with options O and store it in OUT.  It reads the instance
   list and serves requests from then on.  Returns 0 or a wy_entry_error.  */
int
wy_entry_new (struct wy_entry **out, const struct wy_entry_options *o)
{
  struct wy_entry *e = g_malloc0 (sizeof *e);
  struct wy_retry_options retry
      = { .percent = (uint32_t)o->settings->retry_percent,
          .burst = (uint32_t)o->settings->retry_burst };
  int err;

  e->loop = o->loop;
  e->clock = o->clock;
  e->s = o->settings;
  e->trace = o->trace;
  e->metrics = o->metrics;
  e->feed = o->feed;
  e->store = o->store;
  err = check_options (e);
  if (err)
    {
      g_free (e->list_host);
      g_free (e->list_etag);
      g_free (e);
      return err;
    }
  init_tables (e);
  wy_entry_counters_init (e);
  wy_rng_seed (&e->rng, wy_hash64 (e->identity.incarnation,
                                   strlen (e->identity.incarnation), 0));
  wy_retry_init (&e->budget, &retry);
  wy_suspects_init (&e->suspects);
  e->client = wy_http_client_new (e->loop, (uint32_t)e->s->list_poll_ms);
  wy_http_client_count_malformed (e->client, e->counters.malformed);
  uv_timer_init (e->loop, &e->start_timer);
  e->start_timer.data = e;
  uv_timer_init (e->loop, &e->sweep_timer);
  e->sweep_timer.data = e;
  uv_timer_start (&e->sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
  if (e->store)
    {
      e->suspect_rows = wy_suspect_rows_new (e);
      e->issue_times = wy_issue_times_new (e);
    }
  wy_instance_list_start (e);
  *out = e;
  return 0;
}

/* Let E serve the routes of H too.  */
void
wy_entry_set_hooks (struct wy_entry *e, const struct wy_entry_hooks *h)
{
  e->hooks = *h;
}

/* The HTTP port in use.  */
uint16_t
wy_entry_port (const struct wy_entry *e)
{
  return wy_http_server_port (e->http);
}

/* D is the configuration in force from now on; it must stay valid until the
   next call.  */
void
wy_entry_configure (struct wy_entry *e, const struct wy_document *d)
{
  e->document = d;
}

/* Stop gracefully: accept no new connections, finish the requests in progress,
   and call ON_STOPPED with the number of requests that were cut off at the
   drain deadline.  */
void
wy_entry_stop (struct wy_entry *e,
               void (*on_stopped) (void *ctx, uint32_t cut), void *ctx)
{
  if (e->stopping)
    return;
  e->stopping = true;
  e->on_stopped = on_stopped;
  e->stopped_ctx = ctx;
  e->stop_deadline_ms = wy_clock_mono_ms (e->clock) + e->s->drain_deadline_ms;
  wy_trace_event (e->trace, "process.drain", NULL);
  wy_http_server_stop_accepting (e->http);
  wy_acks_flush (e, NULL);
  if (e->hooks.stop)
    e->hooks.stop (e->hooks.ctx);
}

/* End a stop immediately, even with requests in progress.  */
void
wy_entry_stop_now (struct wy_entry *e)
{
  if (e->stopping && !e->stopped)
    e->stop_deadline_ms = 0;
}

static void
close_peers (struct wy_entry *e)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, e->peers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    wy_peer_disconnect (value);
}

/* Close the connections of E, which is stopped.  The loop has to run until it
   is empty before wy_entry_free.  */
void
wy_entry_close (struct wy_entry *e)
{
  wy_suspect_rows_free (e->suspect_rows);
  e->suspect_rows = NULL;
  close_peers (e);
  wy_http_server_free (e->http);
  wy_h1_overload_close (e->overload);
  uv_close ((uv_handle_t *)&e->start_timer, NULL);
  uv_close ((uv_handle_t *)&e->sweep_timer, NULL);
  uv_close ((uv_handle_t *)&e->list_timer, NULL);
}

/* Free E once its loop is empty.  */
void
wy_entry_free (struct wy_entry *e)
{
  struct wy_request *r;

  while ((r = g_queue_peek_head (&e->open)))
    {
      wy_request_detach_peer (r);
      g_queue_unlink (&e->open, &r->open_link);
      wy_request_free (r);
    }
  wy_issue_times_free (e->issue_times);
  wy_outcomes_free (e->outcomes);
  g_hash_table_destroy (e->requests);
  g_hash_table_destroy (e->orders);
  g_hash_table_destroy (e->peers);
  g_hash_table_destroy (e->pools);
  g_ptr_array_free (e->zones, TRUE);
  wy_http_client_free (e->client);
  g_free (e->list_host);
  g_free (e->list_etag);
  g_free (e);
}
