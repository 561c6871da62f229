/* Mixes of clients that don't behave, drawn from a seed, on a wygated process:
   its resident size must stay below half of its memory, its descriptors below
   their limit, and a request must be answered while the clients are connected.

   WY_CLIENTS_SEEDS=FROM-TO plays these seeds in place of the usual ones.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "standin/crowd.h"
#include "support/gate_process.h"

enum
{
  MEMORY_MB = 120,
  FIRST_SEED = 1,
  LAST_SEED = 8,
  CROWDS_MAX = 5,
  LOAD_MS = 3000,
  PATIENT_MS = 120000,
  SENT_MAX_BYTES = 4 << 20, /* a connection */
  /* The metrics are a hundred times as long as a request for them.  */
  METRICS_SENT_MAX_BYTES = 20000
};

static struct gate_process g;
static struct wy_rng rng;

static uint32_t
below (uint32_t n)
{
  return (uint32_t)wy_rng_below (&rng, n);
}

static void
play (uint32_t seed)
{
  static const uint32_t descriptors[] = { 256, 1024, 8192 };
  static const char *const names[GATE_LISTENERS]
      = { "callers", "ready", "peers", "metrics" };
  struct gate_process_options o = { .memory_mb = MEMORY_MB,
                                    .idle_timeout_ms = PATIENT_MS,
                                    .header_timeout_ms = PATIENT_MS,
                                    .on_request = gate_process_respond };
  struct wy_crowd *crowds[CROWDS_MAX];
  GString *texts[CROWDS_MAX];
  char name[32];
  uint32_t n;

  wy_rng_seed (&rng, seed);
  o.descriptors = descriptors[below (G_N_ELEMENTS (descriptors))];
  n = 1 + below (CROWDS_MAX);
  gate_process_start (&g, &o);
  for (uint32_t i = 0; i < n; i++)
    {
      enum gate_listener l = below (2) ? GATE_CALLERS : below (GATE_LISTENERS);
      struct wy_crowd_options c = { .loop = &g.w.loop, .port = g.ports[l] };

      texts[i] = wy_crowd_draw (&c, &rng);
      c.sent_max_bytes
          = l == GATE_METRICS ? METRICS_SENT_MAX_BYTES : SENT_MAX_BYTES;
      fprintf (stderr, "seed %u: %u connections to %s: %.60s\n", seed,
               c.connections, names[l],
               texts[i]->str + strspn (texts[i]->str, "\r\n"));
      crowds[i] = wy_crowd_new (&c);
      platform_fixture_run_ms (&g.w, below (LOAD_MS / 2));
    }
  platform_fixture_run_ms (&g.w, LOAD_MS);
  for (uint32_t i = 0; i < n; i++)
    wy_crowd_stop_sending (crowds[i]);
  g_snprintf (name, sizeof name, "seed %u", seed);
  gate_process_check (&g, name, MEMORY_MB, o.descriptors);
  for (uint32_t i = 0; i < n; i++)
    wy_crowd_free (crowds[i]);
  gate_process_stop (&g);
  for (uint32_t i = 0; i < n; i++)
    g_string_free (texts[i], TRUE);
}

/* Seeds that have failed: callers with requests sent ahead kept all
   connections (102).  */
Test (clients_mix, kept_seeds, .timeout = 3600)
{
  static const uint32_t seeds[] = { 102 };

  for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
    play (seeds[i]);
}

/* What no other test lists.  */
Test (clients_mix, seeds, .timeout = 3600)
{
  const char *range = g_getenv ("WY_CLIENTS_SEEDS");
  uint32_t first = FIRST_SEED;
  uint32_t last = LAST_SEED;

  if (range)
    {
      char *end;

      first = (uint32_t)strtoul (range, &end, 10);
      last = *end == '-' ? (uint32_t)strtoul (end + 1, NULL, 10) : first;
    }
  for (uint32_t seed = first; seed <= last; seed++)
    play (seed);
}
