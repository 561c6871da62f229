#define _GNU_SOURCE
#include "base.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;

static int64_t
clock_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Time since the record was opened.  */
int64_t
now_ms (void)
{
  return clock_ms () - start_ms;
}

void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  if (ms > 0)
    nanosleep (&t, NULL);
}

void
record_open (const char *path)
{
  start_ms = clock_ms () - 1;
  record_file = fopen (path, "w");
  if (!record_file)
    {
      perror (path);
      exit (2);
    }
}

/* Add a line to the record: the time in ms and the text.  */
void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7lld ", (long long)now_ms ());
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  pthread_mutex_unlock (&record_lock);
}

/* End the process with CODE: 0 the rule held, 1 it was broken, 2 the case
   could not run.  */
void
quit (int code, const char *why)
{
  record ("end: exit %d, %s", code, why);
  printf ("%s\n", why);
  fflush (stdout);
  pthread_mutex_lock (&record_lock);
  fflush (record_file);
  _exit (code);
}

void
conn_init (struct conn *c, int fd)
{
  memset (c, 0, sizeof *c);
  c->fd = fd;
  c->size = BUFFER_BYTES;
  c->data = malloc (c->size);
}

void
conn_clear (struct conn *c)
{
  if (c->fd >= 0)
    close (c->fd);
  free (c->data);
  free (c->extra);
  c->fd = -1;
  c->data = NULL;
  c->extra = NULL;
}

bool
conn_write (struct conn *c, const void *p, size_t n)
{
  const char *at = p;

  while (n)
    {
      ssize_t k = send (c->fd, at, n, MSG_NOSIGNAL);

      if (k <= 0)
        return false;
      at += k;
      n -= (size_t)k;
    }
  return true;
}

static bool
fill (struct conn *c)
{
  ssize_t k;

  if (c->n == c->size)
    {
      c->size *= 2;
      c->data = realloc (c->data, c->size);
    }
  k = recv (c->fd, c->data + c->n, c->size - c->n, 0);
  if (k <= 0)
    return false;
  c->n += (size_t)k;
  return true;
}

static void
drop (struct conn *c, size_t n)
{
  memmove (c->data, c->data + n, c->n - n);
  c->n -= n;
}

/* Read a line without its end.  */
bool
conn_line (struct conn *c, char *out, size_t size)
{
  char *end;
  size_t n;

  while (!(end = memchr (c->data, '\n', c->n)))
    if (!fill (c))
      return false;
  n = (size_t)(end - c->data);
  if (n >= size)
    return false;
  memcpy (out, c->data, n);
  out[n] = '\0';
  if (n && out[n - 1] == '\r')
    out[n - 1] = '\0';
  drop (c, n + 1);
  return true;
}

bool
conn_bytes (struct conn *c, char *out, size_t n)
{
  while (c->n < n)
    if (!fill (c))
      return false;
  memcpy (out, c->data, n);
  drop (c, n);
  return true;
}

/* Whether the peer has closed or reset the connection.  */
bool
conn_is_closed (const struct conn *c)
{
  struct pollfd p = { .fd = c->fd, .events = POLLRDHUP };

  return poll (&p, 1, 0) > 0 && (p.revents & (POLLRDHUP | POLLHUP | POLLERR));
}

/* Connect to PORT; reads and writes then fail after TIMEOUT_MS each.  */
int
connect_to (uint16_t port, int timeout_ms)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct timeval t = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
message_read_head (struct conn *c, struct message *m)
{
  char line[8192];
  char *p;

  memset (m, 0, sizeof *m);
  if (!conn_line (c, line, sizeof line)
      || sscanf (line, "%1023s %1023s %1023[^\n]", m->line[0], m->line[1],
                 m->line[2])
             < 2)
    return false;
  while (conn_line (c, line, sizeof line))
    {
      if (!*line)
        return true;
      p = strchr (line, ':');
      if (!p || m->n_fields == FIELDS_MAX)
        return false;
      *p++ = '\0';
      while (*p == ' ')
        p++;
      m->fields[m->n_fields].name = strdup (line);
      m->fields[m->n_fields++].value = strdup (p);
    }
  return false;
}

const char *
message_field (const struct message *m, const char *name)
{
  for (size_t i = 0; i < m->n_fields; i++)
    if (!strcasecmp (m->fields[i].name, name))
      return m->fields[i].value;
  return NULL;
}

static bool
append (struct conn *c, struct message *m, size_t n)
{
  m->body = realloc (m->body, m->body_n + n + 1);
  if (!conn_bytes (c, m->body + m->body_n, n))
    return false;
  m->body_n += n;
  m->body[m->body_n] = '\0';
  return true;
}

/* Read the body of M.  False if it is not complete.  */
bool
message_read_body (struct conn *c, struct message *m, bool is_answer)
{
  const char *length = message_field (m, "Content-Length");
  const char *coding = message_field (m, "Transfer-Encoding");
  char line[256];
  size_t n;

  m->body = calloc (1, 1);
  if (coding && !strcasecmp (coding, "chunked"))
    {
      do
        {
          if (!conn_line (c, line, sizeof line))
            return false;
          n = strtoul (line, NULL, 16);
          if (!append (c, m, n) || !conn_line (c, line, sizeof line))
            return false;
        }
      while (n);
      return true;
    }
  if (length)
    return append (c, m, strtoul (length, NULL, 10));
  return !is_answer;
}

void
message_clear (struct message *m)
{
  for (size_t i = 0; i < m->n_fields; i++)
    {
      free (m->fields[i].name);
      free (m->fields[i].value);
    }
  free (m->body);
  memset (m, 0, sizeof *m);
}

/* Send an answer with a length.  FIELDS are lines that end with CR LF.  */
bool
answer (struct conn *c, int status, const char *fields, const void *body,
        size_t n)
{
  char *text;
  int k = asprintf (&text,
                    "HTTP/1.1 %d X\r\n%sKeep-Alive: timeout=15\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    status, fields, n);
  bool ok;

  text = realloc (text, (size_t)k + n);
  if (n)
    memcpy (text + k, body, n);
  ok = conn_write (c, text, (size_t)k + n);
  free (text);
  return ok;
}

void
start_thread (void *(*fn) (void *), void *arg)
{
  pthread_t t;
  pthread_attr_t a;

  pthread_attr_init (&a);
  pthread_attr_setstacksize (&a, 512 << 10);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&t, &a, fn, arg))
    quit (2, "no thread");
  pthread_attr_destroy (&a);
}

struct server
{
  int fd;
  void (*fn) (void *ctx, struct conn *c);
  void *ctx;
};

struct served
{
  struct server *server;
  int fd;
};

static void *
run_connection (void *arg)
{
  struct served *s = arg;
  struct conn c;

  conn_init (&c, s->fd);
  s->server->fn (s->server->ctx, &c);
  conn_clear (&c);
  free (s);
  return NULL;
}

static void *
run_server (void *arg)
{
  struct server *s = arg;
  int one = 1;

  for (;;)
    {
      struct served *v;
      int fd = accept (s->fd, NULL, NULL);

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, 1 /* TCP_NODELAY */, &one, sizeof one);
      v = malloc (sizeof *v);
      v->server = s;
      v->fd = fd;
      start_thread (run_connection, v);
    }
  return NULL;
}

static int
bind_port (uint16_t *port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t n = sizeof a;
  int one = 1;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a)
      || getsockname (fd, (struct sockaddr *)&a, &n))
    quit (2, "no port");
  *port = ntohs (a.sin_port);
  return fd;
}

uint16_t
serve (void (*fn) (void *ctx, struct conn *c), void *ctx)
{
  struct server *s = calloc (1, sizeof *s);
  uint16_t port;

  s->fn = fn;
  s->ctx = ctx;
  s->fd = bind_port (&port);
  if (listen (s->fd, 256))
    quit (2, "cannot listen");
  start_thread (run_server, s);
  return port;
}

uint16_t
reserve_port (void)
{
  uint16_t port;

  bind_port (&port);
  return port;
}
