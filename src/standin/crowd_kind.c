/* Stand-in of clients that don't behave: crowds at some ports of this machine,
   one after another and several at a time, until it is time to leave.  */
#include "standin/crowd.h"
#include "standin/kinds.h"
#include "standin/standin.h"

enum
{
  CROWDS = 3, /* at a time */
  /* Interval at which the oldest crowd leaves and another one comes.  */
  CHANGE_MS = 700,
  MS_PER_S = 1000
};

struct settings
{
  struct wy_standin_settings common;
  GPtrArray *ports;
  int64_t connections;
  int64_t sent_bytes;
  int64_t seconds;
};

static const struct wy_setting table[] = {
  { "ports", WY_SETTING_LIST, offsetof (struct settings, ports), NULL, 0, 0,
    NULL, NULL, "ports of this machine to connect to" },
  { "connections", WY_SETTING_INTEGER, offsetof (struct settings, connections),
    "50", 1, 100000, NULL, NULL, "most connections of a crowd" },
  { "sent_bytes", WY_SETTING_INTEGER, offsetof (struct settings, sent_bytes),
    "200000", 1, 1 << 30, NULL, "bytes", "most that one connection sends" },
  { "seconds", WY_SETTING_INTEGER, offsetof (struct settings, seconds), "10",
    0, 86400, NULL, "s", "how long crowds come" },
};

struct place
{
  struct wy_crowd *crowd; /* NULL: none */
  GString *text;
};

static struct
{
  const struct wy_standin *standin;
  struct wy_rng rng;
  struct place places[CROWDS];
  uint32_t next; /* place */
  uint64_t until_ms;
  uv_timer_t timer;
} crowds;

static void
leave (struct place *p)
{
  if (!p->crowd)
    return;
  wy_crowd_free (p->crowd);
  g_string_free (p->text, TRUE);
  p->crowd = NULL;
}

static void
come (struct place *p)
{
  const struct settings *s = crowds.standin->settings;
  uint32_t i = (uint32_t)wy_rng_below (&crowds.rng, s->ports->len);
  struct wy_crowd_options o
      = { .loop = crowds.standin->loop,
          .port = (uint16_t)g_ascii_strtoull (s->ports->pdata[i], NULL, 10),
          .sent_max_bytes = (uint32_t)s->sent_bytes };

  p->text = wy_crowd_draw (&o, &crowds.rng);
  o.connections = MIN (o.connections, (uint32_t)s->connections);
  p->crowd = wy_crowd_new (&o);
}

static void
on_change (uv_timer_t *t)
{
  struct place *p = &crowds.places[crowds.next];

  leave (p);
  crowds.next = (crowds.next + 1) % CROWDS;
  if (uv_now (t->loop) < crowds.until_ms)
    {
      come (p);
      return;
    }
  for (uint32_t i = 0; i < CROWDS; i++)
    leave (&crowds.places[i]);
  uv_timer_stop (t);
}

static int
start (struct wy_standin *s)
{
  const struct settings *o = s->settings;

  crowds.standin = s;
  wy_rng_seed (&crowds.rng, (uint64_t)s->common->seed);
  crowds.until_ms = uv_now (s->loop) + (uint64_t)o->seconds * MS_PER_S;
  uv_timer_init (s->loop, &crowds.timer);
  uv_timer_start (&crowds.timer, on_change, 0, CHANGE_MS);
  return o->ports->len ? 0 : -1;
}

const struct wy_standin_kind wy_standin_crowd
    = { .name = "crowd",
        .summary = "Clients that send and read as no ordinary client does.",
        .table = table,
        .n = G_N_ELEMENTS (table),
        .settings_size_bytes = sizeof (struct settings),
        .start = start };
