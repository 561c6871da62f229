/* Stand-in of a server that answers each request with the same bytes.  */
#include "standin/scripted.h"

#include <string.h>

#include <glib.h>

#include "base/tcp_listen.h"

enum
{
  BACKLOG = 16,
  INPUT_BYTES = 65536
};

struct conn
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_scripted *server;
  uv_write_t write;
  const struct wy_scripted_response *response; /* being sent, or NULL */
  size_t sent_bytes;
  GString *request; /* head */
  char input[INPUT_BYTES];
};

static void
release (struct wy_scripted *s)
{
  if (--s->handles == 0)
    g_free (s);
}

static void
on_closed (uv_handle_t *h)
{
  struct conn *c = (struct conn *)h;

  g_string_free (c->request, TRUE);
  release (c->server);
  g_free (c);
}

static void
close_conn (struct conn *c)
{
  if (!uv_is_closing ((uv_handle_t *)&c->tcp))
    uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

static size_t
size_of (const struct wy_scripted_response *r)
{
  return r->n ? r->n : strlen (r->text);
}

static void send_more (struct conn *c);

static void
on_written (uv_write_t *req, int status)
{
  struct conn *c = req->data;

  if (status < 0)
    {
      close_conn (c);
      return;
    }
  if (c->sent_bytes < size_of (c->response))
    {
      send_more (c);
      return;
    }
  if (c->response->ends)
    close_conn (c);
  c->response = NULL;
}

static void
send_more (struct conn *c)
{
  size_t left = size_of (c->response) - c->sent_bytes;
  size_t n = c->server->o.bytewise ? 1 : left;
  uv_buf_t b
      = uv_buf_init ((char *)c->response->text + c->sent_bytes, (unsigned)n);

  c->sent_bytes += n;
  c->write.data = c;
  if (uv_write (&c->write, (uv_stream_t *)&c->tcp, &b, 1, on_written))
    close_conn (c);
}

static bool
begins_with_method (const struct conn *c, const char *method)
{
  size_t n = strlen (method);

  return c->request->len > n && !strncmp (c->request->str, method, n)
         && c->request->str[n] == ' ';
}

/* A request has arrived.  Bodies have no empty lines.  */
static void
respond (struct conn *c)
{
  struct wy_scripted *s = c->server;
  bool otherwise = s->o.method && !begins_with_method (c, s->o.method);

  g_string_truncate (c->request, 0);
  c->response = otherwise ? &s->o.otherwise : &s->o.response;
  c->sent_bytes = 0;
  s->answered += !otherwise;
  send_more (c);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
  struct conn *c = (struct conn *)h;

  *b = uv_buf_init (c->input, sizeof c->input);
}

static void
on_read (uv_stream_t *h, ssize_t n, const uv_buf_t *b)
{
  struct conn *c = (struct conn *)h;

  if (n < 0)
    {
      close_conn (c);
      return;
    }
  g_string_append_len (c->request, b->base, n);
  if (!c->response && strstr (c->request->str, "\r\n\r\n"))
    respond (c);
}

static void
on_connection (uv_stream_t *h, int status)
{
  struct wy_scripted *s = (struct wy_scripted *)h;
  struct conn *c = g_new0 (struct conn, 1);

  c->server = s;
  c->request = g_string_new (NULL);
  uv_tcp_init (h->loop, &c->tcp);
  s->handles++;
  if (uv_accept (h, (uv_stream_t *)&c->tcp) || uv_tcp_nodelay (&c->tcp, 1)
      || uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read))
    close_conn (c);
}

static void
on_listener_closed (uv_handle_t *h)
{
  release ((struct wy_scripted *)h);
}

/* Listen on a free port of the loopback address and answer as O says, whose
   texts must outlive the server.  Returns NULL if there is no such port.  */
struct wy_scripted *
wy_scripted_new (const struct wy_scripted_options *o)
{
  struct wy_scripted *s = g_new0 (struct wy_scripted, 1);
  struct wy_tcp_listen_options l = { .loop = o->loop,
                                     .host = "127.0.0.1",
                                     .backlog = BACKLOG,
                                     .on_connection = on_connection };

  s->o = *o;
  s->handles = 1;
  if (!wy_tcp_listen (&s->listener, &l, &s->port))
    return s;
  wy_scripted_free (s);
  return NULL;
}

/* Accept no further connections.  S is freed when the last one is closed.  */
void
wy_scripted_free (struct wy_scripted *s)
{
  uv_close ((uv_handle_t *)&s->listener, on_listener_closed);
}
