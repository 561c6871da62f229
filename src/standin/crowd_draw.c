/* Crowds drawn at random: requests and what resembles them.  */
#include "standin/crowd.h"

static uint32_t
below (struct wy_rng *rng, uint32_t n)
{
  return (uint32_t)wy_rng_below (rng, n);
}

#define PICK(rng, list) (list)[below (rng, G_N_ELEMENTS (list))]

static void
add_fill (GString *s, uint32_t n)
{
  char *fill = g_strnfill (n, 'x');

  g_string_append (s, fill);
  g_free (fill);
}

static void
add_fields (GString *s, struct wy_rng *rng)
{
  static const char *const some[]
      = { "Attempt-Id: m\r\n",     "Expect: 100-continue\r\n",
          "Connection: close\r\n", "Deadline-Milliseconds: 900\r\n",
          "Token-Counts: 9,9\r\n", "Last-Event-Id: 3\r\n" };
  static const uint32_t empty[] = { 0, 0, 0, 30, 3000 };

  g_string_append (s, "Host: h\r\n");
  for (uint32_t n = below (rng, 4); n; n--)
    g_string_append (s, PICK (rng, some));
  for (uint32_t n = PICK (rng, empty); n; n--)
    g_string_append (s, "a:\r\n");
  if (below (rng, 5) == 0)
    {
      g_string_append (s, "Long: ");
      add_fill (s, below (rng, 20000));
      g_string_append (s, "\r\n");
    }
}

static void
add_chunks (GString *s, struct wy_rng *rng)
{
  g_string_append (s, "Transfer-Encoding: chunked\r\n\r\n");
  for (uint32_t n = below (rng, 40); n; n--)
    {
      uint32_t size = 1 + below (rng, n % 7 ? 9 : 9000);

      g_string_append_printf (s, "%x", size);
      if (below (rng, 4) == 0)
        {
          g_string_append_c (s, ';');
          add_fill (s, below (rng, 2000));
        }
      g_string_append (s, "\r\n");
      add_fill (s, size);
      g_string_append (s, "\r\n");
    }
  g_string_append (s, "0\r\n");
  for (uint32_t n = below (rng, 3) ? 0 : below (rng, 500); n; n--)
    g_string_append (s, "Trailer: x\r\n");
  g_string_append (s, "\r\n");
}

static void
add_length (GString *s, struct wy_rng *rng)
{
  static const uint32_t sizes[] = { 0, 10, 5000, 60000, 500000, 1100000 };
  uint32_t size = PICK (rng, sizes);

  g_string_append_printf (s, "Content-Length: %u\r\n\r\n", size);
  add_fill (s, size);
}

/* A request, or what resembles one.  */
static GString *
draw_request (struct wy_rng *rng)
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
  GString *s = g_string_new (PICK (rng, lines));

  add_fields (s, rng);
  switch (below (rng, 4))
    {
    case 0:
      add_length (s, rng);
      break;
    case 1:
      add_chunks (s, rng);
      break;
    default:
      g_string_append (s, "\r\n");
    }
  return s;
}

/* Draw the options O of a crowd by RNG; its port and loop, and how much it
   sends at most, are left as they are.  The text to which O refers is returned
   and must be freed after the crowd.  */
GString *
wy_crowd_draw (struct wy_crowd_options *o, struct wy_rng *rng)
{
  static const uint32_t connections[] = { 10, 50, 200, 600 };
  static const uint32_t chunks[] = { 0, 0, 0, 1, 100 };
  static const uint32_t reads[] = { 0, 0, 0, 500, 5000, 262144 };
  GString *s = draw_request (rng);

  o->connections = PICK (rng, connections);
  o->chunk_bytes = PICK (rng, chunks);
  o->read_step_bytes = PICK (rng, reads);
  o->half_close = below (rng, 8) == 0;
  o->reopen = below (rng, 6) == 0;
  o->opened_max = o->reopen ? 5000 : 0;
  if (below (rng, 3))
    {
      o->again = s->str;
      o->again_bytes = (uint32_t)s->len;
    }
  else
    {
      /* Without its last bytes, so that the request is not complete.  */
      o->once = s->str;
      o->once_bytes = (uint32_t)s->len - below (rng, 3);
    }
  return s;
}
