/* Mixes of clients that don't behave, drawn from a seed, on a wygated process:
   its resident size must stay below half of its memory, its descriptors below
   their limit, and a request must be answered while the clients are connected.

   WY_CLIENTS_SEEDS=FROM-TO plays these seeds in place of the usual ones.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "support/crowd.h"
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
  METRICS_SENT_MAX_BYTES = 20000,
  LARGE_RESPONSE_BYTES = 400000
};

static struct gate_process g;
static struct wy_rng rng;

static uint32_t
below (uint32_t n)
{
  return (uint32_t)wy_rng_below (&rng, n);
}

#define PICK(list) (list)[below (G_N_ELEMENTS (list))]

static void
on_request (void *ctx, struct wy_h1_request *r)
{
  static char body[LARGE_RESPONSE_BYTES];
  const char *id = wy_h1_head_get (wy_h1_head (r), "Attempt-Id");
  struct wy_h1_header fields[]
      = { { "Attempt-Id", id ? id : "" }, { "Response-Stamp", "stamp" } };
  bool large = g_str_has_prefix (wy_h1_target (r), "/large/");

  if (!strcmp (wy_h1_target (r), "/small/slow"))
    return;
  memset (body, 'x', sizeof body);
  wy_h1_respond (r, 200, fields, 2, body, large ? sizeof body : 2);
}

static void
add_fill (GString *s, uint32_t n)
{
  char *fill = g_strnfill (n, 'x');

  g_string_append (s, fill);
  g_free (fill);
}

static void
add_fields (GString *s)
{
  static const char *const some[]
      = { "Attempt-Id: m\r\n",     "Expect: 100-continue\r\n",
          "Connection: close\r\n", "Deadline-Milliseconds: 900\r\n",
          "Token-Counts: 9,9\r\n", "Last-Event-Id: 3\r\n" };
  static const uint32_t empty[] = { 0, 0, 0, 30, 3000 };

  g_string_append (s, "Host: h\r\n");
  for (uint32_t n = below (4); n; n--)
    g_string_append (s, PICK (some));
  for (uint32_t n = PICK (empty); n; n--)
    g_string_append (s, "a:\r\n");
  if (below (5) == 0)
    {
      g_string_append (s, "Long: ");
      add_fill (s, below (20000));
      g_string_append (s, "\r\n");
    }
}

static void
add_chunks (GString *s)
{
  g_string_append (s, "Transfer-Encoding: chunked\r\n\r\n");
  for (uint32_t n = below (40); n; n--)
    {
      uint32_t size = 1 + below (n % 7 ? 9 : 9000);

      g_string_append_printf (s, "%x", size);
      if (below (4) == 0)
        {
          g_string_append_c (s, ';');
          add_fill (s, below (2000));
        }
      g_string_append (s, "\r\n");
      add_fill (s, size);
      g_string_append (s, "\r\n");
    }
  g_string_append (s, "0\r\n");
  for (uint32_t n = below (3) ? 0 : below (500); n; n--)
    g_string_append (s, "Trailer: x\r\n");
  g_string_append (s, "\r\n");
}

static void
add_length (GString *s)
{
  static const uint32_t sizes[] = { 0, 10, 5000, 60000, 500000, 1100000 };
  uint32_t size = PICK (sizes);

  g_string_append_printf (s, "Content-Length: %u\r\n\r\n", size);
  add_fill (s, size);
}

/* A request, or what resembles one.  */
static GString *
draw_request (void)
{
  static const char *const lines[] = { "GET /none/x HTTP/1.1\r\n",
                                       "GET /small/x HTTP/1.1\r\n",
                                       "GET /large/x HTTP/1.1\r\n",
                                       "GET /small/slow HTTP/1.1\r\n",
                                       "GET / HTTP/1.1\r\n",
                                       "GET /metrics HTTP/1.1\r\n",
                                       "GET /v1/status HTTP/1.1\r\n",
                                       "POST /small/x HTTP/1.1\r\n",
                                       "POST /job/x HTTP/1.1\r\n",
                                       "POST /none/x HTTP/1.1\r\n",
                                       "DELETE /api/lots/j HTTP/1.1\r\n",
                                       "GET /api/lots/j?after=0 HTTP/1.1\r\n",
                                       "GET /small/x HTTP/1.0\r\n",
                                       "HEAD /none/x HTTP/1.1\r\n",
                                       "\r\n\r\n",
                                       "GARBAGE" };
  GString *s = g_string_new (PICK (lines));

  add_fields (s);
  switch (below (4))
    {
    case 0:
      add_length (s);
      break;
    case 1:
      add_chunks (s);
      break;
    default:
      g_string_append (s, "\r\n");
    }
  return s;
}

/* Draw a crowd; its text is returned and must be freed after it.  */
static GString *
draw_crowd (struct crowd_options *o, enum gate_listener listener)
{
  static const uint32_t connections[] = { 10, 50, 200, 600 };
  static const uint32_t chunks[] = { 0, 0, 0, 1, 100 };
  static const uint32_t reads[] = { 0, 0, 0, 500, 5000, 262144 };
  GString *s = draw_request ();

  o->connections = PICK (connections);
  o->chunk_bytes = PICK (chunks);
  o->read_step_bytes = PICK (reads);
  o->half_close = below (8) == 0;
  o->reopen = below (6) == 0;
  o->opened_max = o->reopen ? 5000 : 0;
  o->sent_max_bytes
      = listener == GATE_METRICS ? METRICS_SENT_MAX_BYTES : SENT_MAX_BYTES;
  if (below (3))
    {
      o->again = s->str;
      o->again_bytes = (uint32_t)s->len;
    }
  else
    {
      /* Without its last bytes, so that the request is not complete.  */
      o->once = s->str;
      o->once_bytes = (uint32_t)s->len - below (3);
    }
  return s;
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
                                    .on_request = on_request };
  struct crowd *crowds[CROWDS_MAX];
  GString *texts[CROWDS_MAX];
  char name[32];
  uint32_t n;

  wy_rng_seed (&rng, seed);
  o.descriptors = PICK (descriptors);
  n = 1 + below (CROWDS_MAX);
  gate_process_start (&g, &o);
  for (uint32_t i = 0; i < n; i++)
    {
      enum gate_listener l = below (2) ? GATE_CALLERS : below (GATE_LISTENERS);
      struct crowd_options c = { .loop = &g.w.loop, .port = g.ports[l] };

      texts[i] = draw_crowd (&c, l);
      fprintf (stderr, "seed %u: %u connections to %s: %.60s\n", seed,
               c.connections, names[l],
               texts[i]->str + strspn (texts[i]->str, "\r\n"));
      crowds[i] = crowd_new (&c);
      platform_fixture_run_ms (&g.w, below (LOAD_MS / 2));
    }
  platform_fixture_run_ms (&g.w, LOAD_MS);
  for (uint32_t i = 0; i < n; i++)
    crowd_stop_sending (crowds[i]);
  g_snprintf (name, sizeof name, "seed %u", seed);
  gate_process_check (&g, name, MEMORY_MB, o.descriptors);
  for (uint32_t i = 0; i < n; i++)
    crowd_free (crowds[i]);
  gate_process_stop (&g);
  for (uint32_t i = 0; i < n; i++)
    g_string_free (texts[i], TRUE);
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
