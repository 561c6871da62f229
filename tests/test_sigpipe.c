/* Connections that are closed by the other side while a daemon writes.  */
#include <criterion/criterion.h>
#include <signal.h>

#include <glib.h>

#include "support/proc.h"

#define KEY "availability_zone: a\nkey_1: 1:secret\n"

/* A caller, or a target whose process was suspended, closes its connection
   while the daemon writes to it, which raises SIGPIPE.  With the default
   action the daemon would end without a log line, and all its requests would
   fail.  */
Test (sigpipe, does_not_terminate_a_daemon)
{
  static const struct
  {
    const char *program;
    const char *kind;
    const char *settings;
    const char *path;
  } cases[] = {
    { "wyentryd", NULL,
      "name: entry-1\nlist: 127.0.0.1:1\n"
      "table: 127.0.0.1:1\nobjects: 127.0.0.1:1\n" KEY,
      "/healthz" },
    { "wyagentd", NULL,
      "name: portal-1\ntarget_kind: service\ntarget_name: portal\n"
      "target_port: 1\n" KEY,
      "/healthz" },
    { "wystandin", "service", "name: portal-1", "/echo" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct wy_proc p;
      int status;

      cr_assert_eq (wy_proc_start (&p, cases[i].program, cases[i].kind,
                                   cases[i].settings),
                    0, "%s", cases[i].program);
      wy_proc_kill (&p, SIGPIPE);
      g_free (wy_fetch_text (wy_proc_port (&p, "http"), "GET", cases[i].path,
                             NULL, NULL, &status));
      cr_expect_eq (status, 200, "%s: %d", cases[i].program, status);
      wy_proc_kill (&p, SIGTERM);
      cr_expect_eq (wy_proc_wait (&p), 0, "%s", cases[i].program);
    }
}
