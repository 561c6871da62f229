/* wyentryd: an entry instance, the HTTP server of callers, trainers and
   operators.  All work is in src/entry, src/yard and src/config.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/id.h"
#include "config/apply.h"
#include "config/program.h"
#include "entry/entry.h"
#include "trace/log.h"
#include "yard/yard.h"

enum
{
  STORE_SILENCE_TIMEOUT_MS = 10000,
  /* Loop iterations to run the close callbacks of the handles at the end.  */
  CLOSING_ITERATIONS = 100
};

struct process
{
  struct wy_entry_settings settings;
  uv_loop_t *loop;
  char incarnation[WY_ID_SIZE_BYTES];
  char *holder;
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_store *store;
  struct wy_config_feed *feed;
  struct wy_config_service *config;
  struct wy_http_client *client;
  struct wy_entry *entry;
  struct wy_runner runner;
  struct wy_orderer orderer;
  struct wy_yard *yard;
  uv_signal_t signals[4];
  bool stopping;
};

static struct process process;

static bool
yard_http (void *ctx, struct wy_http_exchange *ex)
{
  return wy_yard_handle_request (((struct process *)ctx)->yard, ex);
}

static bool
config_http (void *ctx, struct wy_http_exchange *ex)
{
  return wy_config_handle_request (((struct process *)ctx)->config, ex);
}

static void
on_change (void *ctx, const struct wy_document *d, int64_t revision)
{
  struct process *p = ctx;

  if (p->entry)
    wy_entry_configure (p->entry, d);
  if (p->yard)
    wy_yard_configure (p->yard, d);
}

static void
on_entry_stop (void *ctx)
{
  wy_yard_stop (((struct process *)ctx)->yard);
}

static bool
is_busy (void *ctx)
{
  return !wy_store_is_idle (((struct process *)ctx)->store);
}

static void
on_stopped (void *ctx, uint32_t cut)
{
  struct process *p = ctx;

  wy_trace_event (p->trace, "process.stop", "{s:i}", "cut", (int)cut);
  wy_log (WY_LOG_INFO, "stopped", "cut=%u", cut);
  uv_stop (p->loop);
}

static void
on_stop_signal (uv_signal_t *s, int number)
{
  struct process *p = s->data;

  if (p->stopping)
    {
      wy_entry_stop_now (p->entry);
      return;
    }
  p->stopping = true;
  wy_log (WY_LOG_INFO, "stopping", "signal=%d", number);
  wy_entry_stop (p->entry, on_stopped, p);
}

static void
on_log_signal (uv_signal_t *s, int number)
{
  enum wy_log_level level = wy_log_get_level ();

  if (number == SIGUSR1 && level < WY_LOG_DEBUG)
    wy_log_set_level (level + 1);
  else if (number == SIGUSR2 && level > WY_LOG_ERROR)
    wy_log_set_level (level - 1);
}

static void
watch_signals (struct process *p)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGUSR1, SIGUSR2 };

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      bool stop = numbers[i] == SIGTERM || numbers[i] == SIGINT;

      uv_signal_init (p->loop, &p->signals[i]);
      p->signals[i].data = p;
      uv_signal_start (&p->signals[i], stop ? on_stop_signal : on_log_signal,
                       numbers[i]);
    }
}

static int
start_store (struct process *p)
{
  const struct wy_entry_settings *s = &p->settings;
  uint64_t seed = wy_hash64 (p->incarnation, WY_ID_LEN, 0);
  struct wy_store_options store = { .loop = p->loop,
                                    .clock = wy_clock_system (),
                                    .trace = p->trace,
                                    .metrics = p->metrics,
                                    .table = s->table,
                                    .objects = s->objects,
                                    .seed = seed };
  struct wy_config_feed_options feed = { .loop = p->loop,
                                         .clock = wy_clock_system (),
                                         .trace = p->trace,
                                         .seed = seed,
                                         .on_change = on_change,
                                         .ctx = p };
  struct wy_config_service_options config = {
    .clock = wy_clock_system (),
    .trace = p->trace,
    .roster_trust_ms = (uint32_t)s->roster_trust_ms,
  };
  int err = wy_store_new (&p->store, &store);

  if (err)
    return err;
  feed.store = p->store;
  p->feed = wy_config_feed_new (&feed);
  config.store = p->store;
  config.feed = p->feed;
  p->config = wy_config_service_new (&config);
  return 0;
}

static void
start_yard (struct process *p)
{
  struct wy_yard_options o
      = { .loop = p->loop,
          .clock = wy_clock_system (),
          .trace = p->trace,
          .metrics = p->metrics,
          .store = p->store,
          .runner = &p->runner,
          .orderer = &p->orderer,
          .holder = p->holder,
          .seed = wy_hash64 (p->incarnation, WY_ID_LEN, 1) };

  p->client = wy_http_client_new (p->loop, STORE_SILENCE_TIMEOUT_MS);
  wy_http_client_count_malformed (
      p->client,
      wy_metrics_counter (p->metrics, "wy_yard_malformed_responses_total",
                          "Responses of scoring services that were"
                          " malformed."));
  o.http = p->client;
  p->runner = wy_entry_runner (p->entry);
  p->orderer = wy_entry_orderer (p->entry);
  p->yard = wy_yard_new (&o);
}

static int
start_entry (struct process *p)
{
  struct wy_entry_options o = { .loop = p->loop,
                                .clock = wy_clock_system (),
                                .settings = &p->settings,
                                .trace = p->trace,
                                .metrics = p->metrics,
                                .feed = p->feed,
                                .store = p->store };
  struct wy_entry_hooks hooks = { .yard_http = yard_http,
                                  .config_http = config_http,
                                  .stop = on_entry_stop,
                                  .is_busy = is_busy,
                                  .ctx = p };
  int err = wy_entry_new (&p->entry, &o);

  if (err)
    return err;
  start_yard (p);
  wy_entry_set_hooks (p->entry, &hooks);
  return 0;
}

/* Write the file atomically, as a process that waits for it must not read a
   partial one.  */
static int
write_ports (const struct process *p)
{
  char *text;
  gboolean ok;

  if (!*p->settings.ports_file)
    return 0;
  text = g_strdup_printf ("http %u\n", wy_entry_port (p->entry));
  ok = g_file_set_contents (p->settings.ports_file, text, -1, NULL);
  g_free (text);
  return ok ? 0 : -1;
}

static int
start (struct process *p)
{
  const struct wy_entry_settings *s = &p->settings;
  struct wy_trace_options trace = { .process = s->name,
                                    .incarnation = p->incarnation,
                                    .path = s->timeline,
                                    .clock = wy_clock_system () };
  int err;

  p->loop = uv_default_loop ();
  wy_id_new (wy_clock_system (), p->incarnation);
  p->holder = g_strconcat (s->name, "/", p->incarnation, NULL);
  /* A caller or target that closes its connection during a write must not end
     the process; the write fails instead.  */
  signal (SIGPIPE, SIG_IGN);
  wy_log_open (s->name, (enum wy_log_level)s->log_level);
  p->metrics = wy_metrics_new ();
  err = wy_trace_new (&p->trace, &trace);
  if (err)
    return err;
  wy_trace_event (p->trace, "process.start", "{s:s, s:s}", "role", "entry",
                  "availability_zone", s->availability_zone);
  err = start_store (p);
  if (!err)
    err = start_entry (p);
  if (!err)
    err = write_ports (p);
  watch_signals (p);
  return err;
}

/* Free all resources, so that a leak checker reports only leaks.  */
static void
finish (struct process *p)
{
  for (size_t i = 0; i < G_N_ELEMENTS (p->signals); i++)
    uv_close ((uv_handle_t *)&p->signals[i], NULL);
  wy_yard_free (p->yard);
  wy_entry_close (p->entry);
  wy_config_service_free (p->config);
  wy_config_feed_free (p->feed);
  wy_store_free (p->store);
  for (int i = 0; i < CLOSING_ITERATIONS; i++)
    uv_run (p->loop, UV_RUN_NOWAIT);
  wy_entry_free (p->entry);
  wy_trace_free (p->trace);
  wy_metrics_free (p->metrics);
  wy_log_close ();
  g_free (p->holder);
  wy_settings_free (wy_entry_settings_table, wy_entry_settings_count,
                    &p->settings);
}

int
main (int argc, char **argv)
{
  struct wy_program program
      = { .name = "wyentryd",
          .summary = "An entry of waxwingyard: HTTP server for callers,"
                     " trainers and operators.",
          .table = wy_entry_settings_table,
          .n = wy_entry_settings_count,
          .settings = &process.settings };
  int rc = wy_program_start (&program, argc, argv);
  int err;

  if (rc >= 0)
    return rc;
  /* A caller that closes its connection during a write must not end the
     process; the write fails instead.  */
  signal (SIGPIPE, SIG_IGN);
  err = start (&process);
  if (err)
    {
      fprintf (stderr, "wyentryd: cannot start: error %d\n", err);
      return WY_EXIT_FAILED;
    }
  uv_run (process.loop, UV_RUN_DEFAULT);
  finish (&process);
  return WY_EXIT_OK;
}
