/* A replica whose responses are scripts: one per request, step by step, down
   to parts of an event and responses without a length.  */
#include "support/stream_replica.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <glib.h>

enum
{
  BACKLOG = 16,
  EVENT_SIZE_BYTES = 128
};

struct stream_replica
{
  struct stream_replica_options o;
  uv_tcp_t listener; /* data: the replica */
  GPtrArray *runs;   /* struct run with an open connection */
  uint32_t n_runs;
  int64_t resumed_after[STREAM_RUNS_MAX + 1];
};

/* A connection, with the request on it.  */
struct run
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  struct stream_replica *replica;
  GString *received;
  const struct stream_step *step; /* the next one; NULL: no request yet */
  uint32_t number;
  uint32_t handles; /* still open */
  bool in_chunks;
  char buffer[4096];
};

static void next_step (struct run *u);

static void
on_run_closed (uv_handle_t *h)
{
  struct run *u = h->data;

  if (--u->handles)
    return;
  g_string_free (u->received, TRUE);
  g_free (u);
}

static void
close_run (struct run *u, bool reset)
{
  if (!g_ptr_array_remove (u->replica->runs, u))
    return;
  uv_close ((uv_handle_t *)&u->timer, on_run_closed);
  if (!reset || uv_tcp_close_reset (&u->tcp, on_run_closed))
    uv_close ((uv_handle_t *)&u->tcp, on_run_closed);
}

static void
send_text (struct run *u, const char *text)
{
  uv_buf_t b = uv_buf_init ((char *)text, (unsigned)strlen (text));

  cr_assert_eq (uv_try_write ((uv_stream_t *)&u->tcp, &b, 1), (int)b.len);
}

static void
send_body (struct run *u, const char *text)
{
  char *chunk;

  if (!u->in_chunks)
    {
      send_text (u, text);
      return;
    }
  chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);
  send_text (u, chunk);
  g_free (chunk);
}

static void
send_head (struct run *u, bool in_chunks)
{
  u->in_chunks = in_chunks;
  send_text (u, "HTTP/1.1 200 OK\r\nAttempt-Id: a-1\r\nResponse-Stamp: s\r\n"
                "Content-Type: text/event-stream\r\nConnection: close\r\n");
  send_text (u, in_chunks ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
}

static void
format_event (const struct run *u, int64_t id, char out[EVENT_SIZE_BYTES])
{
  snprintf (out, EVENT_SIZE_BYTES, "id: %lld\ndata: %s %u %lld\n\n",
            (long long)id, u->replica->o.name, u->number, (long long)id);
}

static void
send_events (struct run *u, int64_t from, int64_t to)
{
  char event[EVENT_SIZE_BYTES];

  for (int64_t id = from; id <= to; id++)
    {
      format_event (u, id, event);
      send_body (u, event);
    }
}

static void
send_half_event (struct run *u, int64_t id, bool first)
{
  char event[EVENT_SIZE_BYTES];
  size_t half;

  format_event (u, id, event);
  half = strlen (event) / 2;
  if (!first)
    {
      send_body (u, event + half);
      return;
    }
  event[half] = '\0';
  send_body (u, event);
}

static void
perform (struct run *u, const struct stream_step *s)
{
  switch (s->kind)
    {
    case STREAM_OVER:
      return;
    case STREAM_HEAD:
      send_head (u, true);
      break;
    case STREAM_UNSIZED_HEAD:
      send_head (u, false);
      break;
    case STREAM_TEXT:
      send_text (u, s->text);
      break;
    case STREAM_CHUNK:
      send_body (u, s->text);
      break;
    case STREAM_EVENTS:
      send_events (u, s->from, s->to);
      break;
    case STREAM_PART:
      send_half_event (u, s->from, true);
      break;
    case STREAM_REST:
      send_half_event (u, s->from, false);
      break;
    case STREAM_END:
      send_text (u, "0\r\n\r\n");
      break;
    case STREAM_CLOSE:
      close_run (u, false);
      return;
    case STREAM_RESET:
      close_run (u, true);
      return;
    }
  u->step++;
  next_step (u);
}

static void
on_step_timer (uv_timer_t *t)
{
  struct run *u = t->data;

  perform (u, u->step);
}

static void
next_step (struct run *u)
{
  if (u->step->wait_ms)
    uv_timer_start (&u->timer, on_step_timer, u->step->wait_ms, 0);
  else
    perform (u, u->step);
}

/* Play the script of the request whose head U has received.  */
static void
begin_run (struct run *u)
{
  struct stream_replica *r = u->replica;
  const char *after = strstr (u->received->str, "Last-Event-Id: ");
  uint32_t script = MIN (r->n_runs, r->o.n_scripts - 1);

  g_string_truncate (u->received, 0);
  u->number = ++r->n_runs;
  cr_assert_leq (u->number, STREAM_RUNS_MAX);
  r->resumed_after[u->number]
      = after ? atoll (after + strlen ("Last-Event-Id: ")) : -1;
  while (script && r->o.scripts[script].steps[0].kind == STREAM_OVER)
    script--;
  u->step = r->o.scripts[script].steps;
  next_step (u);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  struct run *u = h->data;

  *buf = uv_buf_init (u->buffer, sizeof u->buffer);
}

static void
on_read (uv_stream_t *h, ssize_t n, const uv_buf_t *buf)
{
  struct run *u = h->data;

  if (n < 0)
    {
      close_run (u, false);
      return;
    }
  g_string_append_len (u->received, buf->base, n);
  if (!strstr (u->received->str, "\r\n\r\n"))
    return;
  if (!u->step)
    begin_run (u);
  else
    {
      /* The script goes on as if nothing had come.  */
      u->replica->n_runs++;
      g_string_truncate (u->received, 0);
    }
}

static void
on_connection (uv_stream_t *listener, int err)
{
  struct stream_replica *r = listener->data;
  struct run *u = g_new0 (struct run, 1);

  cr_assert_eq (err, 0);
  u->replica = r;
  u->handles = 2;
  u->received = g_string_new (NULL);
  uv_tcp_init (r->o.loop, &u->tcp);
  uv_timer_init (r->o.loop, &u->timer);
  u->tcp.data = u;
  u->timer.data = u;
  cr_assert_eq (uv_accept (listener, (uv_stream_t *)&u->tcp), 0);
  g_ptr_array_add (r->runs, u);
  uv_read_start ((uv_stream_t *)&u->tcp, on_alloc, on_read);
}

struct stream_replica *
stream_replica_new (const struct stream_replica_options *o)
{
  struct stream_replica *r = g_new0 (struct stream_replica, 1);
  struct sockaddr_in any;

  r->o = *o;
  r->runs = g_ptr_array_new ();
  uv_ip4_addr ("127.0.0.1", 0, &any);
  uv_tcp_init (o->loop, &r->listener);
  r->listener.data = r;
  cr_assert_eq (uv_tcp_bind (&r->listener, (const struct sockaddr *)&any, 0),
                0);
  cr_assert_eq (
      uv_listen ((uv_stream_t *)&r->listener, BACKLOG, on_connection), 0);
  return r;
}

static void
on_listener_closed (uv_handle_t *h)
{
  struct stream_replica *r = h->data;

  g_ptr_array_free (r->runs, TRUE);
  g_free (r);
}

/* Close R with its connections.  The loop must run afterwards.  */
void
stream_replica_free (struct stream_replica *r)
{
  while (r->runs->len)
    close_run (g_ptr_array_index (r->runs, 0), false);
  uv_close ((uv_handle_t *)&r->listener, on_listener_closed);
}

struct sockaddr_in
stream_replica_address (const struct stream_replica *r)
{
  struct sockaddr_in a;
  int n = sizeof a;

  uv_tcp_getsockname (&r->listener, (struct sockaddr *)&a, &n);
  return a;
}

/* Number of requests that have reached R.  */
uint32_t
stream_replica_runs (const struct stream_replica *r)
{
  return r->n_runs;
}

/* Number of these whose connection is open.  */
uint32_t
stream_replica_open_runs (const struct stream_replica *r)
{
  return r->runs->len;
}

/* Last-Event-Id of request RUN, counted from 1; -1: it had none.  */
int64_t
stream_replica_resumed_after (const struct stream_replica *r, uint32_t run)
{
  return r->resumed_after[run];
}
