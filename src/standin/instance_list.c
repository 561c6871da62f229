/* Instance list that responds with the state of lag_ms ago.  */
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

struct snapshot
{
  int64_t at_ms; /* monotonic */
  int64_t wall_ms;
  json_t *instances;
};

struct list
{
  GQueue snapshots; /* struct snapshot, oldest first; the first is served */
};

static void
discard_oldest (struct list *l)
{
  struct snapshot *snap = g_queue_pop_head (&l->snapshots);

  json_decref (snap->instances);
  g_free (snap);
}

/* Return whether the If-None-Match of C names SNAP.  Adds the ETag of SNAP to
   the response in any case.  */
static bool
is_current (struct wy_standin_call *c, const struct snapshot *snap)
{
  char *etag = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", snap->wall_ms);
  const char *known
      = c->disconnected ? NULL : wy_http_header (c->ex, "if-none-match");
  bool same = known && !strcmp (known, etag);

  if (!c->disconnected)
    wy_http_add_header (c->ex, "etag", etag);
  g_free (etag);
  return same;
}

static void
respond_list (struct wy_standin *s, struct wy_standin_call *c)
{
  const struct settings *o = s->settings;
  struct list *l = s->state;
  int64_t visible_until_ms = wy_standin_now_ms (s) - o->lag_ms;
  struct snapshot *snap;

  while (l->snapshots.length > 1
         && ((struct snapshot *)l->snapshots.head->next->data)->at_ms
                <= visible_until_ms)
    discard_oldest (l);
  snap = g_queue_peek_head (&l->snapshots);
  if (!snap || snap->at_ms > visible_until_ms)
    wy_standin_respond_json (
        c, 200, json_pack ("{s:i, s:[]}", "as_of_ms", 0, "instances"));
  else if (is_current (c, snap))
    wy_standin_respond (c, 304, NULL, "", 0);
  else
    wy_standin_respond_json (c, 200,
                             json_pack ("{s:I, s:O}", "as_of_ms",
                                        (json_int_t)snap->wall_ms, "instances",
                                        snap->instances));
}

static void
update_list (struct wy_standin *s, struct wy_standin_call *c)
{
  struct list *l = s->state;
  json_t *body = wy_standin_body_json (c);
  json_t *instances = json_object_get (body, "instances");
  struct snapshot *snap;

  if (!json_is_array (instances))
    {
      json_decref (body);
      wy_standin_respond_json (c, 400,
                               json_pack ("{s:s}", "error", "no instances"));
      return;
    }
  snap = g_new0 (struct snapshot, 1);
  snap->at_ms = wy_standin_now_ms (s);
  snap->wall_ms = wy_clock_wall_ms (s->clock);
  snap->instances = json_incref (instances);
  g_queue_push_tail (&l->snapshots, snap);
  json_decref (body);
  wy_standin_respond_json (c, 200, NULL);
}

static void
on_request (struct wy_standin *s, struct wy_standin_call *c)
{
  if (wy_standin_matches (c, "GET", "/instances"))
    respond_list (s, c);
  else if (wy_standin_matches (c, "POST", "/control/instances"))
    update_list (s, c);
  else
    wy_standin_respond_json (c, 404, NULL);
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
