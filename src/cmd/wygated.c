/* wygated: an entry instance on a platform whose store has the durable state.
   All work is in src/gate and src/jobs.  */
#include <signal.h>
#include <stdio.h>

#include "base/clock.h"
#include "config/program.h"
#include "gate/gate.h"
#include "trace/json_log.h"

enum
{
  /* Loop iterations to run the close callbacks of the handles at the end.  */
  CLOSING_ITERATIONS = 20
};

struct process
{
  struct wy_gate_settings settings;
  struct wy_gate *gate;
  uv_loop_t *loop;
  const char *path;
  uv_signal_t signals[3];
};

static struct process process;

static void
on_stopped (void *ctx)
{
  uv_stop (((struct process *)ctx)->loop);
}

static void
reload (struct process *p)
{
  struct wy_gate_settings fresh = { 0 };
  GString *errors = g_string_new (NULL);

  if (wy_settings_load (p->path, wy_gate_settings_table,
                        wy_gate_settings_count, &fresh, errors))
    wy_json_log ("process.reload_failed", "path=%s", p->path);
  else
    wy_gate_reload (p->gate, &fresh);
  wy_settings_free (wy_gate_settings_table, wy_gate_settings_count, &fresh);
  g_string_free (errors, TRUE);
}

static void
on_signal (uv_signal_t *s, int number)
{
  struct process *p = s->data;

  if (number == SIGHUP)
    reload (p);
  else
    wy_gate_stop (p->gate);
}

static void
watch_signals (struct process *p)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (p->loop, &p->signals[i]);
      p->signals[i].data = p;
      uv_signal_start (&p->signals[i], on_signal, numbers[i]);
    }
}

static void
finish (struct process *p)
{
  wy_gate_free (p->gate);
  for (size_t i = 0; i < G_N_ELEMENTS (p->signals); i++)
    uv_close ((uv_handle_t *)&p->signals[i], NULL);
  for (int i = 0; i < CLOSING_ITERATIONS; i++)
    uv_run (p->loop, UV_RUN_NOWAIT);
  wy_json_log_close ();
}

int
main (int argc, char **argv)
{
  struct wy_program program
      = { .name = "wygated",
          .summary = "An entry of waxwingyard that connects to its targets"
                     " directly.",
          .table = wy_gate_settings_table,
          .n = wy_gate_settings_count,
          .settings = &process.settings };
  struct wy_gate_options o = { .clock = wy_clock_system (),
                               .settings = &process.settings,
                               .on_stopped = on_stopped,
                               .ctx = &process };
  int rc;
  int err;

  /* Before the settings are read: a signal that comes during the start is
     handled after it.  */
  process.loop = uv_default_loop ();
  watch_signals (&process);
  rc = wy_program_start (&program, argc, argv);
  if (rc >= 0)
    return rc;
  /* A caller that closes its connection during a write must not end the
     process; the write fails instead.  */
  signal (SIGPIPE, SIG_IGN);
  process.path = program.path;
  o.loop = process.loop;
  o.reason = g_string_new (NULL);
  err = wy_gate_new (&process.gate, &o);
  if (err)
    {
      wy_json_log_flush ();
      fprintf (stderr, "wygated: cannot start: %s\n", o.reason->str);
      return WY_EXIT_FAILED;
    }
  uv_run (process.loop, UV_RUN_DEFAULT);
  finish (&process);
  return WY_EXIT_OK;
}
