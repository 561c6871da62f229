/* Slots of scaled services that an entry keeps busy.  */
#include "gate/busy_slots.h"

#include <string.h>

enum
{
  NAME_SIZE_BYTES = 2 * WY_REPLICA_NAME_SIZE_BYTES
};

/* Weight of a new sample; samples are taken some times a second.  */
static const double sample_weight = 0.1;
/* Less than this is not told of.  */
static const double least_told = 0.005;

static void
name_of (const char *service, const char *availability_zone,
         char out[NAME_SIZE_BYTES])
{
  g_snprintf (out, NAME_SIZE_BYTES, "%s/%s", service, availability_zone);
}

struct sample
{
  GHashTable *now; /* double * */
  const struct wy_gate_env *env;
};

static void
add_target (void *ctx, const struct wy_target *g)
{
  struct sample *s = ctx;
  const struct wy_service *v
      = wy_routing_service (s->env->routing, g->info.service);
  char name[NAME_SIZE_BYTES];
  double *n;

  if (!v || !v->is_autoscaled || !g->in_flight)
    return;
  name_of (g->info.service, g->info.availability_zone, name);
  n = g_hash_table_lookup (s->now, name);
  if (!n)
    {
      n = g_new0 (double, 1);
      g_hash_table_insert (s->now, g_strdup (name), n);
    }
  *n += g->in_flight;
}

/* Take a sample of the requests in progress into BUSY (double * by name).  */
void
wy_busy_sample (GHashTable *busy, const struct wy_gate_env *env)
{
  struct sample s = { .env = env };
  GHashTableIter it;
  gpointer name;
  gpointer p;

  if (!env->routing || !wy_routing_has_scaled (env->routing))
    return;
  s.now = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  wy_targets_each (env->targets, add_target, &s);
  g_hash_table_iter_init (&it, s.now);
  while (g_hash_table_iter_next (&it, &name, &p))
    if (!g_hash_table_contains (busy, name))
      g_hash_table_insert (busy, g_strdup (name), g_new0 (double, 1));
  g_hash_table_iter_init (&it, busy);
  while (g_hash_table_iter_next (&it, &name, &p))
    {
      const double *n = g_hash_table_lookup (s.now, name);
      double *smoothed = p;

      *smoothed += sample_weight * ((n ? *n : 0) - *smoothed);
    }
  g_hash_table_destroy (s.now);
}

/* BUSY for the other entries; NULL: nothing to tell.  */
json_t *
wy_busy_encode (GHashTable *busy)
{
  json_t *doc = NULL;
  GHashTableIter it;
  gpointer name;
  gpointer p;

  g_hash_table_iter_init (&it, busy);
  while (g_hash_table_iter_next (&it, &name, &p))
    if (*(double *)p >= least_told)
      {
        if (!doc)
          doc = json_object ();
        json_object_set_new (doc, name, json_real (*(double *)p));
      }
  return doc;
}

/* What an entry has TOLD, NULL for nothing, of SERVICE in AVAILABILITY_ZONE.
 */
double
wy_busy_of (const json_t *told, const char *service,
            const char *availability_zone)
{
  char name[NAME_SIZE_BYTES];

  name_of (service, availability_zone, name);
  return json_number_value (json_object_get (told, name));
}

/* The same of this entry's BUSY.  */
double
wy_busy_here (GHashTable *busy, const char *service,
              const char *availability_zone)
{
  char name[NAME_SIZE_BYTES];
  const double *n;

  name_of (service, availability_zone, name);
  n = g_hash_table_lookup (busy, name);
  return n ? *n : 0;
}
