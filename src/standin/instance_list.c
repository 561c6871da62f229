/* Instance list: answers with what it was told a while ago.  */
#include "standin/kinds.h"

struct settings
{
  struct wy_standin_settings common;
  int64_t lag_ms;
};

static const struct wy_setting table[] = {
  { "lag_ms", WY_SETTING_INTEGER, offsetof (struct settings, lag_ms), "500", 0,
    600000, NULL, "ms", "age of the list that is answered" },
};

struct version
{
  int64_t at_ms; /* monotonic */
  int64_t wall_ms;
  json_t *instances;
};

struct list
{
  GQueue told; /* struct version, oldest first; the first one is answered */
};

static void
drop_oldest (struct list *l)
{
  struct version *v = g_queue_pop_head (&l->told);

  json_decref (v->instances);
  g_free (v);
}

/* Whether the asker has V already; says in any case how V is named.  */
static bool
unchanged (struct wy_standin_call *c, const struct version *v)
{
  char *etag = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", v->wall_ms);
  const char *known = c->gone ? NULL : wy_http_header (c->ex, "if-none-match");
  bool same = known && !strcmp (known, etag);

  if (!c->gone)
    wy_http_add_header (c->ex, "etag", etag);
  g_free (etag);
  return same;
}

static void
answer (struct wy_standin *s, struct wy_standin_call *c)
{
  const struct settings *o = s->settings;
  struct list *l = s->state;
  int64_t seen_ms = wy_standin_now_ms (s) - o->lag_ms;
  struct version *v;

  while (l->told.length > 1
         && ((struct version *)l->told.head->next->data)->at_ms <= seen_ms)
    drop_oldest (l);
  v = g_queue_peek_head (&l->told);
  if (!v || v->at_ms > seen_ms)
    wy_standin_answer (c, 200,
                       json_pack ("{s:i, s:[]}", "as_of_ms", 0, "instances"));
  else if (unchanged (c, v))
    wy_standin_answer_bytes (c, 304, NULL, "", 0);
  else
    wy_standin_answer (c, 200,
                       json_pack ("{s:I, s:O}", "as_of_ms",
                                  (json_int_t)v->wall_ms, "instances",
                                  v->instances));
}

static void
tell (struct wy_standin *s, struct wy_standin_call *c)
{
  struct list *l = s->state;
  json_t *body = wy_standin_body (c);
  json_t *instances = json_object_get (body, "instances");
  struct version *v;

  if (!json_is_array (instances))
    {
      json_decref (body);
      wy_standin_answer (c, 400, json_pack ("{s:s}", "error", "no instances"));
      return;
    }
  v = g_new0 (struct version, 1);
  v->at_ms = wy_standin_now_ms (s);
  v->wall_ms = wy_clock_wall_ms (s->clock);
  v->instances = json_incref (instances);
  g_queue_push_tail (&l->told, v);
  json_decref (body);
  wy_standin_answer (c, 200, NULL);
}

static void
on_request (struct wy_standin *s, struct wy_standin_call *c)
{
  if (wy_standin_is (c, "GET", "/instances"))
    answer (s, c);
  else if (wy_standin_is (c, "POST", "/control/instances"))
    tell (s, c);
  else
    wy_standin_answer (c, 404, NULL);
}

static int
start (struct wy_standin *s)
{
  s->state = g_new0 (struct list, 1);
  return 0;
}

const struct wy_standin_kind wy_standin_list
    = { .name = "list",
        .summary = "the lagging instance list",
        .table = table,
        .n = sizeof table / sizeof *table,
        .settings_size_bytes = sizeof (struct settings),
        .start = start,
        .on_request = on_request };
