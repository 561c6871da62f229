/* wyorderd: runs beside one replica and orders it to load new weight versions.
   All work is in src/orders.  */
#include <signal.h>
#include <stdio.h>

#include "config/program.h"
#include "orders/orderer.h"
#include "trace/json_log.h"

enum
{
  /* Loop iterations to run the close callbacks of the handles at the end.  */
  CLOSING_ITERATIONS = 20,
  SIGNALS = 3
};

/* No setting can change while the process runs, so SIGHUP, the request to
   reload them, is only logged.  Without a handler it would kill wyorderd.  */
static void
on_signal (uv_signal_t *s, int number)
{
  if (number == SIGHUP)
    wy_json_log ("process.reloaded", "changed=0");
  else
    uv_stop (s->loop);
}

static void
watch_signals (uv_loop_t *loop, uv_signal_t *signals)
{
  static const int numbers[SIGNALS] = { SIGTERM, SIGINT, SIGHUP };

  for (size_t i = 0; i < SIGNALS; i++)
    {
      uv_signal_init (loop, &signals[i]);
      uv_signal_start (&signals[i], on_signal, numbers[i]);
    }
}

static int
run (uv_loop_t *loop, uv_signal_t *signals,
     const struct wy_orders_settings *settings)
{
  struct wy_orderer_daemon_options o = { .loop = loop,
                                         .clock = wy_clock_system (),
                                         .settings = settings,
                                         .reason = g_string_new (NULL) };
  /* Its memory stays until the exit: store calls may still refer to it.  */
  static struct wy_orderer_daemon *d;
  int err = wy_orderer_daemon_new (&d, &o);

  if (err)
    {
      wy_json_log_flush ();
      fprintf (stderr, "wyorderd: cannot start: %s\n", o.reason->str);
      return WY_EXIT_FAILED;
    }
  uv_run (loop, UV_RUN_DEFAULT);
  wy_orderer_daemon_free (d);
  for (size_t i = 0; i < SIGNALS; i++)
    uv_close ((uv_handle_t *)&signals[i], NULL);
  for (int i = 0; i < CLOSING_ITERATIONS; i++)
    uv_run (loop, UV_RUN_NOWAIT);
  wy_json_log_close ();
  return WY_EXIT_OK;
}

int
main (int argc, char **argv)
{
  static struct wy_orders_settings settings;
  uv_signal_t signals[SIGNALS];
  uv_loop_t *loop = uv_default_loop ();
  struct wy_program program
      = { .name = "wyorderd",
          .summary = "Orders the replica on this machine to load new weight"
                     " versions.",
          .table = wy_orders_settings_table,
          .n = wy_orders_settings_count,
          .settings = &settings };
  int rc;

  /* Before the settings are read: a signal that comes during the start is
     handled after it.  */
  watch_signals (loop, signals);
  rc = wy_program_start (&program, argc, argv);
  if (rc >= 0)
    return rc;
  signal (SIGPIPE, SIG_IGN);
  return run (loop, signals, &settings);
}
