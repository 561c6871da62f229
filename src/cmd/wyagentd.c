/* wyagentd: an agent beside a target.  All work is in src/agent.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "agent/agent.h"
#include "base/id.h"
#include "config/program.h"
#include "trace/log.h"

struct daemon
{
  uv_loop_t loop;
  struct wy_agent *agent;
  struct wy_trace *trace;
  uint32_t cut;
  bool terminated;
};

static void
on_stopped (void *ctx, uint32_t cut)
{
  struct daemon *d = ctx;

  d->cut = cut;
  uv_stop (&d->loop);
}

/* The first signal starts a graceful stop, which lets work in progress finish;
   the second stops at once.  */
static void
on_signal (uv_signal_t *h, int signum)
{
  struct daemon *d = h->data;

  if (d->terminated)
    wy_agent_stop_now (d->agent);
  else
    wy_agent_stop (d->agent);
  d->terminated = true;
}

static int
write_ports (const struct wy_agent_settings *s, const struct wy_agent *a)
{
  char *text;
  gboolean ok;

  if (!*s->ports_file)
    return 0;
  text = g_strdup_printf ("inner %u\nhttp %u\nweights %u\n", wy_agent_port (a),
                          wy_agent_http_port (a), wy_agent_weights_port (a));
  ok = g_file_set_contents (s->ports_file, text, -1, NULL);
  g_free (text);
  return ok ? 0 : -1;
}

static int
start (struct daemon *d, const struct wy_agent_settings *s)
{
  static char incarnation[WY_ID_SIZE_BYTES];
  struct wy_trace_options trace = { .process = s->name,
                                    .incarnation = incarnation,
                                    .path = s->timeline,
                                    .clock = wy_clock_system () };
  struct wy_agent_options o = { .loop = &d->loop,
                                .clock = wy_clock_system (),
                                .settings = s,
                                .metrics = wy_metrics_new (),
                                .on_stopped = on_stopped,
                                .ctx = d };
  int err;

  wy_id_new (o.clock, incarnation);
  err = wy_trace_new (&d->trace, &trace);
  if (err)
    return err;
  wy_trace_event (d->trace, "process.start", "{s:s, s:s}", "role", "agent",
                  "availability_zone", s->availability_zone);
  o.trace = d->trace;
  err = wy_agent_new (&d->agent, &o);
  return err ? err : write_ports (s, d->agent);
}

static int
run (const struct wy_agent_settings *s)
{
  static struct daemon d;
  uv_signal_t term;
  uv_signal_t interrupt;
  int err;

  signal (SIGPIPE, SIG_IGN);
  wy_log_open (s->name, (enum wy_log_level)s->log_level);
  uv_loop_init (&d.loop);
  err = start (&d, s);
  if (err)
    {
      wy_log (WY_LOG_ERROR, "start.failed", "err=%d", err);
      return WY_EXIT_FAILED;
    }
  uv_signal_init (&d.loop, &term);
  uv_signal_init (&d.loop, &interrupt);
  term.data = &d;
  interrupt.data = &d;
  uv_signal_start (&term, on_signal, SIGTERM);
  uv_signal_start (&interrupt, on_signal, SIGINT);
  uv_run (&d.loop, UV_RUN_DEFAULT);
  /* One more iteration, to send what is still queued.  */
  uv_run (&d.loop, UV_RUN_NOWAIT);
  wy_trace_event (d.trace, "process.stop", "{s:i}", "cut", (int)d.cut);
  wy_trace_free (d.trace);
  return WY_EXIT_OK;
}

int
main (int argc, char **argv)
{
  static struct wy_agent_settings s;
  struct wy_program p = { .name = "wyagentd",
                          .summary = "Agent beside a target: queues, runs and "
                                     "retains the requests of all entries.",
                          .table = wy_agent_settings_table,
                          .n = WY_AGENT_SETTINGS_COUNT,
                          .settings = &s };
  int rc = wy_program_start (&p, argc, argv);

  return rc >= 0 ? rc : run (&s);
}
