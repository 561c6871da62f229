/* Loopback proxy that injects network faults, on several links at once: it
   delays data, blocks one or both directions as after the loss of a route, or
   resets connections.  Blocked data arrives later, as TCP would retransmit
   it.  */
#include <stdlib.h>
#include <string.h>

#include "standin/kinds.h"
#include "standin/standin.h"
#include "trace/log.h"

enum
{
  BACKLOG = 128,
  BUFFER_SIZE_BYTES = 65536,
  /* Faults: interval between starts, duration, delay of data.  */
  INTERVAL_MIN_MS = 200,
  INTERVAL_MAX_MS = 1500,
  DURATION_MIN_MS = 200,
  DURATION_MAX_MS = 3000,
  DELAY_MAX_MS = 250,
  TICK_MS = 50
};

enum fault
{
  FAULT_NONE,
  FAULT_DELAY,
  FAULT_BLOCK_FORWARD, /* from the connecting side */
  FAULT_BLOCK_REVERSE,
  FAULT_SILENT,
  FAULT_RESET,
  FAULTS
};

static const char *const fault_names[]
    = { "none", "delay", "cut_there", "cut_back", "silent", "reset" };

struct settings
{
  struct wy_standin_settings common;
  GPtrArray *links;
  int64_t seconds;
};

static const struct wy_setting table[] = {
  { "links", WY_SETTING_LIST, offsetof (struct settings, links), NULL, 0, 0,
    NULL, "port=host:port", "where it listens, and where that leads" },
  { "seconds", WY_SETTING_INTEGER, offsetof (struct settings, seconds), "10",
    0, 86400, NULL, "s", "how long faults go on; then it passes all on" },
};

struct link
{
  struct proxy *proxy;
  char *name;
  struct sockaddr_in to;
  uv_tcp_t listener;
  GQueue pairs;
  enum fault fault;
  uint64_t until_ms;
  uint32_t delay_ms;
};

struct pair_side
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  struct pair *pair;
  GString *buffered; /* read, but not forwarded yet */
  bool open;
};

struct pair
{
  struct link *link;
  struct pair_side side[2]; /* accepted, connected */
  uv_connect_t connect;
  GList item;
  bool connected;
  int handles;
};

struct proxy
{
  struct wy_standin *standin;
  GPtrArray *links;
  uv_timer_t tick;
  uint64_t started_at_ms;
  uint64_t next_ms;
};

struct packet
{
  uv_write_t req;
  char data[];
};

static struct proxy proxy;

static void update (struct pair *p);

static void
on_closed (uv_handle_t *h)
{
  struct pair *p = h->data;

  if (--p->handles > 0)
    return;
  for (int i = 0; i < 2; i++)
    g_string_free (p->side[i].buffered, TRUE);
  g_free (p);
}

static void
close_pair (struct pair *p, bool reset)
{
  if (!p->side[0].open)
    return;
  g_queue_unlink (&p->link->pairs, &p->item);
  for (int i = 0; i < 2; i++)
    {
      struct pair_side *h = &p->side[i];

      h->open = false;
      uv_close ((uv_handle_t *)&h->timer, on_closed);
      if (!reset || uv_tcp_close_reset (&h->tcp, on_closed))
        uv_close ((uv_handle_t *)&h->tcp, on_closed);
    }
}

static void
on_written (uv_write_t *req, int status)
{
  g_free (req);
}

static void
forward (struct pair_side *from)
{
  struct pair_side *to = &from->pair->side[from == &from->pair->side[0]];
  struct packet *k = g_malloc (sizeof *k + from->buffered->len);
  uv_buf_t buf = uv_buf_init (k->data, (unsigned)from->buffered->len);

  memcpy (k->data, from->buffered->str, from->buffered->len);
  g_string_truncate (from->buffered, 0);
  if (uv_write (&k->req, (uv_stream_t *)&to->tcp, &buf, 1, on_written))
    g_free (k);
}

static void
on_delay_end (uv_timer_t *t)
{
  struct pair_side *h
      = (struct pair_side *)((char *)t - offsetof (struct pair_side, timer));

  forward (h);
  update (h->pair);
}

static void
on_alloc (uv_handle_t *h, size_t n, uv_buf_t *buf)
{
  static char buffer[BUFFER_SIZE_BYTES];

  *buf = uv_buf_init (buffer, sizeof buffer);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct pair_side *h = (struct pair_side *)s;
  uint32_t delay_ms = h->pair->link->delay_ms;

  if (n < 0)
    close_pair (h->pair, n == UV_ECONNRESET);
  if (n <= 0)
    return;
  g_string_append_len (h->buffered, buf->base, n);
  if (h->pair->link->fault != FAULT_DELAY)
    {
      forward (h);
      return;
    }
  uv_read_stop (s);
  uv_timer_start (&h->timer, on_delay_end, delay_ms, 0);
}

/* Return whether the link blocks data from H.  */
static bool
is_blocked (const struct pair_side *h)
{
  enum fault f = h->pair->link->fault;
  bool from_client = h == &h->pair->side[0];

  return f == FAULT_SILENT || (f == FAULT_BLOCK_FORWARD && from_client)
         || (f == FAULT_BLOCK_REVERSE && !from_client);
}

/* Read from each side of P unless its data is blocked or still buffered.  */
static void
update (struct pair *p)
{
  for (int i = 0; i < 2; i++)
    {
      struct pair_side *h = &p->side[i];

      if (is_blocked (h) || h->buffered->len)
        uv_read_stop ((uv_stream_t *)&h->tcp);
      else if (p->connected)
        uv_read_start ((uv_stream_t *)&h->tcp, on_alloc, on_read);
    }
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct pair *p = req->data;

  if (!p->side[0].open)
    return;
  if (status)
    {
      close_pair (p, true);
      return;
    }
  p->connected = true;
  update (p);
}

static void
on_connection (uv_stream_t *s, int status)
{
  struct link *l = s->data;
  struct pair *p;

  if (status)
    return;
  p = g_new0 (struct pair, 1);
  p->link = l;
  p->item.data = p;
  p->handles = 4;
  g_queue_push_tail_link (&l->pairs, &p->item);
  for (int i = 0; i < 2; i++)
    {
      struct pair_side *h = &p->side[i];

      h->pair = p;
      h->open = true;
      h->buffered = g_string_new (NULL);
      uv_tcp_init (s->loop, &h->tcp);
      uv_timer_init (s->loop, &h->timer);
      h->tcp.data = p;
      h->timer.data = p;
    }
  p->connect.data = p;
  if (uv_accept (s, (uv_stream_t *)&p->side[0].tcp)
      || uv_tcp_connect (&p->connect, &p->side[1].tcp,
                         (const struct sockaddr *)&l->to, on_connected))
    close_pair (p, true);
}

static void
log_fault (const struct link *l, const char *event, enum fault f)
{
  wy_trace_event (l->proxy->standin->trace, event, "{s:s, s:s}", "kind",
                  fault_names[f], "target", l->name);
}

static void
set_fault (struct link *l, enum fault f)
{
  if (l->fault != FAULT_NONE)
    log_fault (l, "fault.cleared", l->fault);
  l->fault = f;
  if (f != FAULT_NONE)
    log_fault (l, "fault.injected", f);
  for (GList *i = l->pairs.head, *next; i; i = next)
    {
      next = i->next;
      if (f == FAULT_RESET)
        close_pair (i->data, true);
      else
        update (i->data);
    }
}

static uint32_t
random_between (struct proxy *x, uint32_t low, uint32_t high)
{
  return low + wy_rng_below (&x->standin->rng, high - low + 1);
}

static void
on_tick (uv_timer_t *t)
{
  struct proxy *x = t->data;
  const struct settings *s = x->standin->settings;
  uint64_t now_ms = uv_now (t->loop);
  bool over = now_ms - x->started_at_ms >= (uint64_t)s->seconds * WY_MS_PER_S;

  for (guint i = 0; i < x->links->len; i++)
    {
      struct link *l = g_ptr_array_index (x->links, i);

      if (l->fault != FAULT_NONE && (over || now_ms >= l->until_ms))
        set_fault (l, FAULT_NONE);
    }
  if (over || now_ms < x->next_ms)
    return;
  x->next_ms = now_ms + random_between (x, INTERVAL_MIN_MS, INTERVAL_MAX_MS);
  {
    struct link *l = g_ptr_array_index (
        x->links, wy_rng_below (&x->standin->rng, x->links->len));

    l->until_ms
        = now_ms + random_between (x, DURATION_MIN_MS, DURATION_MAX_MS);
    l->delay_ms = random_between (x, 1, DELAY_MAX_MS);
    set_fault (l, (enum fault)random_between (x, FAULT_DELAY, FAULTS - 1));
  }
}

static int
open_link (struct proxy *x, const char *text)
{
  struct link *l = g_new0 (struct link, 1);
  char *to = NULL;
  char *host = NULL;
  uint16_t to_port = 0;
  uint64_t port = g_ascii_strtoull (text, &to, 10);
  struct sockaddr_in at;
  int err = UV_EINVAL;

  l->proxy = x;
  l->name = g_strdup (text);
  g_queue_init (&l->pairs);
  uv_tcp_init (x->standin->loop, &l->listener);
  l->listener.data = l;
  if (*to == '=' && wy_standin_parse_address (to + 1, &host, &to_port)
      && !uv_ip4_addr (host, to_port, &l->to)
      && !uv_ip4_addr (x->standin->common->host, (int)port, &at))
    err = uv_tcp_bind (&l->listener, (const struct sockaddr *)&at, 0);
  if (!err)
    err = uv_listen ((uv_stream_t *)&l->listener, BACKLOG, on_connection);
  if (err)
    wy_log (WY_LOG_ERROR, "process.not_started", "setting=links %s error=%s",
            text, uv_strerror (err));
  g_free (host);
  g_ptr_array_add (x->links, l);
  return err;
}

static int
start (struct wy_standin *s)
{
  const struct settings *o = s->settings;
  struct proxy *x = &proxy;

  x->standin = s;
  x->links = g_ptr_array_new ();
  for (guint i = 0; i < o->links->len; i++)
    if (open_link (x, g_ptr_array_index (o->links, i)))
      return -1;
  if (x->links->len == 0)
    return -1;
  x->started_at_ms = uv_now (s->loop);
  x->next_ms = x->started_at_ms + INTERVAL_MAX_MS;
  uv_timer_init (s->loop, &x->tick);
  x->tick.data = x;
  uv_timer_start (&x->tick, on_tick, TICK_MS, TICK_MS);
  return 0;
}

const struct wy_standin_kind wy_standin_proxy
    = { .name = "proxy",
        .summary = "A network that delays, cuts and resets connections.",
        .table = table,
        .n = G_N_ELEMENTS (table),
        .settings_size_bytes = sizeof (struct settings),
        .start = start };
