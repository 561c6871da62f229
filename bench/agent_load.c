/* Load generator for one agent, which it connects to as an entry does.

   Usage: agent_load PORT KEY NAME model|service SECONDS STREAMS

   PORT is the agent's port for entries.  Keeps STREAMS requests open for
   SECONDS and prints one line per figure: case, size, policy, figure, value.
   With STREAMS 0 it only observes the connection and prints each event with
   its wall-clock time.  The agent's own processor time is not measured
   here.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

#include "base/clock.h"
#include "base/hist.h"
#include "base/id.h"
#include "inner/conn.h"

enum
{
  HEARTBEAT_MS = 250,
  SILENCE_LIMIT_MS = 1000,
  SEND_LIMIT_BYTES = 64 << 20,
  MAX_TOKENS = 200
};

struct load
{
  uv_loop_t loop;
  uv_timer_t end;
  struct wy_inner_key key;
  struct wy_inner_identity identity;
  struct wy_conn *conn;
  const char *name;
  bool is_model;
  uint32_t streams;
  int64_t from_us;
  uint64_t done;
  uint64_t refused;
  uint64_t other;
  uint64_t tokens;
  uint64_t bytes;
  struct wy_hist latency_us;
  GHashTable *open; /* id -> start in us */
};

static int64_t
now_us (void)
{
  return wy_clock_mono_us (wy_clock_system ());
}

static void
print_event (const char *what, int64_t number)
{
  printf ("%lld %s %lld\n", (long long)wy_clock_wall_ms (wy_clock_system ()),
          what, (long long)number);
  fflush (stdout);
}

static void
submit (struct load *l)
{
  struct wy_frame f = { .kind = WY_FRAME_SUBMIT };
  struct wy_frame_submit *s = &f.u.submit;
  char id[WY_ID_SIZE_BYTES];
  int64_t *start = g_new (int64_t, 1);

  wy_id_new (wy_clock_system (), id);
  *start = now_us ();
  g_hash_table_insert (l->open, g_strdup (id), start);
  s->id = wy_bytes_of (id);
  s->name = wy_bytes_of (l->name);
  s->is_model = l->is_model;
  s->attempt = 1;
  s->prompt_tokens = 10;
  s->max_tokens = MAX_TOKENS;
  s->predicted_tokens = MAX_TOKENS;
  s->method = wy_bytes_of (l->is_model ? "POST" : "GET");
  s->path = wy_bytes_of (l->is_model ? "/v1/completions" : "/echo");
  if (l->is_model)
    s->body = wy_bytes_of ("{\"model\":\"pattern\",\"prompt\":\"p\","
                           "\"max_tokens\":200}");
  wy_conn_send (l->conn, &f);
}

static void
handle_end (struct load *l, const struct wy_frame_end *e)
{
  char *id = wy_bytes_dup (e->id);
  const int64_t *start = g_hash_table_lookup (l->open, id);
  struct wy_frame ack = { .kind = WY_FRAME_ACK };

  if (start)
    wy_hist_add (&l->latency_us, (uint64_t)(now_us () - *start));
  g_hash_table_remove (l->open, id);
  g_free (id);
  ack.u.resume.id = e->id;
  ack.u.resume.run = e->run;
  wy_conn_send (l->conn, &ack);
  l->tokens += e->tokens;
  if (e->result == WY_RUN_DONE)
    l->done++;
  else
    l->other++;
  if (e->result != WY_RUN_DONE)
    print_event ("end", e->result);
}

static void
on_frame (void *ctx, struct wy_conn *c, const struct wy_frame *f)
{
  struct load *l = ctx;

  if (f->kind == WY_FRAME_END)
    {
      handle_end (l, &f->u.end);
      submit (l);
    }
  else if (f->kind == WY_FRAME_REFUSED)
    {
      l->refused++;
      print_event ("refused", f->u.refused.reason);
    }
  else if (f->kind == WY_FRAME_CHUNK)
    l->bytes += f->u.chunk.data.n;
  else if (f->kind == WY_FRAME_LEAVING)
    print_event ("leaving", 0);
}

static void
on_ready (void *ctx, struct wy_conn *c, const char *process,
          const char *incarnation, const char *availability_zone)
{
  struct load *l = ctx;

  print_event ("ready", 0);
  l->from_us = now_us ();
  for (uint32_t i = 0; i < l->streams; i++)
    submit (l);
}

static void
on_closed (void *ctx, struct wy_conn *c, int err)
{
  print_event ("closed", err);
  uv_stop (&((struct load *)ctx)->loop);
}

static void
on_end (uv_timer_t *t)
{
  uv_stop (t->loop);
}

static void
print_figure (const struct load *l, const char *figure, double value)
{
  printf ("agent\t%u\t%s\t%s\t%.6g\n", l->streams,
          l->is_model ? "model" : "service", figure, value);
}

static void
report (const struct load *l)
{
  double s = (double)(now_us () - l->from_us) / (WY_US_PER_MS * WY_MS_PER_S);

  print_figure (l, "seconds", s);
  print_figure (l, "requests", (double)l->done);
  print_figure (l, "requests_per_s", (double)l->done / s);
  print_figure (l, "tokens_per_s", (double)l->tokens / s);
  print_figure (l, "bytes_per_s", (double)l->bytes / s);
  print_figure (l, "p50_us", (double)wy_hist_quantile (&l->latency_us, 0.5));
  print_figure (l, "p99_us", (double)wy_hist_quantile (&l->latency_us, 0.99));
  print_figure (l, "refused", (double)l->refused);
  print_figure (l, "not_done", (double)l->other);
}

int
main (int argc, char **argv)
{
  static struct load l;
  struct wy_conn_events ev = { .on_ready = on_ready,
                               .on_frame = on_frame,
                               .on_closed = on_closed,
                               .ctx = &l };

  if (argc != 7)
    {
      fputs ("usage: agent_load PORT KEY NAME model|service SECONDS "
             "STREAMS\n",
             stderr);
      return 2;
    }
  uv_loop_init (&l.loop);
  l.key = (struct wy_inner_key){ 1, argv[2] };
  l.name = argv[3];
  l.is_model = !strcmp (argv[4], "model");
  l.streams = (uint32_t)strtoul (argv[6], NULL, 10);
  l.open = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  l.identity
      = (struct wy_inner_identity){ .loop = &l.loop,
                                    .clock = wy_clock_system (),
                                    .process = "load",
                                    .incarnation = "load",
                                    .availability_zone = "load",
                                    .keys = &l.key,
                                    .n_keys = 1,
                                    .handshake_timeout_ms = SILENCE_LIMIT_MS,
                                    .heartbeat_ms = HEARTBEAT_MS,
                                    .silence_limit_ms = SILENCE_LIMIT_MS,
                                    .send_limit_bytes = SEND_LIMIT_BYTES };
  l.conn = wy_conn_dial (&l.identity, "127.0.0.1",
                         (uint16_t)strtoul (argv[1], NULL, 10), &ev);
  uv_timer_init (&l.loop, &l.end);
  uv_timer_start (&l.end, on_end, strtoul (argv[5], NULL, 10) * WY_MS_PER_S,
                  0);
  uv_run (&l.loop, UV_RUN_DEFAULT);
  report (&l);
  return l.done ? 0 : 1;
}
