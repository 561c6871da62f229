/* Connections to the agents of the targets.

   A connection can go permanently silent in either direction while new ones
   work.  The connection layer closes it after the silence limit; it is dialled
   again at once, and every request that was open on it is resumed, since
   requests are not bound to a connection.  Requests are given up only when a
   target stays disconnected.  */
#include "entry/peers.h"

#include <string.h>

#include "entry/dispatch.h"
#include "entry/orderer.h"
#include "entry/outcomes.h"
#include "entry/pool.h"
#include "entry/reports.h"
#include "entry/run.h"
#include "trace/log.h"

enum
{
  /* Backoff after the first failed dial; doubles with each.  */
  REDIAL_MS = 50,
  REDIAL_MAX_MS = 2000,
  REDIAL_DOUBLINGS_MAX = 6
};

static void
send_pending_cancels (struct wy_peer *p)
{
  char *id;

  while ((id = g_queue_pop_head (&p->pending_cancels)))
    {
      struct wy_frame f = { .kind = WY_FRAME_CANCEL };

      f.u.resume.id = wy_bytes_of (id);
      wy_peer_send (p, &f);
      g_free (id);
    }
}

static void
on_ready (void *ctx, struct wy_conn *c, const char *process,
          const char *incarnation, const char *availability_zone)
{
  struct wy_peer *p = ctx;

  p->ready = true;
  p->failed_dials = 0;
  p->disconnected_since_ms = 0;
  p->config_revision = 0;
  p->config_sent_revision = 0;
  if (!p->incarnation || strcmp (p->incarnation, incarnation) != 0)
    {
      g_free (p->incarnation);
      p->incarnation = g_strdup (incarnation);
      p->incarnation_hash = wy_hash64 (incarnation, strlen (incarnation), 0);
      p->has_load = false;
      p->target_down = false;
      g_clear_pointer (&p->weights_source, g_free);
      memset (&p->load, 0, sizeof p->load);
      /* An announcement of the earlier incarnation does not apply to this
         one.  */
      p->reported_leaving = false;
      p->leaving = !p->listed || p->list_leaving;
    }
  wy_log (WY_LOG_INFO, "peer.ready", "target=%s process=%s incarnation=%s",
          p->id, process, incarnation);
  wy_pool_add_peer (p);
  wy_peer_push_config (p);
  send_pending_cancels (p);
  wy_dispatch_connected (p);
}

static void
on_frame (void *ctx, struct wy_conn *c, const struct wy_frame *f)
{
  struct wy_peer *p = ctx;

  switch (f->kind)
    {
    case WY_FRAME_PING:
    case WY_FRAME_PONG:
      wy_peer_heartbeat (p, &f->u.ping);
      return;
    case WY_FRAME_ACCEPTED:
    case WY_FRAME_REFUSED:
    case WY_FRAME_HEAD:
    case WY_FRAME_CHUNK:
    case WY_FRAME_END:
      wy_run_frame (p, f);
      return;
    case WY_FRAME_OUTCOME:
      wy_outcome_frame (p, &f->u.end);
      return;
    case WY_FRAME_ORDERED:
      wy_order_result_frame (p, &f->u.ordered);
      return;
    case WY_FRAME_LEAVING:
      p->reported_leaving = true;
      wy_peer_set_leaving (p, true);
      return;
    case WY_FRAME_CONFIG:
      wy_config_feed_offer (p->entry->feed, f->u.config.revision,
                            f->u.config.confirmed_ms, f->u.config.json.p,
                            f->u.config.json.n);
      return;
    case WY_FRAME_HELLO:
    case WY_FRAME_CHALLENGE:
    case WY_FRAME_PROOF:
    case WY_FRAME_WELCOME:
    case WY_FRAME_SUBMIT:
    case WY_FRAME_RESUME:
    case WY_FRAME_CANCEL:
    case WY_FRAME_ACK:
    case WY_FRAME_QUERY:
    case WY_FRAME_ORDER:
      wy_log (WY_LOG_WARN, "peer.frame", "target=%s kind=%d", p->id,
              (int)f->kind);
      return;
    }
}

/* Backoff before the next dial.  None after a connection that worked: a silent
   one is replaced at once.  Later ones double, with jitter, so that the
   entries don't all dial a returning target at the same moment.  */
static int64_t
redial_backoff_ms (struct wy_peer *p)
{
  uint32_t doublings = MIN (p->failed_dials, REDIAL_DOUBLINGS_MAX);
  uint32_t wait;

  if (p->failed_dials == 0)
    return 0;
  wait = MIN (REDIAL_MAX_MS, (uint32_t)REDIAL_MS << (doublings - 1));
  return wait / 2 + wy_rng_below (&p->entry->rng, wait / 2 + 1);
}

static void
on_closed (void *ctx, struct wy_conn *c, int err)
{
  struct wy_peer *p = ctx;
  int64_t now_ms = wy_clock_mono_ms (p->entry->clock);

  p->conn = NULL;
  if (p->ready)
    wy_log (WY_LOG_INFO, "peer.away", "target=%s err=%d open=%u", p->id, err,
            p->requests.length);
  else
    p->failed_dials++;
  p->ready = false;
  if (p->disconnected_since_ms == 0)
    p->disconnected_since_ms = now_ms;
  p->next_dial_ms = now_ms + redial_backoff_ms (p);
  wy_pool_remove_peer (p);
  wy_orders_fail_peer (p);
  wy_dispatch_disconnected (p);
}

static void
fill_ping (void *ctx, struct wy_conn *c, struct wy_frame_ping *ping)
{
  struct wy_entry *e = ((struct wy_peer *)ctx)->entry;

  ping->timestamp = wy_trace_timestamp (e->trace);
  ping->config_revision = wy_config_feed_revision (e->feed);
  ping->config_confirmed_ms = wy_config_feed_confirmed_ms (e->feed);
}

static bool
is_busy (void *ctx, struct wy_conn *c)
{
  const struct wy_peer *p = ctx;

  return p->requests.length > 0 || p->pending_cancels.length > 0;
}

static void
dial (struct wy_peer *p)
{
  struct wy_conn_events events = { .on_ready = on_ready,
                                   .on_frame = on_frame,
                                   .on_closed = on_closed,
                                   .is_busy = is_busy,
                                   .fill_ping = fill_ping,
                                   .ctx = p };

  ++*p->entry->counters.dials;
  p->conn = wy_conn_dial (&p->entry->identity, p->host, p->port, &events);
  if (p->conn)
    return;
  p->failed_dials++;
  p->next_dial_ms = wy_clock_mono_ms (p->entry->clock) + redial_backoff_ms (p);
}

/* Create a peer for target ID of POOL, whose agent listens at HOST and PORT;
   not yet connected.  */
struct wy_peer *
wy_peer_new (struct wy_entry *e, const char *id, const char *host,
             uint16_t port, const char *zone, struct wy_pool *pool)
{
  struct wy_peer *p = g_malloc0 (sizeof *p);

  p->entry = e;
  p->id = g_strdup (id);
  p->host = g_strdup (host);
  p->port = port;
  p->availability_zone = g_strdup (zone);
  p->az = wy_zone_number (e, zone);
  p->pool = pool;
  p->slot = -1;
  p->disconnected_since_ms = wy_clock_mono_ms (e->clock);
  g_queue_init (&p->requests);
  g_queue_init (&p->pending_cancels);
  return p;
}

/* Remove PEER, a struct wy_peer, from its pool and free it.  It must have
   neither a connection nor open requests.  */
void
wy_peer_free (void *peer)
{
  struct wy_peer *p = peer;

  wy_pool_remove_peer (p);
  g_queue_clear_full (&p->pending_cancels, g_free);
  g_free (p->id);
  g_free (p->host);
  g_free (p->availability_zone);
  g_free (p->incarnation);
  g_free (p->weights_source);
  g_free (p);
}

/* Keep P connected from now on.  */
void
wy_peer_connect (struct wy_peer *p)
{
  if (p->keep_connected)
    return;
  p->keep_connected = true;
  p->failed_dials = 0;
  p->next_dial_ms = 0;
  if (!p->conn)
    dial (p);
}

/* Set whether P is in this entry's subset.  A peer that leaves the subset
   keeps its connection until its requests have ended.  */
void
wy_peer_set_subset (struct wy_peer *p, bool in_subset)
{
  bool was = p->in_subset;

  p->in_subset = in_subset;
  if (in_subset)
    {
      wy_peer_connect (p);
      if (p->ready)
        wy_pool_add_peer (p);
    }
  else if (was && p->requests.length > 0)
    p->in_subset = true;
  else if (was)
    wy_peer_disconnect (p);
}

/* Close the connection to P and don't dial again.  */
void
wy_peer_disconnect (struct wy_peer *p)
{
  p->keep_connected = false;
  if (p->conn)
    wy_conn_close (p->conn);
}

/* Periodic check: dial P when that is due, and send it a newer
   configuration.  */
void
wy_peer_sweep (struct wy_peer *p, int64_t now_ms)
{
  if (p->keep_connected && !p->conn && now_ms >= p->next_dial_ms)
    dial (p);
  else if (p->ready)
    wy_peer_push_config (p);
}

/* Send F to P.  0 means only that F was queued, not that it arrived.  */
int
wy_peer_send (struct wy_peer *p, const struct wy_frame *f)
{
  if (!p->ready || !p->conn)
    return WY_ENTRY_ENOTARGET;
  return wy_conn_send (p->conn, f) ? WY_ENTRY_ENOTARGET : 0;
}

static gint
by_id (gconstpointer a, gconstpointer b)
{
  const struct wy_peer *x = *(struct wy_peer *const *)a;
  const struct wy_peer *y = *(struct wy_peer *const *)b;

  return strcmp (x->id, y->id);
}

/* All targets known to E, sorted by id; the caller of this function unrefs the
   array.  */
GPtrArray *
wy_peers_all (struct wy_entry *e)
{
  GPtrArray *all = g_ptr_array_new ();
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, e->peers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    g_ptr_array_add (all, value);
  g_ptr_array_sort (all, by_id);
  return all;
}
