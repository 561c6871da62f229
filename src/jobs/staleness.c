/* Staleness that the jobs of a model allow: how many versions the weights may
   lag behind the newest.

   The bound is not configured; it is derived from the minimum versions that
   trainers request.  A model has one row per observed lag, with the time at
   which an entry last observed it, and the least lag whose row is still valid
   applies.  Every orderer reads all rows of a model, so their number must not
   grow with the number of entries.  */
#include "jobs/staleness.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

enum
{
  /* A row is valid for this long and renewed after half of it while jobs
     arrive; trainers submit every few seconds.  */
  VALID_MS = 60000,
  RENEW_MS = 30000,
  /* Each entry sees only some of a model's jobs, so it uses the least lag of
     this period.  */
  MIN_LAG_WINDOW_MS = 30000
};

struct model_staleness
{
  int64_t newest_version; /* announced */
  int64_t min_lag;        /* in the current window; -1: none */
  int64_t window_start_ms;
  int64_t published_lag; /* -1: never */
  int64_t published_ms;
};

struct wy_staleness
{
  struct wy_gate_env *env;
  GHashTable *by_model; /* struct model_staleness */
};

/* Return an empty set of observed lags for the entry of ENV.  */
struct wy_staleness *
wy_staleness_new (struct wy_gate_env *env)
{
  struct wy_staleness *l = g_new0 (struct wy_staleness, 1);

  l->env = env;
  l->by_model
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

/* Free L.  The per-model structs are not freed, since writes in progress may
   refer to them.  */
void
wy_staleness_free (struct wy_staleness *l)
{
  g_hash_table_steal_all (l->by_model);
  g_hash_table_destroy (l->by_model);
  g_free (l);
}

static struct model_staleness *
find_or_add (struct wy_staleness *l, const char *model)
{
  struct model_staleness *g = g_hash_table_lookup (l->by_model, model);

  if (g)
    return g;
  g = g_new0 (struct model_staleness, 1);
  g->newest_version = 1;
  g->min_lag = -1;
  g->published_lag = -1;
  g_hash_table_insert (l->by_model, g_strdup (model), g);
  return g;
}

/* Record that VERSION of MODEL has been announced.  */
void
wy_staleness_version_announced (struct wy_staleness *l, const char *model,
                                int64_t version)
{
  struct model_staleness *g = find_or_add (l, model);

  if (g->newest_version < version)
    g->newest_version = version;
}

/* Return the newest version of MODEL that has been announced.  */
int64_t
wy_staleness_newest_version (struct wy_staleness *l, const char *model)
{
  return find_or_add (l, model)->newest_version;
}

static void
on_published (void *ctx, const struct wy_rows_result *r)
{
  struct model_staleness *g = ctx;

  /* The next job publishes it again.  */
  if (r->err)
    g->published_lag = -1;
}

static void
publish (struct wy_staleness *l, struct model_staleness *g, const char *model,
         int64_t now_ms)
{
  char key[24];
  char value[96];
  struct wy_row_write w
      = { .table = WY_STALENESS_TABLE, .key = key, .value = value };
  struct wy_rows_tx tx = { .partition = model, .writes = &w, .n_writes = 1 };

  snprintf (key, sizeof key, "%lld", (long long)g->min_lag);
  snprintf (value, sizeof value, "{\"lag\":%lld,\"at_ms\":%lld}",
            (long long)g->min_lag,
            (long long)wy_rows_store_now_ms (l->env->rows));
  w.size_bytes = strlen (value);
  g->published_lag = g->min_lag;
  g->published_ms = now_ms;
  wy_rows_tx (l->env->rows, &tx, on_published, g);
}

/* Record that a job of MODEL has been accepted that allows weights from
   MIN_VERSION on.  */
void
wy_staleness_job_accepted (struct wy_staleness *l, const char *model,
                           int64_t min_version)
{
  struct model_staleness *g = find_or_add (l, model);
  int64_t now_ms = wy_clock_mono_ms (l->env->clock);
  int64_t lag = MAX (g->newest_version - min_version, 0);

  /* Before the first announcement there is no version to lag behind.  */
  if (g->newest_version <= 1)
    return;
  if (g->min_lag < 0 || lag < g->min_lag
      || now_ms - g->window_start_ms > MIN_LAG_WINDOW_MS)
    {
      g->min_lag = lag;
      g->window_start_ms = now_ms;
    }
  if (g->min_lag != g->published_lag || now_ms - g->published_ms > RENEW_MS)
    publish (l, g, model, now_ms);
}

/* Return the least lag among the valid rows of R, which are all rows of a
   model's partition.  Return 0 if none is valid, so that every version is
   loaded at once.  */
uint32_t
wy_staleness_allowed (const struct wy_rows_result *r)
{
  int64_t min_lag = -1;

  for (size_t i = 0; i < r->n; i++)
    {
      const struct wy_row *row = &r->rows[i];
      json_t *doc = json_loadb (row->value, row->size_bytes, 0, NULL);
      int64_t lag = json_integer_value (json_object_get (doc, "lag"));
      int64_t at_ms = json_integer_value (json_object_get (doc, "at_ms"));

      json_decref (doc);
      if (r->store_now_ms - at_ms <= VALID_MS
          && (min_lag < 0 || lag < min_lag))
        min_lag = lag;
    }
  return min_lag < 0 ? 0 : (uint32_t)min_lag;
}
