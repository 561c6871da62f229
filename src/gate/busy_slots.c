/* Busy slots of autoscaled services.  */
#include "gate/busy_slots.h"

#include <string.h>

enum
{
  KEY_SIZE_BYTES = 2 * WY_REPLICA_NAME_SIZE_BYTES
};

/* Weight of a new sample in the moving average; several samples are taken per
   second.  */
static const double smoothing = 0.1;
/* Smaller values are not reported.  */
static const double reported_min = 0.005;

static void
key_of (const char *service, const char *availability_zone,
        char out[KEY_SIZE_BYTES])
{
  g_snprintf (out, KEY_SIZE_BYTES, "%s/%s", service, availability_zone);
}

struct sample
{
  GHashTable *in_flight; /* double * by "service/zone" */
  const struct wy_gate_env *env;
};

static void
add_target (void *ctx, const struct wy_target *g)
{
  struct sample *s = ctx;
  const struct wy_service *v
      = wy_routing_service (s->env->routing, g->info.service);
  char key[KEY_SIZE_BYTES];
  double *n;

  if (!v || !v->is_autoscaled || !g->in_flight)
    return;
  key_of (g->info.service, g->info.availability_zone, key);
  n = g_hash_table_lookup (s->in_flight, key);
  if (!n)
    {
      n = g_new0 (double, 1);
      g_hash_table_insert (s->in_flight, g_strdup (key), n);
    }
  *n += g->in_flight;
}

/* Add a sample of the requests in flight to the moving averages in BUSY,
   double * by "service/zone".  */
void
wy_busy_slots_sample (GHashTable *busy, const struct wy_gate_env *env)
{
  struct sample s = { .env = env };
  GHashTableIter it;
  gpointer key;
  gpointer p;

  if (!env->routing || !wy_routing_has_autoscaled (env->routing))
    return;
  s.in_flight
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  wy_targets_each (env->targets, add_target, &s);
  g_hash_table_iter_init (&it, s.in_flight);
  while (g_hash_table_iter_next (&it, &key, &p))
    if (!g_hash_table_contains (busy, key))
      g_hash_table_insert (busy, g_strdup (key), g_new0 (double, 1));
  g_hash_table_iter_init (&it, busy);
  while (g_hash_table_iter_next (&it, &key, &p))
    {
      const double *n = g_hash_table_lookup (s.in_flight, key);
      double *average = p;

      *average += smoothing * ((n ? *n : 0) - *average);
    }
  g_hash_table_destroy (s.in_flight);
}

/* BUSY as JSON for the other entries; NULL: nothing to report.  */
json_t *
wy_busy_slots_encode (GHashTable *busy)
{
  json_t *doc = NULL;
  GHashTableIter it;
  gpointer key;
  gpointer p;

  g_hash_table_iter_init (&it, busy);
  while (g_hash_table_iter_next (&it, &key, &p))
    if (*(double *)p >= reported_min)
      {
        if (!doc)
          doc = json_object ();
        json_object_set_new (doc, key, json_real (*(double *)p));
      }
  return doc;
}

/* Busy slots of SERVICE in AVAILABILITY_ZONE that an entry has REPORTED, as
   encoded by wy_busy_slots_encode; REPORTED may be NULL.  */
double
wy_busy_slots_reported (const json_t *reported, const char *service,
                        const char *availability_zone)
{
  char key[KEY_SIZE_BYTES];

  key_of (service, availability_zone, key);
  return json_number_value (json_object_get (reported, key));
}

/* Busy slots of SERVICE in AVAILABILITY_ZONE in this entry's BUSY.  */
double
wy_busy_slots_local (GHashTable *busy, const char *service,
                     const char *availability_zone)
{
  char key[KEY_SIZE_BYTES];
  const double *n;

  key_of (service, availability_zone, key);
  n = g_hash_table_lookup (busy, key);
  return n ? *n : 0;
}
