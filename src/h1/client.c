/* HTTP/1.1 client: kept connections by address, one call at a time on each. */
#include "h1/client_state.h"

enum
{
  /* How often connections being opened are looked at: a target that has gone
     dark costs a call this much more than the time to connect.  */
  SWEEP_MS = 100,
  /* Sweeps between two looks at idle connections.  */
  IDLE_SWEEPS = 5
};

static uint64_t
key_of (const struct sockaddr_in *a)
{
  return (uint64_t)a->sin_addr.s_addr << 16 | a->sin_port;
}

static struct wy_h1_peer *
peer_of (const struct wy_h1_client *c, const struct sockaddr_in *a)
{
  uint64_t key = key_of (a);

  return g_hash_table_lookup (c->peers, &key);
}

static struct wy_h1_peer *
peer_for (struct wy_h1_client *c, const struct sockaddr_in *a)
{
  struct wy_h1_peer *p = peer_of (c, a);
  uint64_t *key;

  if (p)
    return p;
  p = g_new0 (struct wy_h1_peer, 1);
  p->address = *a;
  g_queue_init (&p->idle);
  key = g_new (uint64_t, 1);
  *key = key_of (a);
  g_hash_table_insert (c->peers, key, p);
  return p;
}

static void
build_request (struct wy_h1_call *k, const struct wy_h1_call_options *o)
{
  k->out = g_string_sized_new (512 + o->body_size_bytes);
  g_string_append_printf (k->out, "%s %s HTTP/1.1\r\n", o->method, o->target);
  wy_h1_write_fields (k->out, o->fields, o->n_fields);
  if (o->has_body || o->body_size_bytes)
    g_string_append_printf (k->out, "Content-Length: %zu\r\n",
                            o->body_size_bytes);
  g_string_append (k->out, "\r\n");
  if (o->body_size_bytes)
    g_string_append_len (k->out, o->body, (gssize)o->body_size_bytes);
}

static struct wy_h1_call *
take_idle (struct wy_h1_client *c, struct wy_h1_peer *p)
{
  struct wy_h1_call *k;

  if (!p->idle.head)
    return NULL;
  k = p->idle.head->data;
  g_queue_unlink (&p->idle, &k->link);
  c->stats.idle--;
  c->stats.reused++;
  return k;
}

static struct wy_h1_call *
open_conn (struct wy_h1_client *c, struct wy_h1_peer *p)
{
  struct wy_h1_call *k = g_new0 (struct wy_h1_call, 1);

  k->client = c;
  k->peer = p;
  wy_h1_head_init (&k->head);
  uv_tcp_init (c->loop, &k->tcp);
  uv_tcp_nodelay (&k->tcp, 1);
  p->open++;
  c->stats.open++;
  c->stats.opened++;
  return k;
}

/* Start the call O.  The bytes that O points to are copied, but for the
   method, which must be static.  A failure is told through on_end on a later
   turn of the loop.  */
struct wy_h1_call *
wy_h1_call_start (struct wy_h1_client *c, const struct wy_h1_call_options *o)
{
  struct wy_h1_peer *p = peer_for (c, &o->address);
  struct wy_h1_call *k = o->new_connection ? NULL : take_idle (c, p);

  if (!k)
    k = open_conn (c, p);
  k->o = *o;
  k->active = true;
  k->sent = false;
  k->complete = false;
  k->framed = false;
  k->headed = false;
  k->keep_ms = 0;
  k->sweeps = 0;
  k->link.data = k;
  g_queue_push_tail_link (&c->connecting, &k->link);
  wy_h1_head_reset (&k->head);
  http_parser_init (&k->parser, HTTP_RESPONSE);
  k->parser.data = k;
  build_request (k, o);
  if (k->connected)
    {
      wy_h1_call_send (k);
      return k;
    }
  wy_h1_call_open (k);
  return k;
}

/* Stop the call: its connection closes, and no callback comes any more.  */
void
wy_h1_call_cancel (struct wy_h1_call *call)
{
  call->o.on_end = NULL;
  call->o.on_head = NULL;
  call->o.on_data = NULL;
  wy_h1_call_close (call);
}

/* Whether bytes of the request may have reached the peer.  Valid until
   on_end returns.  */
bool
wy_h1_call_sent (const struct wy_h1_call *call)
{
  return call->sent;
}

static void
sweep_idle (struct wy_h1_peer *p, uint64_t now_ms)
{
  GList *next;

  for (GList *l = p->idle.head; l; l = next)
    {
      struct wy_h1_call *k = l->data;

      next = l->next;
      if (now_ms >= k->idle_until_ms)
        wy_h1_call_close (k);
    }
}

/* Fail the calls whose connections have not opened in time.  The time is
   counted in sweeps, between which the loop polls the sockets, and not by the
   clock: after a stall of this process the clock has advanced, but the loop
   has not yet seen which connections opened meanwhile.  */
static void
sweep_connecting (struct wy_h1_client *c)
{
  GList *l;

  for (l = c->connecting.head; l; l = l->next)
    ((struct wy_h1_call *)l->data)->sweeps++;
  l = c->connecting.head;
  while (l)
    {
      struct wy_h1_call *k = l->data;

      l = l->next;
      if (k->connected || k->sweeps * SWEEP_MS <= c->connect_timeout_ms)
        continue;
      wy_h1_call_fail (k, WY_H1_ECONNECT);
      /* Its owner may have ended other calls.  */
      l = c->connecting.head;
    }
}

static void
on_sweep (uv_timer_t *t)
{
  struct wy_h1_client *c = t->data;
  uint64_t now_ms = uv_now (t->loop);
  GHashTableIter it;
  gpointer p;

  sweep_connecting (c);
  if (++c->sweeps % IDLE_SWEEPS)
    return;
  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct wy_h1_peer *peer = p;

      sweep_idle (peer, now_ms);
      if (peer->open == 0)
        g_hash_table_iter_remove (&it);
    }
}

/* A client as O says.  */
struct wy_h1_client *
wy_h1_client_new (const struct wy_h1_client_options *o)
{
  struct wy_h1_client *c = g_new0 (struct wy_h1_client, 1);

  c->loop = o->loop;
  c->connect_timeout_ms = o->connect_timeout_ms;
  c->idle_timeout_ms = o->idle_timeout_ms;
  c->peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_queue_init (&c->connecting);
  uv_timer_init (o->loop, &c->sweep);
  c->sweep.data = c;
  uv_timer_start (&c->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  uv_unref ((uv_handle_t *)&c->sweep);
  return c;
}

/* Close all connections; calls end without a word.  The memory of C stays
   for the callbacks of the loop, which the caller runs once more.  */
void
wy_h1_client_free (struct wy_h1_client *c)
{
  GHashTableIter it;
  gpointer p;

  while (c->connecting.head)
    wy_h1_call_cancel (c->connecting.head->data);
  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &p))
    sweep_idle (p, UINT64_MAX);
  uv_close ((uv_handle_t *)&c->sweep, NULL);
}

/* Counts of C's connections.  */
void
wy_h1_client_stats (const struct wy_h1_client *c,
                    struct wy_h1_client_stats *out)
{
  *out = c->stats;
}

/* Close the idle connections to A.  */
void
wy_h1_client_close_idle (struct wy_h1_client *c, const struct sockaddr_in *a)
{
  struct wy_h1_peer *p = peer_of (c, a);

  if (p)
    sweep_idle (p, UINT64_MAX);
}

/* Connections to A that are open and carry no call.  */
uint32_t
wy_h1_client_idle_count (const struct wy_h1_client *c,
                         const struct sockaddr_in *a)
{
  const struct wy_h1_peer *p = peer_of (c, a);

  return p ? p->idle.length : 0;
}
