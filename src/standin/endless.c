/* Stand-in of a server in trouble: on each connection it sends bytes without
   end that are no answer, until the caller closes.  */
#include "standin/endless.h"

#include <string.h>

#include <glib.h>

enum
{
  BLOCK_BYTES = 16384,
  BACKLOG = 16
};

#define OK "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n"

static const struct
{
  const char *begin;
  const char *repeat;
} texts[WY_ENDLESS_KINDS] = {
  [WY_ENDLESS_BYTES] = { "", "\x80\x81spam" },
  [WY_ENDLESS_FIELD] = { "HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa" },
  [WY_ENDLESS_FIELDS] = { "HTTP/1.1 200 OK\r\n", "X: aaaa\r\n" },
  [WY_ENDLESS_INTERIM] = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
  [WY_ENDLESS_BODY] = { OK "\r\n", "aaaaaaaa" },
  [WY_ENDLESS_CHUNKS]
  = { OK "Transfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n" },
  [WY_ENDLESS_CHUNK_EXTENSION]
  = { OK "Transfer-Encoding: chunked\r\n\r\n8;", "aaaaaaaa" },
  [WY_ENDLESS_ERROR_BODY]
  = { "HTTP/1.1 500 Internal Server Error\r\n\r\n", "aaaaaaaa" },
  [WY_ENDLESS_EVENTS]
  = { OK "Content-Type: text/event-stream\r\n\r\n", ": aaaaaa\n" },
};

struct conn
{
  uv_tcp_t tcp; /* must stay first */
  struct wy_endless *server;
  uv_write_t write;
  char block[BLOCK_BYTES];
  size_t size_bytes;
  uint64_t sent_bytes;
  char input[4096];
};

static void send_block (struct conn *c);

static void
on_closed (uv_handle_t *h)
{
  ((struct conn *)h)->server->open--;
  g_free (h);
}

static void
close_conn (struct conn *c)
{
  if (!uv_is_closing ((uv_handle_t *)&c->tcp))
    uv_close ((uv_handle_t *)&c->tcp, on_closed);
}

static void
fill (struct conn *c, const char *begin)
{
  const char *repeat = texts[c->server->kind].repeat;
  size_t n = strlen (repeat);

  c->size_bytes = strlen (begin);
  memcpy (c->block, begin, c->size_bytes);
  for (; c->size_bytes + n <= BLOCK_BYTES; c->size_bytes += n)
    memcpy (c->block + c->size_bytes, repeat, n);
}

static void
on_written (uv_write_t *req, int status)
{
  struct conn *c = req->data;

  if (status < 0)
    {
      close_conn (c);
      return;
    }
  c->sent_bytes += c->size_bytes;
  c->server->sent_max_bytes = MAX (c->server->sent_max_bytes, c->sent_bytes);
  fill (c, "");
  send_block (c);
}

static void
send_block (struct conn *c)
{
  uv_buf_t b = uv_buf_init (c->block, (unsigned)c->size_bytes);

  c->write.data = c;
  if (uv_write (&c->write, (uv_stream_t *)&c->tcp, &b, 1, on_written))
    close_conn (c);
}

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *b)
{
  struct conn *c = (struct conn *)h;

  *b = uv_buf_init (c->input, sizeof c->input);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
  struct conn *c = (struct conn *)s;

  if (n < 0)
    close_conn (c);
  else if (n > 0 && c->size_bytes == 0)
    {
      fill (c, texts[c->server->kind].begin);
      send_block (c);
    }
}

static void
on_connection (uv_stream_t *s, int status)
{
  struct wy_endless *e = (struct wy_endless *)s;
  struct conn *c = g_new0 (struct conn, 1);

  c->server = e;
  uv_tcp_init (s->loop, &c->tcp);
  e->open++;
  e->opened++;
  if (uv_accept (s, (uv_stream_t *)&c->tcp)
      || uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read))
    close_conn (c);
}

/* Listen on a free port of the loopback address and send bytes of KIND.
   Returns false if there is no such port.  */
bool
wy_endless_start (struct wy_endless *e, uv_loop_t *loop,
                  enum wy_endless_kind kind)
{
  struct sockaddr_in a;
  struct sockaddr_storage bound;
  int n = sizeof bound;

  memset (e, 0, sizeof *e);
  e->kind = kind;
  uv_ip4_addr ("127.0.0.1", 0, &a);
  uv_tcp_init (loop, &e->listener);
  if (uv_tcp_bind (&e->listener, (struct sockaddr *)&a, 0)
      || uv_listen ((uv_stream_t *)&e->listener, BACKLOG, on_connection)
      || uv_tcp_getsockname (&e->listener, (struct sockaddr *)&bound, &n))
    {
      wy_endless_stop (e);
      return false;
    }
  e->port = ntohs (((struct sockaddr_in *)&bound)->sin_port);
  return true;
}

/* Accept no further connections.  */
void
wy_endless_stop (struct wy_endless *e)
{
  uv_close ((uv_handle_t *)&e->listener, NULL);
}
