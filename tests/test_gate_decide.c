/* Parts of an entry that do no input or output: routing, the choice of
   replicas that load new weights, parsing of server-sent events.  */
#include <criterion/criterion.h>
#include <string.h>

#include "decide/weight_loading.h"
#include "gate/routing.h"
#include "gate/sse.h"

static struct wy_route *
route (struct wy_routing *r, const char *host, const char *prefix,
       const char *service)
{
  struct wy_route *t = wy_routing_add_route (r);
  struct wy_traffic_split s = { g_strdup (service), 1 };

  t->name = g_strdup (prefix);
  t->host = g_strdup (host);
  t->prefix = g_strdup (prefix);
  g_array_append_val (t->splits, s);
  return t;
}

Test (routing, longest_prefix_of_the_host)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *prefix;
  } rows[] = {
    { "h", "/a/x", "/a/" },
    { "h", "/a/b/x", "/a/b/" },
    { "H", "/a/x?q=/a/b/", "/a/" },
    { "h:80", "/a/b/", "/a/b/" },
    { "h", "/a", NULL },
    { "other", "/a/x", NULL },
    { "hh", "/a/x", NULL },
    { "g", "/a/x", "/" },
  };
  struct wy_routing *r = wy_routing_new ();

  route (r, "h", "/a/", "s1");
  route (r, "h", "/a/b/", "s2");
  route (r, "g", "/", "s3");
  wy_routing_sort (r);
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      const struct wy_route *t
          = wy_routing_match (r, rows[i].host, rows[i].path);

      if (rows[i].prefix)
        cr_expect (t && !strcmp (t->prefix, rows[i].prefix), "row %zu", i);
      else
        cr_expect_null (t, "row %zu", i);
    }
  wy_routing_free (r);
}

Test (routing, splits_follow_their_weights)
{
  struct wy_routing *r = wy_routing_new ();
  struct wy_route *t = route (r, "h", "/", "a");
  struct wy_traffic_split b = { g_strdup ("b"), 3 };
  int n_b = 0;

  g_array_append_val (t->splits, b);
  for (uint32_t i = 0; i < 400; i++)
    n_b += !strcmp (wy_route_pick_service (t, i), "b");
  cr_expect_eq (n_b, 300);
  wy_routing_free (r);
}

/* Number of replicas that load VERSION of a model; OUT tells which.  */
static uint32_t
count_loading (uint32_t replicas, uint32_t models, uint32_t model,
               int64_t version, uint32_t lag, bool *out)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < replicas; i++)
    {
      struct wy_weight_loading_options o = { .rank = i,
                                             .replicas = replicas,
                                             .model = model,
                                             .models = models,
                                             .version = version,
                                             .lag = lag,
                                             .load_ms = 1000 };

      out[i] = wy_weight_loading (&o).loads;
      n += out[i];
    }
  return n;
}

/* A trainer publishes a version every few seconds.  For any number of replicas
   and models, each model must have a replica that loads each version, and with
   a lag of one also a replica that serves the step meanwhile; otherwise a step
   waits for weights.  */
Test (weight_loading, every_version_has_a_replica)
{
  bool now[64];
  bool next[64];

  for (uint32_t replicas = 1; replicas <= 64; replicas++)
    for (uint32_t models = 1; models <= 4; models++)
      for (uint32_t m = 0; m < models; m++)
        {
          uint32_t a = count_loading (replicas, models, m, 6, 1, now);
          uint32_t b = count_loading (replicas, models, m, 7, 1, next);
          uint32_t both = 0;

          for (uint32_t i = 0; i < replicas; i++)
            both += now[i] && next[i];
          cr_assert_gt (a, 0, "%u replicas, %u models", replicas, models);
          cr_assert_gt (b, 0, "%u replicas, %u models", replicas, models);
          /* With at least two replicas per model, none loads two versions in
             succession.  */
          if (replicas >= 2 * models)
            cr_assert_eq (both, 0, "%u replicas, %u models", replicas, models);
        }
}

/* Jobs that require the newest weights need all of the model's replicas.  */
Test (weight_loading, no_lag_loads_every_version)
{
  bool now[12];
  bool next[12];

  cr_expect_eq (count_loading (12, 1, 0, 6, 0, now), 12);
  cr_expect_eq (count_loading (12, 1, 0, 7, 0, next), 12);
  cr_expect_arr_eq (now, next, sizeof now);
}

/* Loads that exceed the bandwidth of the weights store slow each other down,
   so they are spread over time.  */
Test (weight_loading, few_at_a_time)
{
  uint32_t at[16] = { 0 };

  for (uint32_t i = 0; i < 45; i++)
    {
      struct wy_weight_loading_options o = { .rank = i,
                                             .replicas = 45,
                                             .models = 1,
                                             .version = 2,
                                             .lag = 1,
                                             .load_ms = 1000 };
      struct wy_weight_loading t = wy_weight_loading (&o);

      if (t.loads)
        at[t.delay_ms / 1000]++;
    }
  for (int i = 0; i < 16; i++)
    cr_expect_leq (at[i], 9);
}

struct seen
{
  GString *text;
  int64_t last;
  int64_t version;
};

static void
on_event (void *ctx, const struct wy_sse_event *ev)
{
  struct seen *s = ctx;

  g_string_append_len (s->text, ev->data, (gssize)ev->data_n);
  g_string_append_c (s->text, '|');
  s->last = ev->id;
  if (ev->version >= 0)
    s->version = ev->version;
}

/* However the input is split, each complete event must be reported once, and
   an incomplete one never.  */
Test (sse, events_are_complete_for_any_split)
{
  static const char stream[]
      = "id: 1\ndata: a\n\n"
        "weight-versions: 7\nid: 2\ndata: b\ndata: c\n\n"
        "id: 3\r\ndata: d\r\n\r\n"
        "id: 4\ndata: half";

  for (size_t cut = 1; cut < sizeof stream - 1; cut++)
    {
      struct seen s = { g_string_new (NULL), -1, -1 };
      struct wy_sse_parser e;

      wy_sse_init (&e);
      for (size_t at = 0; at < sizeof stream - 1; at += cut)
        wy_sse_feed (&e, stream + at, MIN (cut, sizeof stream - 1 - at),
                     on_event, &s);
      cr_expect_str_eq (s.text->str, "a|b\nc|d|", "cut %zu", cut);
      cr_expect_eq (s.last, 3);
      cr_expect_eq (s.version, 7);
      cr_expect (wy_sse_has_partial (&e));
      wy_sse_clear (&e);
      g_string_free (s.text, TRUE);
    }
}
