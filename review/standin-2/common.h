/* What the stand-ins of this review share: a blocking HTTP/1.1 server with one
   thread for each connection, a blocking client, and the record of a run.  */
#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536

static inline int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static inline void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  if (ms > 0)
    nanosleep (&t, NULL);
}

static FILE *record_file;

/* Append a line to the record: what was sent, answered or run.  */
static inline void
record (const char *fmt, ...)
{
  static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
  va_list ap;

  if (!record_file)
    return;
  pthread_mutex_lock (&lock);
  fprintf (record_file, "%lld ", (long long)now_ms ());
  va_start (ap, fmt);
  vfprintf (record_file, fmt, ap);
  va_end (ap);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&lock);
}

static inline void
record_open (const char *path)
{
  record_file = fopen (path, "a");
  if (!record_file)
    {
      perror (path);
      exit (2);
    }
}

struct request
{
  int fd;
  char *head; /* request line and fields, terminated */
  char method[16];
  char target[4096];
  char *body;
  size_t body_n;
};

/* Copy the value of the field NAME of the head at HEAD to OUT.  */
static inline bool
field (const char *head, const char *name, char *out, size_t size)
{
  size_t n = strlen (name);

  for (const char *p = strstr (head, "\r\n"); p && p[2] != '\r';
       p = strstr (p + 2, "\r\n"))
    if (!strncasecmp (p + 2, name, n) && p[2 + n] == ':')
      {
        const char *v = p + 3 + n;
        size_t len;

        while (*v == ' ')
          v++;
        len = strcspn (v, "\r\n");
        if (len >= size)
          len = size - 1;
        memcpy (out, v, len);
        out[len] = '\0';
        return true;
      }
  out[0] = '\0';
  return false;
}

static inline bool
write_all (int fd, const void *p, size_t n)
{
  const char *at = p;

  while (n)
    {
      ssize_t k = send (fd, at, n, MSG_NOSIGNAL);

      if (k < 0 && errno == EINTR)
        continue;
      if (k <= 0)
        return false;
      at += k;
      n -= (size_t)k;
    }
  return true;
}

/* Respond with STATUS, the lines FIELDS (each ending with CRLF) and a body. */
static inline bool
respond (int fd, int status, const char *fields, const void *body, size_t n)
{
  char head[2048];
  int h = snprintf (head, sizeof head,
                    "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n", status,
                    fields, n);

  return write_all (fd, head, (size_t)h) && write_all (fd, body, n);
}

/* Read from FD until the head in BUF, of *USED bytes, is complete.  Return its
   size; 0: the connection has ended.  */
static inline size_t
read_head (int fd, char *buf, size_t *used)
{
  for (;;)
    {
      char *end;
      ssize_t k;

      buf[*used] = '\0';
      end = strstr (buf, "\r\n\r\n");
      if (end)
        return (size_t)(end - buf) + 4;
      if (*used >= HEAD_MAX)
        return 0;
      k = recv (fd, buf + *used, HEAD_MAX - *used, 0);
      if (k < 0 && errno == EINTR)
        continue;
      if (k <= 0)
        return 0;
      *used += (size_t)k;
    }
}

struct listener
{
  int fd;
  /* Returns false if the connection is to be closed.  */
  bool (*on_request) (void *ctx, struct request *r);
  void *ctx;
};

struct connection
{
  struct listener *listener;
  int fd;
};

static inline void *
connection_main (void *arg)
{
  struct connection *c = arg;
  char *buf = malloc (HEAD_MAX + 1);
  size_t used = 0;
  size_t head_n;

  while ((head_n = read_head (c->fd, buf, &used)))
    {
      struct request r = { .fd = c->fd };
      char text[64];
      size_t have = used - head_n;
      bool keep;

      r.head = strndup (buf, head_n);
      if (sscanf (r.head, "%15s %4095s", r.method, r.target) != 2)
        {
          free (r.head);
          break;
        }
      field (r.head, "Content-Length", text, sizeof text);
      r.body_n = strtoul (text, NULL, 10);
      r.body = malloc (r.body_n + 1);
      if (have > r.body_n)
        have = r.body_n;
      memcpy (r.body, buf + head_n, have);
      memmove (buf, buf + head_n + have, used - head_n - have);
      used -= head_n + have;
      while (have < r.body_n)
        {
          ssize_t k = recv (c->fd, r.body + have, r.body_n - have, 0);

          if (k < 0 && errno == EINTR)
            continue;
          if (k <= 0)
            break;
          have += (size_t)k;
        }
      r.body[have] = '\0';
      keep = have == r.body_n
             && c->listener->on_request (c->listener->ctx, &r);
      free (r.head);
      free (r.body);
      if (!keep)
        break;
    }
  close (c->fd);
  free (buf);
  free (c);
  return NULL;
}

static inline void
start_thread (void *(*fn) (void *), void *arg)
{
  pthread_t t;
  pthread_attr_t a;

  pthread_attr_init (&a);
  pthread_attr_setstacksize (&a, 256 * 1024);
  pthread_attr_setdetachstate (&a, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&t, &a, fn, arg))
    {
      perror ("pthread_create");
      exit (2);
    }
  pthread_attr_destroy (&a);
}

static inline void *
listener_main (void *arg)
{
  struct listener *l = arg;

  for (;;)
    {
      struct connection *c;
      int one = 1;
      int fd = accept (l->fd, NULL, NULL);

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      c = malloc (sizeof *c);
      c->listener = l;
      c->fd = fd;
      start_thread (connection_main, c);
    }
  return NULL;
}

/* Listen on a free loopback port; return it.  */
static inline int
listen_free (bool (*on_request) (void *, struct request *), void *ctx)
{
  struct listener *l = calloc (1, sizeof *l);
  struct sockaddr_in a = { .sin_family = AF_INET };
  socklen_t n = sizeof a;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  l->fd = socket (AF_INET, SOCK_STREAM, 0);
  l->on_request = on_request;
  l->ctx = ctx;
  if (bind (l->fd, (struct sockaddr *)&a, sizeof a) || listen (l->fd, 256)
      || getsockname (l->fd, (struct sockaddr *)&a, &n))
    {
      perror ("listen");
      exit (2);
    }
  start_thread (listener_main, l);
  return ntohs (a.sin_port);
}

/* Connect to PORT on loopback.  SEGMENT: the largest segment that this end
   takes, as on an Ethernet; 0: as the interface has it.  RECEIVE: size of the
   receive buffer; 0: as the system has it.  -1: no connection.  */
static inline int
connect_to (int port, int segment, int receive)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int one = 1;

  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (segment)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  if (receive)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof receive);
  if (connect (fd, (struct sockaddr *)&a, sizeof a))
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

struct answer
{
  int status; /* 0: none */
  char *head;
  char *body;
  size_t body_n;
  bool complete;
};

static inline void
answer_free (struct answer *a)
{
  free (a->head);
  free (a->body);
  memset (a, 0, sizeof *a);
}

/* Send one request on a new connection to PORT and read its answer, which has
   a length.  FIELDS are lines that end with CRLF.  TIMEOUT_MS bounds each
   wait.  */
static inline void
call (int port, const char *method, const char *target, const char *fields,
      const void *body, size_t body_n, int timeout_ms, struct answer *out)
{
  struct timeval tv = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  int fd = connect_to (port, 0, 0);
  char *buf = malloc (HEAD_MAX + 1);
  char text[64];
  size_t used = 0;
  size_t head_n;
  size_t have;
  int h;

  memset (out, 0, sizeof *out);
  if (fd < 0)
    {
      free (buf);
      return;
    }
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
  h = snprintf (buf, HEAD_MAX, "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
                method, target, fields, body_n);
  if (write_all (fd, buf, (size_t)h) && write_all (fd, body, body_n)
      && (head_n = read_head (fd, buf, &used)))
    {
      out->head = strndup (buf, head_n);
      sscanf (out->head, "HTTP/1.1 %d", &out->status);
      field (out->head, "Content-Length", text, sizeof text);
      out->body_n = strtoul (text, NULL, 10);
      out->body = malloc (out->body_n + 1);
      have = used - head_n;
      if (have > out->body_n)
        have = out->body_n;
      memcpy (out->body, buf + head_n, have);
      while (have < out->body_n)
        {
          ssize_t k = recv (fd, out->body + have, out->body_n - have, 0);

          if (k < 0 && errno == EINTR)
            continue;
          if (k <= 0)
            break;
          have += (size_t)k;
        }
      out->body[have] = '\0';
      out->complete = have == out->body_n;
    }
  close (fd);
  free (buf);
}

#endif
