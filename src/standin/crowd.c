/* Clients that send and read as no ordinary client does.  */
#include "standin/crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

enum
{
  STEP_MS = 5,
  OPENED_A_STEP = 100,
  SENT_A_STEP_BYTES = 262144,
  READ_SIZE_BYTES = 65536,
  /* Small, so that the kernel doesn't hold what the process should not.  */
  RECEIVE_BUFFER_BYTES = 4096,
  SEGMENT_BYTES = 536
};

struct member
{
  int fd; /* -1: closed */
  uint32_t sent_bytes;
  bool opened;
};

struct wy_crowd
{
  struct wy_crowd_options o;
  struct member *members;
  uint32_t opened;
  uint64_t sent_bytes;
  bool sends;
  uv_timer_t timer;
};

static void
close_member (struct member *m)
{
  close (m->fd);
  m->fd = -1;
}

/* Return whether the descriptors of the test allow a further connection.  */
static bool
open_member (struct wy_crowd *c, struct member *m)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_port = htons (c->o.port) };
  int buffer = RECEIVE_BUFFER_BYTES;
  int segment = SEGMENT_BYTES;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  m->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m->fd < 0)
    return false;
  m->opened = true;
  m->sent_bytes = 0;
  c->opened++;
  if (!c->o.read_step_bytes)
    {
      setsockopt (m->fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
      setsockopt (m->fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    }
  if (connect (m->fd, (const struct sockaddr *)&a, sizeof a)
      && errno != EINPROGRESS)
    close_member (m);
  return true;
}

/* The next bytes that M sends; N is set to their number, 0 if there are
   none.  */
static const char *
next_bytes (const struct wy_crowd *c, const struct member *m, uint32_t *n)
{
  uint32_t at = m->sent_bytes;

  *n = 0;
  if (at < c->o.once_bytes)
    {
      *n = c->o.once_bytes - at;
      return c->o.once + at;
    }
  if (!c->o.again_bytes || at >= c->o.sent_max_bytes)
    return NULL;
  at = (at - c->o.once_bytes) % c->o.again_bytes;
  *n = c->o.again_bytes - at;
  return c->o.again + at;
}

static void
send_some (struct wy_crowd *c, struct member *m)
{
  uint32_t left_bytes
      = c->o.chunk_bytes ? c->o.chunk_bytes : (uint32_t)SENT_A_STEP_BYTES;

  while (left_bytes)
    {
      uint32_t n;
      const char *p = next_bytes (c, m, &n);
      ssize_t sent;

      if (!n)
        return;
      sent = send (m->fd, p, MIN (n, left_bytes), MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == ENOTCONN))
        return;
      if (sent < 0)
        {
          close_member (m);
          return;
        }
      m->sent_bytes += (uint32_t)sent;
      c->sent_bytes += (uint64_t)sent;
      left_bytes -= (uint32_t)sent;
    }
}

static void
read_some (struct wy_crowd *c, struct member *m)
{
  static char bytes[READ_SIZE_BYTES];
  uint32_t left_bytes = c->o.read_step_bytes;

  while (left_bytes)
    {
      ssize_t n = recv (m->fd, bytes, MIN (left_bytes, sizeof bytes), 0);

      if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
        return;
      if (n <= 0)
        {
          close_member (m);
          return;
        }
      left_bytes -= (uint32_t)n;
    }
}

static void
end_sending (const struct wy_crowd *c, struct member *m)
{
  uint32_t n;

  next_bytes (c, m, &n);
  if (n || !m->sent_bytes)
    return;
  if (c->o.reopen)
    close_member (m);
  else if (c->o.half_close)
    shutdown (m->fd, SHUT_WR);
}

static void
on_step (uv_timer_t *t)
{
  struct wy_crowd *c = t->data;
  uint32_t to_open = OPENED_A_STEP;

  for (uint32_t i = 0; i < c->o.connections; i++)
    {
      struct member *m = &c->members[i];

      if (m->fd < 0 && c->sends && to_open && c->opened < c->o.opened_max
          && (!m->opened || c->o.reopen) && open_member (c, m))
        to_open--;
      if (m->fd >= 0 && c->sends)
        send_some (c, m);
      if (m->fd >= 0)
        read_some (c, m);
      if (m->fd >= 0 && c->sends)
        end_sending (c, m);
    }
}

/* Start a crowd as O says.  The texts must outlive it.  */
struct wy_crowd *
wy_crowd_new (const struct wy_crowd_options *o)
{
  struct wy_crowd *c = g_new0 (struct wy_crowd, 1);

  c->o = *o;
  if (o->once && !o->once_bytes)
    c->o.once_bytes = (uint32_t)strlen (o->once);
  if (o->again && !o->again_bytes)
    c->o.again_bytes = (uint32_t)strlen (o->again);
  if (!o->opened_max)
    c->o.opened_max = o->connections;
  c->members = g_new0 (struct member, o->connections);
  for (uint32_t i = 0; i < o->connections; i++)
    c->members[i].fd = -1;
  c->sends = true;
  uv_timer_init (o->loop, &c->timer);
  c->timer.data = c;
  uv_timer_start (&c->timer, on_step, 0, STEP_MS);
  return c;
}

/* Number of connections that the crowd has open.  */
uint32_t
wy_crowd_open (const struct wy_crowd *c)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < c->o.connections; i++)
    n += c->members[i].fd >= 0;
  return n;
}

/* Bytes that all connections have sent.  */
uint64_t
wy_crowd_sent_bytes (const struct wy_crowd *c)
{
  return c->sent_bytes;
}

/* Keep the connections but send nothing further on them.  */
void
wy_crowd_stop_sending (struct wy_crowd *c)
{
  c->sends = false;
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_crowd *c = h->data;

  g_free (c->members);
  g_free (c);
}

/* Close all connections; C is freed on the loop.  */
void
wy_crowd_free (struct wy_crowd *c)
{
  for (uint32_t i = 0; i < c->o.connections; i++)
    if (c->members[i].fd >= 0)
      close_member (&c->members[i]);
  uv_close ((uv_handle_t *)&c->timer, on_timer_closed);
}
