/* Stand-in of a scoring service.  The score is a hash of the text, so that it
   is the same on every call; a share of the calls fails.  */
#include <string.h>

#include "base/id.h"
#include "standin/kinds.h"

enum
{
  SCORE_STEPS = 1000
};

struct settings
{
  struct wy_standin_settings common;
  double fail_share;
  int64_t service_time_ms;
};

static const struct wy_setting table[] = {
  { "fail_share", WY_SETTING_REAL, offsetof (struct settings, fail_share), "0",
    0, 1, NULL, NULL, "share of calls that fail with 500" },
  { "service_time_ms", WY_SETTING_INTEGER,
    offsetof (struct settings, service_time_ms), "5", 0, 60000, NULL, "ms",
    "time that a score takes" },
};

struct scoring
{
  uv_timer_t timer; /* must stay first */
  struct wy_standin_call *call;
  int status;
  json_t *response;
};

static void
on_closed (uv_handle_t *h)
{
  g_free (h);
}

static void
on_done (uv_timer_t *t)
{
  struct scoring *x = (struct scoring *)t;

  wy_standin_respond_json (x->call, x->status, x->response);
  uv_close ((uv_handle_t *)t, on_closed);
}

static json_t *
score_text (const json_t *body)
{
  const char *text = json_string_value (json_object_get (body, "completion"));
  uint64_t h = text ? wy_hash64 (text, strlen (text), 0) : 0;

  return json_pack ("{s:f}", "score",
                    (double)(h % SCORE_STEPS) / (double)SCORE_STEPS);
}

static void
on_request (struct wy_standin *s, struct wy_standin_call *c)
{
  const struct settings *o = s->settings;
  struct scoring *x;
  json_t *body;

  if (!wy_standin_matches (c, "POST", "/score"))
    {
      wy_standin_respond_json (c, 404, NULL);
      return;
    }
  body = wy_standin_body_json (c);
  x = g_malloc0 (sizeof *x);
  x->call = c;
  x->status = wy_rng_unit (&s->rng) < o->fail_share ? 500 : 200;
  x->response = x->status == 200 ? score_text (body) : NULL;
  json_decref (body);
  uv_timer_init (s->loop, &x->timer);
  uv_timer_start (&x->timer, on_done, (uint64_t)o->service_time_ms, 0);
}

const struct wy_standin_kind wy_standin_scoring
    = { .name = "scoring",
        .summary = "a scoring service",
        .table = table,
        .n = sizeof table / sizeof *table,
        .settings_size_bytes = sizeof (struct settings),
        .on_request = on_request };
