/* Cost of one entry: requests per second on one core, added latency, and
   memory when idle.  The entry runs in a child process; the callers, the
   instance list and agents that respond at once run in this one.  Prints one
   line per figure: case, size, policy, figure, value.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/hist.h"
#include "base/id.h"
#include "entry/entry.h"
#include "inner/conn.h"
#include "trace/log.h"

enum
{
  AGENTS = 3,
  CONNECTIONS_MAX = 64,
  WARMUP_MS = 500,
  RUN_MS = 4000,
  START_LIMIT_MS = 5000,
  BUFFER_SIZE_BYTES = 65536,
  TOKENS = 20
};

struct agent
{
  struct wy_inner_identity identity;
  struct wy_listener *listener;
  struct wy_conn *conn;
  char name[8];
  uint32_t runs;
};

struct caller
{
  uv_tcp_t tcp; /* must stay first */
  uv_connect_t connect;
  uv_write_t write;
  GString *in;
  int64_t sent_us;
  bool counted;
};

static const struct wy_inner_key key = { 1, "secret" };
static uv_loop_t *loop;
static struct agent agents[AGENTS];
static struct wy_http_server *instance_list;
static struct caller callers[CONNECTIONS_MAX];
static char buffer[BUFFER_SIZE_BYTES];
static GString *request;
static GString *events;
static bool counting;
static uint64_t n_responses;
static struct wy_hist latency_us;

static int64_t
now_us (void)
{
  return wy_clock_mono_us (wy_clock_system ());
}

static void
respond (struct agent *a, const struct wy_frame_submit *s)
{
  char run[32];
  struct wy_header_pair type
      = { wy_bytes_of ("content-type"), wy_bytes_of ("text/event-stream") };
  struct wy_frame f = { .kind = WY_FRAME_ACCEPTED };

  g_snprintf (run, sizeof run, "%s-%u", a->name, a->runs++);
  f.u.resume.id = s->id;
  f.u.resume.run = wy_bytes_of (run);
  wy_conn_send (a->conn, &f);
  f = (struct wy_frame){ .kind = WY_FRAME_HEAD };
  f.u.head.id = s->id;
  f.u.head.run = wy_bytes_of (run);
  f.u.head.status = 200;
  f.u.head.headers = &type;
  f.u.head.n_headers = 1;
  wy_conn_send (a->conn, &f);
  f = (struct wy_frame){ .kind = WY_FRAME_CHUNK };
  f.u.chunk.id = s->id;
  f.u.chunk.run = wy_bytes_of (run);
  f.u.chunk.data.p = events->str;
  f.u.chunk.data.n = (uint32_t)events->len;
  wy_conn_send (a->conn, &f);
  f = (struct wy_frame){ .kind = WY_FRAME_END };
  f.u.end.id = s->id;
  f.u.end.run = wy_bytes_of (run);
  f.u.end.result = WY_RUN_DONE;
  f.u.end.ran = WY_RAN_YES;
  f.u.end.total_bytes = events->len;
  f.u.end.digest = wy_hash64 (events->str, events->len, 0);
  f.u.end.tokens = TOKENS;
  f.u.end.finish = wy_bytes_of ("stop");
  wy_conn_send (a->conn, &f);
}

static void
on_ready (void *ctx, struct wy_conn *c, const char *process,
          const char *incarnation, const char *zone)
{
  ((struct agent *)ctx)->conn = c;
}

static void
on_frame (void *ctx, struct wy_conn *c, const struct wy_frame *f)
{
  if (f->kind == WY_FRAME_SUBMIT)
    respond (ctx, &f->u.submit);
}

static void
on_closed (void *ctx, struct wy_conn *c, int err)
{
}

static void
fill_ping (void *ctx, struct wy_conn *c, struct wy_frame_ping *p)
{
  p->has_load = true;
  p->load.target_up = true;
  p->load.streams_max = CONNECTIONS_MAX;
  p->load.kv_total_tokens = 1000000;
}

static struct wy_conn_events
on_accept (void *ctx, struct wy_conn *c)
{
  return (struct wy_conn_events){ .on_ready = on_ready,
                                  .on_frame = on_frame,
                                  .on_closed = on_closed,
                                  .fill_ping = fill_ping,
                                  .ctx = ctx };
}

static void
start_agent (struct agent *a, int i)
{
  struct wy_listener_options o = { .identity = &a->identity,
                                   .host = "127.0.0.1",
                                   .on_accept = on_accept,
                                   .ctx = a };

  g_snprintf (a->name, sizeof a->name, "t%d", i);
  a->identity = (struct wy_inner_identity){ .loop = loop,
                                            .clock = wy_clock_system (),
                                            .process = a->name,
                                            .incarnation = "first",
                                            .availability_zone = "a",
                                            .keys = &key,
                                            .n_keys = 1,
                                            .handshake_timeout_ms = 2000,
                                            .heartbeat_ms = 250,
                                            .silence_limit_ms = 2000,
                                            .send_limit_bytes = 1 << 24 };
  if (wy_listener_new (&a->listener, &o))
    abort ();
}

static void
on_list (struct wy_http_exchange *ex, void *ctx)
{
  GString *s = g_string_new (NULL);

  g_string_printf (s, "{\"as_of_ms\":%lld,\"instances\":[",
                   (long long)wy_clock_wall_ms (wy_clock_system ()));
  for (int i = 0; i < AGENTS; i++)
    g_string_append_printf (
        s,
        "%s{\"id\":\"%s\",\"role\":\"agent\",\"host\":\"127.0.0.1\","
        "\"port\":%u,\"availability_zone\":\"a\",\"state\":\"live\","
        "\"serves\":\"m\",\"kind\":\"model\"}",
        i ? "," : "", agents[i].name, wy_listener_port (agents[i].listener));
  g_string_append (s, "]}");
  wy_http_respond (ex, 200, "application/json", s->str, s->len);
  g_string_free (s, TRUE);
}

/* The child process: run an entry until it is killed.  Its port is written to
   FD.  */
static void
run_entry (int fd, uint16_t list_port)
{
  static const char document[]
      = "{\"models\":[{\"name\":\"m\"}],\"services\":[],\"yards\":[],"
        "\"drained\":[],\"unblocked\":[]}";
  static struct wy_entry_settings settings;
  char path[] = "/tmp/wy-bench-XXXXXX";
  FILE *f = fdopen (mkstemp (path), "w");
  GString *errors = g_string_new (NULL);
  struct wy_trace_options trace = { .process = "entry-1",
                                    .incarnation = "i1",
                                    .path = "/dev/null",
                                    .clock = wy_clock_system () };
  struct wy_entry_options o
      = { .clock = wy_clock_system (), .settings = &settings };
  struct wy_config_feed_options feed = { .clock = wy_clock_system () };
  uint16_t port;

  fprintf (f,
           "name: entry-1\navailability_zone: a\nkey_1: 1:secret\n"
           "list: 127.0.0.1:%u\n",
           list_port);
  fclose (f);
  if (wy_settings_load (path, wy_entry_settings_table, wy_entry_settings_count,
                        &settings, errors))
    abort ();
  unlink (path);
  o.loop = uv_loop_new ();
  feed.loop = o.loop;
  wy_log_open ("entry-1", WY_LOG_ERROR);
  wy_trace_new (&o.trace, &trace);
  o.metrics = wy_metrics_new ();
  o.feed = wy_config_feed_new (&feed);
  wy_config_feed_offer (o.feed, 1, 1, document, strlen (document));
  struct wy_entry *e;
  if (wy_entry_new (&e, &o))
    abort ();
  wy_entry_configure (e, wy_config_feed_document (o.feed));
  port = wy_entry_port (e);
  if (write (fd, &port, sizeof port) != sizeof port)
    abort ();
  uv_run (o.loop, UV_RUN_DEFAULT);
}

static void
run_for_ms (int64_t ms)
{
  int64_t end = now_us () + ms * WY_US_PER_MS;

  while (now_us () < end)
    uv_run (loop, UV_RUN_NOWAIT);
}

static void
send_next (struct caller *c)
{
  uv_buf_t buf = uv_buf_init (request->str, (unsigned)request->len);

  c->sent_us = now_us ();
  c->counted = counting;
  uv_write (&c->write, (uv_stream_t *)&c->tcp, &buf, 1, NULL);
}

static bool
is_complete (const GString *in)
{
  const char *head = strstr (in->str, "\r\n\r\n");
  const char *length;

  if (!head)
    return false;
  length = strcasestr (in->str, "content-length:");
  if (!length || length > head)
    return g_str_has_suffix (in->str, "\r\n0\r\n\r\n");
  return in->len - (size_t)(head + 4 - in->str)
         >= strtoul (length + strlen ("content-length:"), NULL, 10);
}

static void
on_alloc (uv_handle_t *h, size_t n, uv_buf_t *buf)
{
  *buf = uv_buf_init (buffer, sizeof buffer);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
  struct caller *c = (struct caller *)s;

  if (n < 0)
    {
      fprintf (stderr, "the entry closed a connection\n");
      exit (1);
    }
  g_string_append_len (c->in, buf->base, n);
  if (!is_complete (c->in))
    return;
  if (strncmp (c->in->str, "HTTP/1.1 200", strlen ("HTTP/1.1 200")) != 0)
    {
      fprintf (stderr, "%s\n", c->in->str);
      exit (1);
    }
  g_string_truncate (c->in, 0);
  if (c->counted && counting)
    {
      n_responses++;
      wy_hist_add (&latency_us, (uint64_t)(now_us () - c->sent_us));
    }
  send_next (c);
}

static void
on_connect (uv_connect_t *req, int status)
{
  struct caller *c = req->data;

  if (status)
    abort ();
  uv_tcp_nodelay (&c->tcp, 1);
  uv_read_start ((uv_stream_t *)&c->tcp, on_alloc, on_read);
  send_next (c);
}

static void
connect_callers (uint32_t from, uint32_t to, uint16_t port)
{
  struct sockaddr_in a;

  uv_ip4_addr ("127.0.0.1", port, &a);
  for (uint32_t i = from; i < to; i++)
    {
      uv_tcp_init (loop, &callers[i].tcp);
      callers[i].in = g_string_new (NULL);
      callers[i].connect.data = &callers[i];
      uv_tcp_connect (&callers[i].connect, &callers[i].tcp,
                      (struct sockaddr *)&a, on_connect);
    }
}

static double
cpu_s (pid_t pid)
{
  char path[64];
  unsigned long user = 0;
  unsigned long system = 0;
  FILE *f;

  g_snprintf (path, sizeof path, "/proc/%d/stat", (int)pid);
  f = fopen (path, "r");
  if (!f
      || fscanf (f,
                 "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
                 &user, &system)
             != 2)
    abort ();
  fclose (f);
  return (double)(user + system) / (double)sysconf (_SC_CLK_TCK);
}

static long
resident_kib (pid_t pid)
{
  char path[64];
  char line[256];
  long kib = 0;
  FILE *f;

  g_snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  f = fopen (path, "r");
  while (f && fgets (line, sizeof line, f))
    if (!strncmp (line, "VmRSS:", strlen ("VmRSS:")))
      kib = strtol (line + strlen ("VmRSS:"), NULL, 10);
  if (f)
    fclose (f);
  return kib;
}

static void
print_figure (const char *what, const char *name, double value)
{
  printf ("entry\t%s\twaxwing\t%s\t%.4g\n", what, name, value);
}

static void
measure (const char *what, pid_t pid)
{
  double cpu;

  run_for_ms (WARMUP_MS);
  memset (&latency_us, 0, sizeof latency_us);
  n_responses = 0;
  counting = true;
  cpu = cpu_s (pid);
  run_for_ms (RUN_MS);
  cpu = cpu_s (pid) - cpu;
  counting = false;
  print_figure (what, "requests_per_s",
                (double)n_responses * WY_MS_PER_S / RUN_MS);
  print_figure (what, "requests_per_cpu_s", (double)n_responses / cpu);
  print_figure (what, "p50_us", (double)wy_hist_quantile (&latency_us, 0.5));
  print_figure (what, "p99_us", (double)wy_hist_quantile (&latency_us, 0.99));
}

static void
set_request (bool stream)
{
  char *body = g_strdup_printf (
      "{\"model\":\"m\",\"prompt\":\"the same hello to all\","
      "\"max_tokens\":%d,\"stream\":%s}",
      TOKENS, stream ? "true" : "false");

  g_string_printf (request,
                   "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                   "Content-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   strlen (body), body);
  g_free (body);
}

static bool
agents_connected (void)
{
  for (int i = 0; i < AGENTS; i++)
    if (!agents[i].conn)
      return false;
  return true;
}

int
main (void)
{
  struct wy_http_server_options o = { .host = "127.0.0.1",
                                      .body_limit_bytes = 1024,
                                      .on_request = on_list };
  int fds[2];
  int64_t limit_us;
  uint16_t port;
  pid_t pid;

  signal (SIGPIPE, SIG_IGN);
  loop = uv_loop_new ();
  o.loop = loop;
  request = g_string_new (NULL);
  events = g_string_new (NULL);
  for (int i = 0; i < TOKENS; i++)
    g_string_append_printf (
        events,
        "data: {\"run\":\"r\",\"i\":%d,\"text\":\"t%d \",\"version\":3}\n\n",
        i, i);
  g_string_append (events, "data: {\"run\":\"r\",\"done\":true,\"finish\":"
                           "\"stop\",\"tokens\":20}\n\n");
  if (pipe (fds) || wy_http_server_new (&instance_list, &o))
    abort ();
  pid = fork ();
  if (pid == 0)
    {
      run_entry (fds[1], wy_http_server_port (instance_list));
      return 0;
    }
  for (int i = 0; i < AGENTS; i++)
    start_agent (&agents[i], i);
  if (read (fds[0], &port, sizeof port) != sizeof port)
    abort ();
  limit_us = now_us () + (int64_t)START_LIMIT_MS * WY_US_PER_MS;
  while (!agents_connected () && now_us () < limit_us)
    uv_run (loop, UV_RUN_NOWAIT);
  run_for_ms (WARMUP_MS);
  print_figure ("idle", "resident_mib", (double)resident_kib (pid) / 1024);
  set_request (false);
  connect_callers (0, 1, port);
  measure ("whole-1", pid);
  connect_callers (1, CONNECTIONS_MAX, port);
  measure ("whole-64", pid);
  set_request (true);
  measure ("stream-64", pid);
  print_figure ("loaded", "resident_mib", (double)resident_kib (pid) / 1024);
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
  return 0;
}
