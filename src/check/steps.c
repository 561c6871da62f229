/* Invariant "course": a step is submitted, fixed, delivered, trained on and
   acknowledged, and a version is published before it is loaded.  */
#include <string.h>

#include "check/incarnations.h"
#include "check/invariants.h"

/* A stage of a step and the one that must have come before it.  */
struct stage
{
  const char *name;
  const char *requires;
  const char *recorded_by; /* role; one that was killed may not have recorded
                              what is required */
};

static const struct stage stages[] = {
  { "step.fixed", "step.submitted", "entry" },
  { "step.handed", "step.fixed", "entry" },
  { "trainer.trained", "step.handed", "entry" },
  { "step.acked", "trainer.trained", "trainer" },
};

/* Each event of the stage S has the required event of the same step, at any
   time: one process may record a stage after another has acted on it.  */
static void
verify_stage (struct wy_check *c, const struct wy_incarnations *incarnations,
              const struct stage *s)
{
  GHashTable *before;

  if (!wy_check_has (c, s->requires)
      || wy_incarnations_role_killed (incarnations, s->recorded_by))
    return;
  before = wy_check_keys (c, s->requires, wy_check_step_key);
  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *key;

      if (!wy_event_is (e, s->name))
        continue;
      key = wy_check_step_key (e);
      if (!g_hash_table_contains (before, key))
        wy_check_violation (c, "course", e, NULL, "step %s: %s without %s",
                            key, s->name, s->requires);
      g_free (key);
    }
  g_hash_table_destroy (before);
}

/* One incarnation records an event NAME once for each key that KEY_OF
   gives.  */
static void
verify_recorded_once (struct wy_check *c, const char *name,
                      char *(*key_of) (const struct wy_event *e),
                      const char *what)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *one;
      char *incarnation_key;
      char *key;

      if (!wy_event_is (e, name))
        continue;
      one = key_of (e);
      incarnation_key = wy_event_incarnation (e);
      key = g_strdup_printf ("%s/%s", incarnation_key, one);
      if (g_hash_table_contains (seen, key))
        wy_check_violation (c, "course", g_hash_table_lookup (seen, key), e,
                            "%s %s: %s twice", what, one, name);
      g_hash_table_insert (seen, key, e);
      g_free (incarnation_key);
      g_free (one);
    }
  g_hash_table_destroy (seen);
}

static char *
sample_key (const struct wy_event *e)
{
  return g_strdup (wy_event_text (e, "sample"));
}

/* The samples in batches, from all events that list samples.  */
static GHashTable *
batch_samples (const struct wy_check *c)
{
  GHashTable *used
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      const struct wy_event *e = c->timeline->events->pdata[i];
      const json_t *list = json_object_get (e->fields, "samples");

      for (size_t k = 0; k < json_array_size (list); k++)
        g_hash_table_add (
            used, g_strdup (json_string_value (json_array_get (list, k))));
    }
  return used;
}

static bool
is_in (GHashTable *set, const struct wy_event *e)
{
  char *incarnation_key = wy_event_incarnation (e);
  bool found = g_hash_table_contains (set, incarnation_key);

  g_free (incarnation_key);
  return found;
}

/* A sample is either dropped or put into a batch, never both.  It may be
   neither if its sampler was killed or lost its lease: the sampler that takes
   over the step draws samples of its own.  */
static void
verify_samples (struct wy_check *c, const struct wy_incarnations *incarnations)
{
  GHashTable *dropped = wy_check_index (c, "sample.dropped", "sample");
  GHashTable *lost = wy_check_keys (c, "lease.lost", wy_event_incarnation);
  bool batches = wy_check_has (c, "step.fixed");
  GHashTable *used = batch_samples (c);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      const char *sample = wy_event_text (e, "sample");

      if (wy_event_is (e, "sample.dropped")
          && g_hash_table_contains (used, sample))
        wy_check_violation (c, "course", e, NULL,
                            "sample %s was dropped and is in a batch", sample);
      if (!batches || !wy_event_is (e, "sample.finished")
          || !wy_incarnations_stopped (incarnations, e) || is_in (lost, e))
        continue;
      if (!g_hash_table_contains (used, sample)
          && !wy_check_lookup (dropped, sample))
        wy_check_violation (c, "course", e, NULL,
                            "sample %s is in no batch and was not dropped",
                            sample);
    }
  g_hash_table_destroy (lost);
  g_hash_table_destroy (dropped);
  g_hash_table_destroy (used);
}

/* The versions that the events NAME have, as the set of the keys that KEY_OF
   gives.  */
static GHashTable *
versions_of (const struct wy_check *c, const char *name,
             char *(*key_of) (const struct wy_event *e, int64_t version))
{
  GHashTable *set
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      const struct wy_event *e = c->timeline->events->pdata[i];

      if (wy_event_is (e, name))
        g_hash_table_add (set, key_of (e, wy_event_number (e, "version", -1)));
    }
  return set;
}

static char *
anywhere (const struct wy_event *e, int64_t version)
{
  return g_strdup_printf ("%" G_GINT64_FORMAT, version);
}

static char *
at_process (const struct wy_event *e, int64_t version)
{
  return g_strdup_printf ("%s/%s/%" G_GINT64_FORMAT, e->process,
                          e->incarnation, version);
}

/* An agent knows the incarnation of its engine, but not always its name, so
   the key has no name.  */
static char *
at_engine (const struct wy_event *e, int64_t version)
{
  return g_strdup_printf ("%s/%" G_GINT64_FORMAT, e->incarnation, version);
}

static char *
at_target (const struct wy_event *e, int64_t version)
{
  return g_strdup_printf ("%s/%" G_GINT64_FORMAT,
                          wy_event_text (e, "target_inc"), version);
}

static void
require_version (struct wy_check *c, GHashTable *set, char *key,
                 struct wy_event *e, const char *what)
{
  if (!g_hash_table_contains (set, key))
    wy_check_violation (c, "course", e, NULL, "version %s %s", key, what);
  g_free (key);
}

/* Whether VERSION is the one that the engine of E started with.  It need not
   be published.  */
static bool
is_initial_version (GHashTable *started, const struct wy_event *e,
                    int64_t version)
{
  char *incarnation_key = wy_event_incarnation (e);
  char *own = at_process (e, version);
  bool first = g_hash_table_add (started, incarnation_key);

  if (first)
    g_hash_table_add (started, g_strdup (own));
  first = first || g_hash_table_contains (started, own);
  g_free (own);
  return first;
}

static void
verify_run_versions (struct wy_check *c, GHashTable *reported,
                     struct wy_event *e)
{
  const json_t *segments = json_object_get (e->fields, "segments");

  for (size_t i = 0; i < json_array_size (segments); i++)
    require_version (
        c, reported,
        at_process (e, json_integer_value (json_object_get (
                           json_array_get (segments, i), "version"))),
        e, "produced text and was never reported");
}

/* Engines load published versions, agents report the versions that their
   engine loaded, and runs name versions that their agent reported.  */
static void
verify_versions (struct wy_check *c,
                 const struct wy_incarnations *incarnations)
{
  GHashTable *published = versions_of (c, "version.published", anywhere);
  GHashTable *loaded = versions_of (c, "engine.version", at_engine);
  GHashTable *reported = versions_of (c, "target.version", at_process);
  GHashTable *started
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool killed = wy_incarnations_role_killed (incarnations, "entry");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      int64_t version = wy_event_number (e, "version", -1);

      if (wy_event_is (e, "engine.version")
          && !is_initial_version (started, e, version) && !killed)
        require_version (c, published, anywhere (e, version), e,
                         "was loaded and never published");
      else if (wy_event_is (e, "target.version"))
        require_version (c, loaded, at_target (e, version), e,
                         "was reported and never loaded");
      else if (wy_event_is (e, "run.end"))
        verify_run_versions (c, reported, e);
    }
  g_hash_table_destroy (started);
  g_hash_table_destroy (reported);
  g_hash_table_destroy (loaded);
  g_hash_table_destroy (published);
}

void
wy_verify_course (struct wy_check *c)
{
  struct wy_incarnations *incarnations = wy_incarnations_new (c->timeline);

  for (size_t i = 0; i < G_N_ELEMENTS (stages); i++)
    verify_stage (c, incarnations, &stages[i]);
  verify_recorded_once (c, "step.fixed", wy_check_step_key, "step");
  verify_recorded_once (c, "sample.finished", sample_key, "sample");
  verify_recorded_once (c, "sample.dropped", sample_key, "sample");
  verify_samples (c, incarnations);
  verify_versions (c, incarnations);
  wy_incarnations_free (incarnations);
}
