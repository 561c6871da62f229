/* Stand-in of a weight store with a limit on bytes read per second.  Only the
   sizes of versions are stored; the bytes are generated when read.  */
#include <stdio.h>
#include <string.h>

#include "standin/kinds.h"

enum
{
  CHUNK_MAX_SIZE_BYTES = 8 << 20
};

struct settings
{
  struct wy_standin_settings common;
  int64_t rate_bytes_per_s;
};

static const struct wy_setting table[] = {
  { "rate_bytes_per_s", WY_SETTING_INTEGER,
    offsetof (struct settings, rate_bytes_per_s), "0", 0, 1e12, NULL,
    "bytes/s", "limit of what is read; 0: none" },
};

struct weights
{
  GHashTable *sizes; /* "MODEL/VERSION" -> bytes */
  struct wy_standin_rate_limit rate;
};

static double
current_rate (struct wy_standin *s)
{
  const struct settings *o = s->settings;
  struct wy_standin_fault *f = wy_standin_active_fault (s, WY_FAULT_RATE);

  return f ? f->value : (double)o->rate_bytes_per_s;
}

static void
read_chunk (struct wy_standin *s, struct wy_standin_call *c,
            int64_t size_bytes)
{
  struct weights *w = s->state;
  int64_t offset = wy_standin_query_number (c, "offset", 0);
  int64_t n = wy_standin_query_number (c, "size", CHUNK_MAX_SIZE_BYTES);
  char *p;

  if (offset < 0 || offset > size_bytes || n < 0)
    {
      wy_standin_respond_json (c, 400, NULL);
      return;
    }
  n = MIN (MIN (n, CHUNK_MAX_SIZE_BYTES), size_bytes - offset);
  if (!wy_standin_rate_limit_take (&w->rate, current_rate (s), (double)n,
                                   wy_standin_now_ms (s)))
    {
      wy_standin_reject_rate (c);
      return;
    }
  p = g_malloc ((gsize)n + 1);
  for (int64_t i = 0; i < n; i++)
    p[i] = (char)(offset + i);
  wy_standin_respond (c, 200, "application/octet-stream", p, (size_t)n);
  g_free (p);
}

static void
publish (struct wy_standin *s, struct wy_standin_call *c, const char *name)
{
  struct weights *w = s->state;
  json_t *body = wy_standin_body_json (c);
  int64_t *size_bytes = g_new (int64_t, 1);

  *size_bytes = json_integer_value (json_object_get (body, "size_bytes"));
  json_decref (body);
  g_hash_table_replace (w->sizes, g_strdup (name), size_bytes);
  wy_standin_respond_json (
      c, 200, json_pack ("{s:I}", "size_bytes", (json_int_t)*size_bytes));
}

static void
on_request (struct wy_standin *s, struct wy_standin_call *c)
{
  struct weights *w = s->state;
  const char *rest = wy_standin_path_after (c, "/weights/");
  char *name = g_strdup (rest ? rest : "");
  bool size_only = g_str_has_suffix (name, "/size");
  int64_t *size_bytes;

  if (size_only)
    name[strlen (name) - strlen ("/size")] = 0;
  size_bytes = g_hash_table_lookup (w->sizes, name);
  if (rest && !strcmp (wy_http_method (c->ex), "POST"))
    publish (s, c, name);
  else if (!size_bytes)
    wy_standin_respond_json (c, 404,
                             json_pack ("{s:s}", "error", "no version"));
  else if (size_only)
    wy_standin_respond_json (
        c, 200, json_pack ("{s:I}", "size_bytes", (json_int_t)*size_bytes));
  else
    read_chunk (s, c, *size_bytes);
  g_free (name);
}

static int
start (struct wy_standin *s)
{
  struct weights *w = g_new0 (struct weights, 1);

  w->sizes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->state = w;
  return 0;
}

const struct wy_standin_kind wy_standin_weights
    = { .name = "weights",
        .summary = "a rate-limited weight store",
        .table = table,
        .n = sizeof table / sizeof *table,
        .settings_size_bytes = sizeof (struct settings),
        .start = start,
        .on_request = on_request };
