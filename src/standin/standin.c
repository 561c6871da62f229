/* Main loop of a stand-in process: settings, server, timeline, shutdown.  */
#include "standin/standin.h"

#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/id.h"
#include "config/program.h"
#include "trace/log.h"

enum
{
  PORT_MAX = 65535,
  BODY_LIMIT_SIZE_BYTES = 64 << 20, /* large enough for objects and weights */
  REQUEST_TIMEOUT_MS = 30000,
  CLIENT_SILENCE_MS = 10000
};

static const struct wy_setting common_table[] = {
  { "name", WY_SETTING_STRING, offsetof (struct wy_standin_settings, name),
    NULL, 0, 0, NULL, NULL, "name of the process in timeline and logs" },
  { "host", WY_SETTING_STRING, offsetof (struct wy_standin_settings, host),
    "127.0.0.1", 0, 0, NULL, NULL, "IP number to listen on" },
  { "port", WY_SETTING_INTEGER, offsetof (struct wy_standin_settings, port),
    "0", 0, PORT_MAX, NULL, NULL, "port to listen on; 0: any free one" },
  { "ports_file", WY_SETTING_STRING,
    offsetof (struct wy_standin_settings, ports_file), "", 0, 0, NULL, NULL,
    "file that the port is written to, as \"http PORT\"" },
  { "timeline", WY_SETTING_STRING,
    offsetof (struct wy_standin_settings, timeline), "", 0, 0, NULL, NULL,
    "file that events are appended to" },
  { "availability_zone", WY_SETTING_STRING,
    offsetof (struct wy_standin_settings, availability_zone), "", 0, 0, NULL,
    NULL, "availability zone of the process" },
  { "seed", WY_SETTING_INTEGER, offsetof (struct wy_standin_settings, seed),
    "1", 0, 1e15, NULL, NULL, "seed of all that is drawn at random" },
};

/* Return the monotonic time in milliseconds.  */
int64_t
wy_standin_now_ms (const struct wy_standin *s)
{
  return wy_clock_mono_ms (s->clock);
}

/* Return the fault K if it is active now, else NULL.  */
struct wy_standin_fault *
wy_standin_active_fault (struct wy_standin *s, enum wy_standin_fault_kind k)
{
  return wy_standin_faults_active (&s->faults, k, wy_standin_now_ms (s));
}

/* Take N units at NOW_MS from the token bucket R, which holds and gains RATE
   units per second.  Return false if it has too few.  There is no limit if
   RATE is 0.  */
bool
wy_standin_rate_limit_take (struct wy_standin_rate_limit *r, double rate,
                            double n, int64_t now_ms)
{
  if (rate <= 0)
    return true;
  r->units += rate * (double)(now_ms - r->at_ms) / WY_MS_PER_S;
  if (r->rate != rate || r->units > rate)
    r->units = rate;
  r->rate = rate;
  r->at_ms = now_ms;
  /* A request larger than the bucket passes when the bucket is full.  */
  if (r->units < n && r->units < rate)
    return false;
  r->units -= n;
  return true;
}

/* Parse TEXT as "HOST:PORT".  Return false if it is malformed.  The caller
   frees *HOST.  */
bool
wy_standin_parse_address (const char *text, char **host, uint16_t *port)
{
  const char *colon = text ? strrchr (text, ':') : NULL;
  long n = colon ? strtol (colon + 1, NULL, 10) : 0;

  if (n <= 0 || n > PORT_MAX)
    return false;
  *host = g_strndup (text, (gsize)(colon - text));
  *port = (uint16_t)n;
  return true;
}

/* Write the ports file atomically: a reader sees none or a complete one.  */
static int
write_ports (const struct wy_standin *s)
{
  char *text;
  gboolean ok;

  if (!*s->common->ports_file)
    return 0;
  text = g_strdup_printf ("http %u\n", wy_http_server_port (s->server));
  ok = g_file_set_contents (s->common->ports_file, text, -1, NULL);
  g_free (text);
  return ok ? 0 : -1;
}

/* End the process after the current iteration of the loop.  */
void
wy_standin_quit (struct wy_standin *s)
{
  uv_stop (s->loop);
}

static void
on_stop_signal (uv_signal_t *h, int signum)
{
  struct wy_standin *s = h->data;

  if (s->stopping)
    {
      wy_standin_quit (s);
      return;
    }
  s->stopping = true;
  wy_trace_event (s->trace, "process.drain", NULL);
  if (s->kind->on_stop)
    s->kind->on_stop (s);
  else
    wy_standin_quit (s);
}

static int
open_server (struct wy_standin *s)
{
  int system_error = 0;
  struct wy_http_server_options o
      = { .loop = s->loop,
          .host = s->common->host,
          .port = (uint16_t)s->common->port,
          .body_limit_bytes = BODY_LIMIT_SIZE_BYTES,
          .request_timeout_ms = REQUEST_TIMEOUT_MS,
          .on_request = wy_standin_on_request,
          .ctx = s,
          .system_error = &system_error };
  int err = wy_http_server_new (&s->server, &o);

  if (err)
    wy_log (WY_LOG_ERROR, "process.not_started",
            "setting=port address=%s:%u error=%s", o.host, o.port,
            uv_strerror (system_error));
  return err;
}

static int
open_trace (struct wy_standin *s)
{
  char incarnation[WY_ID_SIZE_BYTES];
  struct wy_trace_options o = { .process = s->common->name,
                                .incarnation = incarnation,
                                .path = s->common->timeline,
                                .ring_size = 1,
                                .clock = s->clock };

  wy_id_new (s->clock, incarnation);
  return wy_trace_new (&s->trace, &o);
}

static int
run (struct wy_standin *s)
{
  s->loop = uv_default_loop ();
  s->clock = wy_clock_system ();
  s->calls = g_hash_table_new (NULL, NULL);
  wy_rng_seed (&s->rng,
               (uint64_t)s->common->seed
                   ^ wy_hash64 (s->common->name, strlen (s->common->name), 0));
  if (open_trace (s) || open_server (s))
    {
      wy_log (WY_LOG_ERROR, "start_failed", "name=%s", s->common->name);
      return WY_EXIT_FAILED;
    }
  s->client = wy_http_client_new (s->loop, CLIENT_SILENCE_MS);
  uv_signal_init (s->loop, &s->stop_signal);
  s->stop_signal.data = s;
  uv_signal_start (&s->stop_signal, on_stop_signal, SIGTERM);
  wy_trace_event (s->trace, "process.start", "{s:s, s:s}", "role",
                  s->kind->name, "availability_zone",
                  s->common->availability_zone);
  if ((s->kind->start && s->kind->start (s)) || write_ports (s))
    {
      wy_log (WY_LOG_ERROR, "start_failed", "name=%s", s->common->name);
      return WY_EXIT_FAILED;
    }
  wy_trace_event (s->trace, "process.ready", NULL);
  uv_run (s->loop, UV_RUN_DEFAULT);
  wy_trace_event (s->trace, "process.stop", "{s:i}", "cut",
                  (int)g_hash_table_size (s->calls));
  wy_trace_free (s->trace);
  return s->failed ? WY_EXIT_FAILED : WY_EXIT_OK;
}

/* Run a stand-in of KIND with the command line of the process.  Return the
   exit code.  */
int
wy_standin_main (const struct wy_standin_kind *kind, int argc, char **argv)
{
  size_t n_common = sizeof common_table / sizeof *common_table;
  size_t n = n_common + kind->n;
  struct wy_setting *table = g_new0 (struct wy_setting, n);
  void *settings = g_malloc0 (kind->settings_size_bytes);
  struct wy_program p = { .name = "wystandin",
                          .summary = kind->summary,
                          .table = table,
                          .n = n,
                          .settings = settings };
  /* Static, as its memory is never freed.  */
  static struct wy_standin s;
  int rc;

  s.kind = kind;
  s.settings = settings;
  s.common = settings;

  memcpy (table, common_table, sizeof common_table);
  if (kind->n)
    memcpy (table + n_common, kind->table, kind->n * sizeof *table);
  rc = wy_program_start (&p, argc, argv);
  if (rc < 0)
    {
      signal (SIGPIPE, SIG_IGN);
      wy_log_open (s.common->name, WY_LOG_INFO);
      rc = run (&s);
      wy_log_close ();
    }
  wy_settings_free (table, n, settings);
  g_free (settings);
  g_free (table);
  return rc;
}
