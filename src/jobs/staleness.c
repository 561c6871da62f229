/* How far behind the newest weights the jobs of a model may lie.

   The bound is not configured anywhere: it shows in what trainers ask for.
   A model has a row for each observed lag, with the time at which an entry
   last observed it; the least of the fresh rows applies.  Each orderer reads
   all rows of a model, so their number must not grow with the entries.  */
#include "jobs/staleness.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

enum
{
  /* A row counts for so long, and is renewed at half of it while jobs come;
     trainers submit every few seconds.  */
  FRESH_MS = 60000,
  RENEW_MS = 30000,
  /* An entry sees some of a model's jobs only, so it keeps the least lag of
     this time.  */
  WINDOW_MS = 30000
};

struct lag
{
  int64_t named; /* newest version named */
  int64_t least; /* lag in this window; -1: none */
  int64_t window_ms;
  int64_t told; /* -1: never */
  int64_t told_ms;
};

struct wy_staleness
{
  struct wy_gate_env *env;
  GHashTable *by_model; /* struct lag */
};

/* Lags as seen by the entry of ENV.  */
struct wy_staleness *
wy_staleness_new (struct wy_gate_env *env)
{
  struct wy_staleness *l = g_new0 (struct wy_staleness, 1);

  l->env = env;
  l->by_model
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

/* Free L.  What it has told may still be under way, so the lags themselves
   stay.  */
void
wy_staleness_free (struct wy_staleness *l)
{
  g_hash_table_steal_all (l->by_model);
  g_hash_table_destroy (l->by_model);
  g_free (l);
}

static struct lag *
lag_for (struct wy_staleness *l, const char *model)
{
  struct lag *g = g_hash_table_lookup (l->by_model, model);

  if (g)
    return g;
  g = g_new0 (struct lag, 1);
  g->named = 1;
  g->least = -1;
  g->told = -1;
  g_hash_table_insert (l->by_model, g_strdup (model), g);
  return g;
}

/* VERSION of MODEL has been named.  */
void
wy_staleness_version_announced (struct wy_staleness *l, const char *model,
                                int64_t version)
{
  struct lag *g = lag_for (l, model);

  if (g->named < version)
    g->named = version;
}

/* The newest version of MODEL that has been named.  */
int64_t
wy_staleness_newest_version (struct wy_staleness *l, const char *model)
{
  return lag_for (l, model)->named;
}

static void
on_told (void *ctx, const struct wy_rows_result *r)
{
  struct lag *g = ctx;

  /* The next job tells it again.  */
  if (r->err)
    g->told = -1;
}

static void
tell (struct wy_staleness *l, struct lag *g, const char *model, int64_t now_ms)
{
  char key[24];
  char value[96];
  struct wy_row_write w
      = { .table = WY_STALENESS_TABLE, .key = key, .value = value };
  struct wy_rows_tx tx = { .partition = model, .writes = &w, .n_writes = 1 };

  snprintf (key, sizeof key, "%lld", (long long)g->least);
  snprintf (value, sizeof value, "{\"lag\":%lld,\"at_ms\":%lld}",
            (long long)g->least,
            (long long)wy_rows_store_now_ms (l->env->rows));
  w.size_bytes = strlen (value);
  g->told = g->least;
  g->told_ms = now_ms;
  wy_rows_tx (l->env->rows, &tx, on_told, g);
}

/* A job of MODEL that takes weights from MIN_VERSION on has been accepted.  */
void
wy_staleness_job_accepted (struct wy_staleness *l, const char *model,
                           int64_t min_version)
{
  struct lag *g = lag_for (l, model);
  int64_t now_ms = wy_clock_mono_ms (l->env->clock);
  int64_t lag = MAX (g->named - min_version, 0);

  /* Before the first version is named there is nothing to be behind of.  */
  if (g->named <= 1)
    return;
  if (g->least < 0 || lag < g->least || now_ms - g->window_ms > WINDOW_MS)
    {
      g->least = lag;
      g->window_ms = now_ms;
    }
  if (g->least != g->told || now_ms - g->told_ms > RENEW_MS)
    tell (l, g, model, now_ms);
}

/* The lag that the rows R, all of a model's part, tell; 0 when none is fresh,
   which asks for every version at once.  */
uint32_t
wy_staleness_allowed (const struct wy_rows_result *r)
{
  int64_t least = -1;

  for (size_t i = 0; i < r->n; i++)
    {
      const struct wy_row *row = &r->rows[i];
      json_t *doc = json_loadb (row->value, row->size_bytes, 0, NULL);
      int64_t lag = json_integer_value (json_object_get (doc, "lag"));
      int64_t at_ms = json_integer_value (json_object_get (doc, "at_ms"));

      json_decref (doc);
      if (r->store_now_ms - at_ms <= FRESH_MS && (least < 0 || lag < least))
        least = lag;
    }
  return least < 0 ? 0 : (uint32_t)least;
}
