/* Shares of a service's replicas that its models have.

   Orderers and entries compute them from the same rows with the same function,
   so they agree without a coordinator.  The entry that runs a model's jobs
   writes the model's row; the last write wins.  */
#include "jobs/model_shares.h"

#include <string.h>

#include <jansson.h>

#include "decide/model_demand.h"
#include "trace/json_log.h"

enum
{
  /* Each model keeps one replica more than the versions that its jobs may lag,
     so that each replica loads only one version in that many.  A job that
     allows any version must not claim all replicas that way.  */
  LAG_MAX = 3
};

const char *const wy_replica_shares_choices[] = { "equal", "demand", NULL };

const struct wy_demand_row *
wy_demand_rows_find (const struct wy_demand_rows *d, const char *model)
{
  for (uint32_t i = 0; i < d->n; i++)
    if (!strcmp (d->rows[i].model, model))
      return &d->rows[i];
  return NULL;
}

/* The place for a row of MODEL: its own, a free one, or that of the oldest
   row, as of a model that was removed from the configuration.  */
static struct wy_demand_row *
place_for (struct wy_demand_rows *d, const char *model)
{
  uint32_t oldest = 0;

  for (uint32_t i = 0; i < d->n; i++)
    {
      if (!strcmp (d->rows[i].model, model))
        return &d->rows[i];
      if (d->rows[i].at_ms < d->rows[oldest].at_ms)
        oldest = i;
    }
  return d->n < WY_REPLICA_MODELS_MAX ? &d->rows[d->n++] : &d->rows[oldest];
}

/* Apply ROW, which this entry has written, unless a newer one is known.  */
void
wy_demand_rows_put (struct wy_demand_rows *d, const struct wy_demand_row *row)
{
  struct wy_demand_row *place = place_for (d, row->model);

  if (strcmp (place->model, row->model) != 0 || place->at_ms <= row->at_ms)
    *place = *row;
}

static void
remove_row (struct wy_demand_rows *d, const char *model)
{
  for (uint32_t i = 0; i < d->n; i++)
    if (!strcmp (d->rows[i].model, model))
      {
        d->rows[i] = d->rows[--d->n];
        memset (&d->rows[d->n], 0, sizeof d->rows[d->n]);
        return;
      }
}

/* Apply ROW, which is new, changed or deleted.  Ignore one that can't be
   parsed.  */
void
wy_demand_rows_set (struct wy_demand_rows *d, const struct wy_row *row)
{
  struct wy_demand_row new = { 0 };
  json_t *doc;
  json_t *slots;

  if (row->deleted)
    {
      remove_row (d, row->key);
      return;
    }
  doc = json_loadb (row->value, row->size_bytes, 0, NULL);
  slots = json_object_get (doc, "slots");
  if (json_is_number (slots) && json_number_value (slots) >= 0
      && strlen (row->key) < sizeof new.model)
    {
      json_int_t priority
          = json_integer_value (json_object_get (doc, "priority"));
      json_int_t lag = json_integer_value (json_object_get (doc, "lag"));

      g_strlcpy (new.model, row->key, sizeof new.model);
      new.demand.slots = json_number_value (slots);
      new.demand.priority = (uint32_t)CLAMP (priority, 0, UINT32_MAX);
      new.lag = (uint32_t)CLAMP (lag, 0, LAG_MAX);
      new.interval_ms
          = json_number_value (json_object_get (doc, "interval_ms"));
      new.at_ms = json_integer_value (json_object_get (doc, "at_ms"));
      *place_for (d, new.model) = new;
    }
  json_decref (doc);
}

/* The value of ROW in the store.  The caller frees it.  */
char *
wy_demand_row_encode (const struct wy_demand_row *row)
{
  char slots[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (slots, sizeof slots, "%.2f", row->demand.slots);
  return g_strdup_printf (
      "{\"slots\":%s,\"priority\":%u,\"lag\":%u,\"interval_ms\":%lld,"
      "\"at_ms\":%lld}",
      slots, row->demand.priority, row->lag, (long long)row->interval_ms,
      (long long)row->at_ms);
}

/* The position of MODEL among the models of S; their number if it is not one
   of them.  */
uint32_t
wy_model_index (const struct wy_service *s, const char *model)
{
  guint i = 0;

  while (i < s->models->len
         && strcmp (g_ptr_array_index (s->models, i), model) != 0)
    i++;
  return i;
}

/* Store in OUT the shares of the models of S, which has REPLICAS that accept
   work.  STORE_NOW_MS is the store's clock at the last successful read: if the
   store is unreachable, the rows known then stay in force.  */
void
wy_model_shares_compute (const struct wy_demand_rows *d,
                         const struct wy_service *s, uint32_t replicas,
                         int64_t store_now_ms, struct wy_model_shares *out)
{
  struct wy_replica_shares_options o = { .demand = out->demand,
                                         .models = s->models->len,
                                         .replicas = replicas,
                                         .slots = s->slots,
                                         .min_replicas = 1 };

  memset (out, 0, sizeof *out);
  out->age_ms = -1;
  if (s->models->len < 2 || s->models->len > WY_REPLICA_MODELS_MAX)
    return;
  out->models = s->models->len;
  for (guint i = 0; i < s->models->len; i++)
    {
      const struct wy_demand_row *row
          = wy_demand_rows_find (d, g_ptr_array_index (s->models, i));
      int64_t age_ms = row ? MAX (store_now_ms - row->at_ms, 0) : -1;

      if (!row || age_ms > WY_DEMAND_VALID_MS)
        continue;
      out->demand[i] = row->demand;
      o.min_replicas = MAX (o.min_replicas, row->lag + 1);
      if (out->age_ms < 0 || age_ms < out->age_ms)
        out->age_ms = age_ms;
    }
  out->by_need = wy_replica_shares (&o, out->counts);
}

/* Whether the models have other replicas by A than by B.  */
bool
wy_model_shares_differ (const struct wy_model_shares *a,
                        const struct wy_model_shares *b)
{
  return a->models != b->models || a->by_need != b->by_need
         || memcmp (a->counts, b->counts, sizeof a->counts) != 0;
}

/* The counts of S separated by commas.  The caller frees it.  */
char *
wy_model_shares_counts (const struct wy_model_shares *s)
{
  GString *out = g_string_new (NULL);

  for (uint32_t i = 0; i < s->models; i++)
    g_string_append_printf (out, "%s%u", i ? "," : "", s->counts[i]);
  return g_string_free (out, FALSE);
}

/* Report the shares S of SERVICE, which has REPLICAS, and the demands that
   they are computed from.  */
void
wy_model_shares_log (const struct wy_model_shares *s, const char *service,
                     uint32_t replicas)
{
  char *counts = wy_model_shares_counts (s);
  GString *demands = g_string_new (NULL);

  for (uint32_t i = 0; i < s->models; i++)
    g_string_append_printf (demands, "%s%.1f/%u", i ? "," : "",
                            s->demand[i].slots, s->demand[i].priority);
  wy_json_log ("shares.changed",
               "service=%s by_need=%d counts=%s demands=%s replicas=%u "
               "age_ms=%lld",
               service, s->by_need, counts, demands->str, replicas,
               (long long)s->age_ms);
  g_free (counts);
  g_string_free (demands, TRUE);
}
