/* A raw client that reads at a given pace.  */
#include "support/paced_client.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  /* As on an Ethernet link; the loopback interface would take megabytes ahead
     of the reader.  */
  SEGMENT_BYTES = 1460,
  WINDOW_BYTES = 16384,
  STEP_MS = 20,
  MS_PER_S = 1000
};

static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *buf)
{
  struct paced_client *c = h->data;

  *buf = uv_buf_init (c->buffer, c->step_bytes
                                     ? MIN (c->room_bytes, sizeof c->buffer)
                                     : (unsigned)sizeof c->buffer);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct paced_client *c = s->data;

  if (n < 0)
    {
      c->ended = true;
      uv_read_stop (s);
      return;
    }
  g_string_append_len (c->got, buf->base, n);
  if (!c->step_bytes)
    return;
  c->room_bytes -= (uint32_t)n;
  if (c->room_bytes == 0)
    uv_read_stop (s);
}

static void
read_on (struct paced_client *c)
{
  c->room_bytes = c->step_bytes;
  if (!c->ended)
    uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static void
on_pace (uv_timer_t *t)
{
  read_on (t->data);
}

/* Send TEXT, which must stay valid.  */
void
paced_client_send (struct paced_client *c, const char *text)
{
  uv_buf_t buf = uv_buf_init ((char *)text, (unsigned)strlen (text));

  uv_write (&c->write, (uv_stream_t *)&c->tcp, &buf, 1, NULL);
}

static void
on_connect (uv_connect_t *r, int status)
{
  struct paced_client *c = r->handle->data;

  cr_assert_eq (status, 0);
  paced_client_send (c, c->text);
  read_on (c);
}

/* Send TEXT to PORT of this machine on a new connection and read BYTES_PER_S
   (0: without a limit).  */
struct paced_client *
paced_client_new (uv_loop_t *loop, uint16_t port, const char *text,
                  uint32_t bytes_per_s)
{
  struct paced_client *c = g_new0 (struct paced_client, 1);
  struct sockaddr_in a;
  int segment = SEGMENT_BYTES;
  int window = WINDOW_BYTES;
  uv_os_fd_t fd;

  c->text = text;
  c->got = g_string_new (NULL);
  c->step_bytes = bytes_per_s / MS_PER_S * STEP_MS;
  uv_ip4_addr ("127.0.0.1", port, &a);
  uv_tcp_init_ex (loop, &c->tcp, AF_INET);
  c->tcp.data = c;
  uv_fileno ((uv_handle_t *)&c->tcp, &fd);
  uv_timer_init (loop, &c->pace);
  c->pace.data = c;
  if (bytes_per_s)
    {
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
      uv_timer_start (&c->pace, on_pace, STEP_MS, STEP_MS);
    }
  uv_tcp_connect (&c->connect, &c->tcp, (struct sockaddr *)&a, on_connect);
  return c;
}

/* Read no more; the connection stays open.  */
void
paced_client_stop_reading (struct paced_client *c)
{
  uv_timer_stop (&c->pace);
  uv_read_stop ((uv_stream_t *)&c->tcp);
}
