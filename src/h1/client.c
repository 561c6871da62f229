/* HTTP/1.1 client: kept connections by address, one call at a time on each. */
#include "h1/client.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <http_parser.h>

enum
{
  READ_SIZE_BYTES = 65536,
  /* How often connections being opened are looked at: a target that has gone
     dark costs a call this much more than the time to connect.  */
  SWEEP_MS = 100,
  /* Sweeps between two looks at idle connections.  */
  IDLE_SWEEPS = 5,
  /* A kept connection is given up this long before its peer says it will
     close it, since a request that crosses the close is lost.  */
  KEEP_MARGIN_MS = 1000,
  MS_PER_S = 1000
};

struct wy_h1_call
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_h1_client *client;
  struct peer *peer;
  http_parser parser;
  struct wy_h1_head head;
  struct wy_h1_call_options o;
  GString *out; /* request not yet written, or NULL */
  uv_connect_t connect;
  uv_write_t write;
  uint64_t idle_until_ms;
  uint32_t keep_ms;
  bool connected;
  bool connecting;
  bool writing;
  bool sent; /* some bytes may have left */
  bool reused;
  bool active; /* a call is under way */
  bool headed; /* the head of its answer is in */
  bool framed;
  bool complete; /* its answer is in */
  bool dirty;    /* not to be used again */
  bool closing;
  uint64_t since_ms;
  GList link; /* in the peer's idle list */
};

struct peer
{
  struct sockaddr_in address;
  GQueue idle;
  uint32_t open;
};

struct wy_h1_client
{
  uv_loop_t *loop;
  uint32_t connect_timeout_ms;
  uint32_t idle_timeout_ms;
  uv_timer_t sweep;
  uint32_t sweeps;
  GHashTable *peers; /* struct peer by address */
  GQueue connecting; /* struct wy_h1_call in use, oldest first */
  struct wy_h1_client_stats stats;
  char read_buffer[READ_SIZE_BYTES];
};

static uint64_t
key_of (const struct sockaddr_in *a)
{
  return (uint64_t)a->sin_addr.s_addr << 16 | a->sin_port;
}

static struct peer *
peer_of (const struct wy_h1_client *c, const struct sockaddr_in *a)
{
  uint64_t key = key_of (a);

  return g_hash_table_lookup (c->peers, &key);
}

static struct peer *
peer_for (struct wy_h1_client *c, const struct sockaddr_in *a)
{
  struct peer *p = peer_of (c, a);
  uint64_t *key;

  if (p)
    return p;
  p = g_new0 (struct peer, 1);
  p->address = *a;
  g_queue_init (&p->idle);
  key = g_new (uint64_t, 1);
  *key = key_of (a);
  g_hash_table_insert (c->peers, key, p);
  return p;
}

static void
release_options (struct wy_h1_call *k)
{
  if (k->out)
    g_string_free (k->out, TRUE);
  k->out = NULL;
}

static void
on_closed (uv_handle_t *h)
{
  struct wy_h1_call *k = (struct wy_h1_call *)h;

  release_options (k);
  wy_h1_head_clear (&k->head);
  g_free (k);
}

static void
close_conn (struct wy_h1_call *k)
{
  if (k->closing)
    return;
  k->closing = true;
  if (k->link.data)
    {
      g_queue_unlink (k->active ? &k->client->connecting : &k->peer->idle,
                      &k->link);
      k->link.data = NULL;
      if (!k->active)
        k->client->stats.idle--;
    }
  k->peer->open--;
  k->client->stats.open--;
  uv_close ((uv_handle_t *)&k->tcp, on_closed);
}

/* End the call with ERR and close its connection.  */
static void
fail (struct wy_h1_call *k, int err)
{
  void (*on_end) (void *, int) = k->active ? k->o.on_end : NULL;
  void *ctx = k->o.ctx;

  if (k->closing)
    return;
  if (on_end)
    {
      /* The owner may still ask whether the request was sent.  */
      k->o.on_end = NULL;
      on_end (ctx, err);
    }
  close_conn (k);
}

static void
keep (struct wy_h1_call *k)
{
  g_queue_unlink (&k->client->connecting, &k->link);
  k->active = false;
  k->link.data = k;
  k->idle_until_ms = uv_now (k->tcp.loop) + k->keep_ms;
  g_queue_push_head_link (&k->peer->idle, &k->link);
  k->client->stats.idle++;
}

/* The answer is whole: keep the connection if the next answer on it can only
   be the next request's.  */
static void
finish (struct wy_h1_call *k)
{
  void (*on_end) (void *, int) = k->o.on_end;
  void *ctx = k->o.ctx;

  k->o.on_end = NULL;
  /* A peer that answers before it has read the request whole would read the
     rest of it from whatever comes next.  */
  if (k->writing)
    k->dirty = true;
  if (k->dirty || k->keep_ms == 0)
    {
      if (on_end)
        on_end (ctx, 0);
      close_conn (k);
      return;
    }
  keep (k);
  if (on_end)
    on_end (ctx, 0);
}

static int
on_field (http_parser *p, const char *at, size_t n)
{
  wy_h1_head_name (&((struct wy_h1_call *)p->data)->head, at, n);
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  wy_h1_head_value (&((struct wy_h1_call *)p->data)->head, at, n);
  return 0;
}

static uint32_t
keep_ms_of (const struct wy_h1_call *k)
{
  const char *v = wy_h1_head_get (&k->head, "keep-alive");
  const char *t = v ? strcasestr (v, "timeout=") : NULL;
  uint64_t ms = k->client->idle_timeout_ms;

  if (t)
    ms = strtoull (t + strlen ("timeout="), NULL, 10) * MS_PER_S;
  else if (v && *v >= '0' && *v <= '9')
    ms = strtoull (v, NULL, 10) * MS_PER_S;
  if (ms > k->client->idle_timeout_ms)
    ms = k->client->idle_timeout_ms;
  /* A short time-out leaves half of it.  */
  return (uint32_t)(ms / 2 > KEEP_MARGIN_MS ? ms - KEEP_MARGIN_MS : ms / 2);
}

/* Whether the end of the answer shows in it, so that a close in its midst is
   told from its end.  */
static bool
is_framed (const http_parser *p)
{
  return p->status_code == HTTP_STATUS_NO_CONTENT
         || p->status_code == HTTP_STATUS_NOT_MODIFIED
         || (p->flags & (F_CHUNKED | F_CONTENTLENGTH));
}

static int
on_headers_complete (http_parser *p)
{
  struct wy_h1_call *k = p->data;
  struct wy_h1_answer a;
  bool bodiless;

  if (p->status_code < 200)
    {
      wy_h1_head_reset (&k->head);
      return 0;
    }
  bodiless = !strcmp (k->o.method, "HEAD");
  k->headed = true;
  k->framed = bodiless || is_framed (p);
  k->keep_ms = keep_ms_of (k);
  a.status = (int)p->status_code;
  a.head = &k->head;
  a.framed = k->framed;
  if (!http_should_keep_alive (p))
    k->dirty = true;
  if (k->o.on_head)
    k->o.on_head (k->o.ctx, &a);
  return bodiless ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  struct wy_h1_call *k = p->data;

  if (!k->closing && k->o.on_data)
    k->o.on_data (k->o.ctx, at, n);
  return 0;
}

static int
on_complete (http_parser *p)
{
  struct wy_h1_call *k = p->data;

  if (p->status_code < 200)
    return 0;
  k->complete = true;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings callbacks
    = { .on_header_field = on_field,
        .on_header_value = on_value,
        .on_headers_complete = on_headers_complete,
        .on_body = on_body,
        .on_message_complete = on_complete };

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  struct wy_h1_client *c = ((struct wy_h1_call *)h)->client;

  *buf = uv_buf_init (c->read_buffer, sizeof c->read_buffer);
}

static void
parse (struct wy_h1_call *k, const char *p, size_t n)
{
  size_t used = http_parser_execute (&k->parser, &callbacks, p, n);
  enum http_errno err = HTTP_PARSER_ERRNO (&k->parser);

  if (k->closing)
    return;
  if (k->complete)
    {
      /* Bytes behind a whole answer belong to no request.  */
      if (used < n)
        k->dirty = true;
      finish (k);
    }
  else if (err != HPE_OK)
    fail (k, WY_H1_EMALFORMED);
}

/* Whether the connection was reset.  libuv reports the end of the stream when
   it sees the hang-up right behind a short read, also where the peer has
   reset the connection; an answer without a length would then be taken for
   whole.  The error is still pending on the socket.  */
static bool
was_reset (const struct wy_h1_call *k)
{
  int err = 0;
  socklen_t n = sizeof err;
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)&k->tcp, &fd))
    return true;
  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &err, &n) || err;
}

static void
on_eof (struct wy_h1_call *k, ssize_t err)
{
  bool ends_by_close = k->active && !k->framed && k->headed && err == UV_EOF
                       && !was_reset (k);

  if (!ends_by_close)
    {
      fail (k, k->parser.status_code ? WY_H1_EPARTIAL : WY_H1_ERESET);
      return;
    }
  http_parser_execute (&k->parser, &callbacks, NULL, 0);
  if (k->closing)
    return;
  k->dirty = true;
  if (k->complete)
    finish (k);
  else
    fail (k, WY_H1_EPARTIAL);
}

static void
on_read (uv_stream_t *h, ssize_t n, const uv_buf_t *buf)
{
  struct wy_h1_call *k = (struct wy_h1_call *)h;

  if (n == 0)
    return;
  if (!k->active)
    {
      /* Closed by the peer, or bytes that nobody asked for.  */
      close_conn (k);
      return;
    }
  if (n < 0)
    on_eof (k, n);
  else
    parse (k, buf->base, (size_t)n);
}

static void
on_written (uv_write_t *req, int status)
{
  struct wy_h1_call *k = req->data;

  k->writing = false;
  if (!k->closing)
    release_options (k);
  if (status < 0 && !k->closing && k->active)
    fail (k, WY_H1_ERESET);
}

static void
send_request (struct wy_h1_call *k)
{
  uv_buf_t buf = uv_buf_init (k->out->str, (unsigned)k->out->len);

  k->sent = true;
  k->writing = true;
  k->write.data = k;
  if (uv_write (&k->write, (uv_stream_t *)&k->tcp, &buf, 1, on_written))
    {
      k->writing = false;
      fail (k, WY_H1_ERESET);
    }
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct wy_h1_call *k = req->data;

  k->connecting = false;
  if (k->closing)
    return;
  if (status < 0)
    {
      fail (k, WY_H1_ECONNECT);
      return;
    }
  k->connected = true;
  uv_read_start ((uv_stream_t *)&k->tcp, on_alloc, on_read);
  send_request (k);
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
take_idle (struct wy_h1_client *c, struct peer *p)
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
open_conn (struct wy_h1_client *c, struct peer *p)
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
  struct peer *p = peer_for (c, &o->address);
  struct wy_h1_call *k = o->fresh ? NULL : take_idle (c, p);

  if (!k)
    k = open_conn (c, p);
  k->o = *o;
  k->reused = k->connected;
  k->active = true;
  k->sent = false;
  k->complete = false;
  k->framed = false;
  k->headed = false;
  k->keep_ms = 0;
  k->since_ms = uv_now (c->loop);
  k->link.data = k;
  g_queue_push_tail_link (&c->connecting, &k->link);
  wy_h1_head_reset (&k->head);
  http_parser_init (&k->parser, HTTP_RESPONSE);
  k->parser.data = k;
  build_request (k, o);
  if (k->connected)
    {
      send_request (k);
      return k;
    }
  k->connect.data = k;
  k->connecting = true;
  if (uv_tcp_connect (&k->connect, &k->tcp,
                      (const struct sockaddr *)&p->address, on_connected))
    k->connecting = false; /* the sweep ends it */
  return k;
}

/* Stop the call: its connection closes, and no callback comes any more.  */
void
wy_h1_call_cancel (struct wy_h1_call *call)
{
  call->o.on_end = NULL;
  call->o.on_head = NULL;
  call->o.on_data = NULL;
  close_conn (call);
}

/* Whether bytes of the request may have reached the peer.  Valid until
   on_end returns.  */
bool
wy_h1_call_sent (const struct wy_h1_call *call)
{
  return call->sent;
}

/* Whether the call went out on a kept connection.  Valid until on_end
   returns.  */
bool
wy_h1_call_reused (const struct wy_h1_call *call)
{
  return call->reused;
}

static void
sweep_idle (struct peer *p, uint64_t now_ms)
{
  GList *next;

  for (GList *l = p->idle.head; l; l = next)
    {
      struct wy_h1_call *k = l->data;

      next = l->next;
      if (now_ms >= k->idle_until_ms)
        close_conn (k);
    }
}

static void
sweep_connecting (struct wy_h1_client *c, uint64_t now_ms)
{
  GList *l = c->connecting.head;

  while (l)
    {
      struct wy_h1_call *k = l->data;

      l = l->next;
      if (k->connected || now_ms - k->since_ms < c->connect_timeout_ms)
        continue;
      fail (k, WY_H1_ECONNECT);
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

  sweep_connecting (c, now_ms);
  if (++c->sweeps % IDLE_SWEEPS)
    return;
  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct peer *peer = p;

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

/* Connections open to A, idle ones among them.  */
uint32_t
wy_h1_client_open_to (const struct wy_h1_client *c,
                      const struct sockaddr_in *a)
{
  const struct peer *p = peer_of (c, a);

  return p ? p->open : 0;
}

/* Close the idle connections to A, whose process is gone.  */
void
wy_h1_client_forget (struct wy_h1_client *c, const struct sockaddr_in *a)
{
  struct peer *p = peer_of (c, a);

  if (p)
    sweep_idle (p, UINT64_MAX);
}
