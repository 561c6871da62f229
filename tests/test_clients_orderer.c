/* Clients that don't behave at the metrics address of a wyorderd process: its
   resident size and descriptors must stay below a bound, and the metrics must
   be answered while the crowd's connections are open.  */
#include <criterion/criterion.h>

#include "standin/crowd.h"
#include "support/gate_process.h"
#include "support/orderer_process.h"
#include "support/ports.h"

enum
{
  /* Of the machine of an orderer.  */
  MEMORY_MB = 192,
  DESCRIPTORS = 256,
  LOAD_MS = 3000,
  SENT_MAX_BYTES = 6 << 20, /* a connection */
  HEAD_BYTES = 7000
};

static struct orderer_process p;

static void
play (const char *load, struct wy_crowd_options o)
{
  struct wy_crowd *c;
  int64_t kb;

  orderer_process_init (&p);
  orderer_process_start (&p, wy_test_port (), DESCRIPTORS);
  g_free (orderer_process_await_metrics (&p));
  o.loop = &p.w.loop;
  o.port = p.metrics_port;
  if (!o.sent_max_bytes)
    o.sent_max_bytes = SENT_MAX_BYTES;
  c = wy_crowd_new (&o);
  platform_fixture_run_ms (&p.w, LOAD_MS);
  wy_crowd_stop_sending (c);
  cr_assert (orderer_process_lives (&p), "%s: has ended", load);
  g_free (orderer_process_await_metrics (&p));
  kb = process_resident_peak_kb (p.pid);
  fprintf (stderr, "%s: resident peak %lld kB, %u descriptors\n", load,
           (long long)kb, process_descriptors (p.pid));
#ifndef __SANITIZE_ADDRESS__ /* which multiplies the resident size */
  cr_expect_leq (kb, MEMORY_MB * 1024 / 2, "%s", load);
#endif
  cr_expect_lt (process_descriptors (p.pid), DESCRIPTORS, "%s", load);
  wy_crowd_free (c);
  orderer_process_stop (&p);
}

/* The metrics are asked for without end, and not read.  */
Test (clients_orderer, metrics_unread, .timeout = 60)
{
  play ("metrics_unread",
        (struct wy_crowd_options){
            .connections = 100,
            .again = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
            .sent_max_bytes = 20000 });
}

/* Silent connections hold all descriptors.  */
Test (clients_orderer, silent_connections, .timeout = 60)
{
  play ("silent_connections", (struct wy_crowd_options){ .connections = 400 });
}

/* Heads that never end.  */
Test (clients_orderer, unfinished_heads, .timeout = 60)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\n");

  while (text->len < HEAD_BYTES)
    g_string_append (text, "a:\r\n");
  play ("unfinished_heads",
        (struct wy_crowd_options){ .connections = 400, .once = text->str });
  g_string_free (text, TRUE);
}
