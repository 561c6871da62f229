/* HTTP/1.1 client: pool of persistent connections by address, without
   pipelining.  */
#include "h1/client_state.h"

#include <string.h>

enum
{
  /* Interval of checks on connections being opened: a call to an unreachable
     target takes up to this much longer than the connect timeout.  */
  SWEEP_MS = 100,
  /* Sweeps between two checks of idle connections.  */
  IDLE_SWEEPS = 5
};

static uint64_t
key_of (const struct sockaddr_in *a)
{
  return (uint64_t)a->sin_addr.s_addr << 16 | a->sin_port;
}

static struct wy_h1_peer *
find_peer (const struct wy_h1_client *c, const struct sockaddr_in *a)
{
  uint64_t key = key_of (a);

  return g_hash_table_lookup (c->peers, &key);
}

static struct wy_h1_peer *
get_peer (struct wy_h1_client *c, const struct sockaddr_in *a)
{
  struct wy_h1_peer *p = find_peer (c, a);
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
  k->request = g_string_sized_new (512 + o->body_size_bytes);
  g_string_append_printf (k->request, "%s %s HTTP/1.1\r\n", o->method,
                          o->target);
  wy_h1_write_fields (k->request, o->fields, o->n_fields);
  if (o->has_body || o->body_size_bytes)
    g_string_append_printf (k->request, "Content-Length: %zu\r\n",
                            o->body_size_bytes);
  g_string_append (k->request, "\r\n");
  if (o->body_size_bytes)
    g_string_append_len (k->request, o->body, (gssize)o->body_size_bytes);
  wy_memory_account_add (k->client->memory, WY_MEMORY_TO_REPLICAS,
                         (int64_t)k->request->allocated_len);
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
new_connection_to (struct wy_h1_client *c, struct wy_h1_peer *p)
{
  struct wy_h1_call *k = g_new0 (struct wy_h1_call, 1);

  k->client = c;
  k->peer = p;
  wy_h1_head_init (&k->head);
  uv_tcp_init (c->loop, &k->tcp);
  uv_tcp_nodelay (&k->tcp, 1);
  p->open++;
  c->handles++;
  c->stats.open++;
  c->stats.opened++;
  return k;
}

/* Start a call with the options O.  All that O points to is copied, except the
   id.  A failure is reported through on_end on a later turn of the loop.  */
struct wy_h1_call *
wy_h1_call_start (struct wy_h1_client *c, const struct wy_h1_call_options *o)
{
  struct wy_h1_peer *p = get_peer (c, &o->address);
  struct wy_h1_call *k
      = o->new_connection || o->connect_only ? NULL : take_idle (c, p);

  if (!k)
    k = new_connection_to (c, p);
  k->o = *o;
  k->active = true;
  k->sent = false;
  k->complete = false;
  k->self_delimited = false;
  k->head_complete = false;
  k->keep_alive_ms = 0;
  k->sweeps = 0;
  k->quiet_sweeps = 0;
  k->received_bytes = 0;
  k->unsent_bytes = 0;
  k->silent_sweeps = 0;
  k->link.data = k;
  g_queue_push_tail_link (&c->active_calls, &k->link);
  wy_h1_head_reset (&k->head);
  wy_h1_response_check_init (&k->check, !strcmp (o->method, "HEAD"));
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

/* Cancel the call and close its connection; no callback follows.  */
void
wy_h1_call_cancel (struct wy_h1_call *call)
{
  call->o.on_end = NULL;
  call->o.on_head = NULL;
  call->o.on_data = NULL;
  wy_h1_call_close (call);
}

/* Read no more of the response for now, unless it is already complete.  */
void
wy_h1_call_pause (struct wy_h1_call *call)
{
  if (call->closing || call->paused || call->complete || !call->connected)
    return;
  call->paused = true;
  uv_read_stop ((uv_stream_t *)&call->tcp);
}

/* Read on after a pause.  */
void
wy_h1_call_resume (struct wy_h1_call *call)
{
  if (call->closing || !call->paused)
    return;
  call->paused = false;
  wy_h1_call_start_reading (call);
}

/* Whether bytes of the request may have reached the peer.  Valid until on_end
   returns.  */
bool
wy_h1_call_sent (const struct wy_h1_call *call)
{
  return call->sent;
}

/* Whether the connection was refused, since nothing listens at the peer's
   port.  Valid until on_end returns.  */
bool
wy_h1_call_was_refused (const struct wy_h1_call *call)
{
  return call->refused;
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
   has not seen yet which connections opened meanwhile.  */
static void
sweep_connecting (struct wy_h1_client *c)
{
  GList *l;

  for (l = c->active_calls.head; l; l = l->next)
    ((struct wy_h1_call *)l->data)->sweeps++;
  l = c->active_calls.head;
  while (l)
    {
      struct wy_h1_call *k = l->data;

      l = l->next;
      if (k->connected
          || (!k->failed && k->sweeps * SWEEP_MS <= c->connect_timeout_ms))
        continue;
      wy_h1_call_fail (k, WY_H1_ECONNECT);
      /* The callback may have cancelled other calls.  */
      l = c->active_calls.head;
    }
}

static bool
is_silent (const struct wy_h1_client *c, const struct wy_h1_call *k)
{
  return k->connected && !k->paused
         && k->quiet_sweeps * SWEEP_MS > c->silence_timeout_ms;
}

/* Fail the calls whose peers have sent nothing for too long, which is counted
   in sweeps as above.  */
static void
sweep_silent (struct wy_h1_client *c)
{
  GList *l;

  if (c->silence_timeout_ms == 0)
    return;
  for (l = c->active_calls.head; l; l = l->next)
    ((struct wy_h1_call *)l->data)->quiet_sweeps++;
  l = c->active_calls.head;
  while (l)
    {
      struct wy_h1_call *k = l->data;

      l = l->next;
      if (!is_silent (c, k))
        continue;
      wy_h1_call_fail (k, WY_H1_ESILENT);
      l = c->active_calls.head;
    }
}

/* Count for how many sweeps the peers have taken nothing of their requests,
   as the server does of responses.  Return the call with the most unsent bytes
   whose peer is silent, or NULL.  */
static struct wy_h1_call *
check_readers (struct wy_h1_client *c)
{
  struct wy_h1_call *most = NULL;

  for (GList *l = c->active_calls.head; l; l = l->next)
    {
      struct wy_h1_call *k = l->data;
      size_t unsent_bytes;

      if (!k->writing)
        continue;
      unsent_bytes = wy_h1_untaken_bytes (&k->tcp);
      if (unsent_bytes == k->unsent_bytes)
        k->silent_sweeps++;
      else
        k->silent_sweeps = 0;
      k->unsent_bytes = unsent_bytes;
      if (k->silent_sweeps * SWEEP_MS >= WY_H1_SILENT_READER_MS
          && (!most || unsent_bytes > most->unsent_bytes))
        most = k;
    }
  return most;
}

/* End the call with the most unsent bytes whose peer is silent, if memory has
   to be freed; at most one a sweep, since the callback may cancel others.  */
static void
shed (struct wy_h1_client *c)
{
  struct wy_h1_call *k;

  if (wy_memory_account_level (c->memory) == WY_MEMORY_NORMAL)
    return;
  k = check_readers (c);
  if (!k || wy_memory_account_to_shed_bytes (c->memory) == 0)
    return;
  c->memory->sheds++;
  if (c->on_shed)
    c->on_shed (c->ctx, &k->peer->address, k->unsent_bytes,
                k->silent_sweeps * SWEEP_MS);
  wy_h1_call_fail (k, WY_H1_ERESET);
}

static void
on_sweep (uv_timer_t *t)
{
  struct wy_h1_client *c = t->data;
  uint64_t now_ms = uv_now (t->loop);
  GHashTableIter it;
  gpointer p;

  sweep_connecting (c);
  sweep_silent (c);
  shed (c);
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

/* Create a client with the options O.  */
struct wy_h1_client *
wy_h1_client_new (const struct wy_h1_client_options *o)
{
  struct wy_h1_client *c = g_new0 (struct wy_h1_client, 1);

  c->loop = o->loop;
  c->connect_timeout_ms = o->connect_timeout_ms;
  c->idle_timeout_ms = o->idle_timeout_ms;
  c->silence_timeout_ms = o->silence_timeout_ms;
  c->handles = 1;
  c->memory = o->memory;
  c->on_shed = o->on_shed;
  c->on_malformed = o->on_malformed;
  c->ctx = o->ctx;
  c->peers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_queue_init (&c->active_calls);
  uv_timer_init (o->loop, &c->sweep);
  c->sweep.data = c;
  uv_timer_start (&c->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  uv_unref ((uv_handle_t *)&c->sweep);
  return c;
}

/* One of C's handles has been closed: if C is to be freed, free it after the
   last one.  */
void
wy_h1_client_release (struct wy_h1_client *c)
{
  if (--c->handles || !c->is_freed)
    return;
  g_hash_table_destroy (c->peers);
  g_free (c);
}

static void
on_sweep_closed (uv_handle_t *h)
{
  wy_h1_client_release (h->data);
}

/* Close all connections and cancel all calls.  C stays valid, since callbacks
   of the loop may still use it.  */
void
wy_h1_client_close (struct wy_h1_client *c)
{
  GHashTableIter it;
  gpointer p;

  while (c->active_calls.head)
    wy_h1_call_cancel (c->active_calls.head->data);
  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &p))
    sweep_idle (p, UINT64_MAX);
  uv_close ((uv_handle_t *)&c->sweep, on_sweep_closed);
}

/* The same, but nothing may use C any more; it is freed when the loop has run
   once more.  */
void
wy_h1_client_free (struct wy_h1_client *c)
{
  c->is_freed = true;
  wy_h1_client_close (c);
}

/* Copy the statistics of C's connections to OUT.  */
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
  struct wy_h1_peer *p = find_peer (c, a);

  if (p)
    sweep_idle (p, UINT64_MAX);
}

/* Number of idle connections to A.  */
uint32_t
wy_h1_client_idle_count (const struct wy_h1_client *c,
                         const struct sockaddr_in *a)
{
  const struct wy_h1_peer *p = find_peer (c, a);

  return p ? p->idle.length : 0;
}
