/* Invariants on the course of steps and versions: submitted, fixed, handed
   out, trained on, acknowledged; published before they are loaded.  */
#include <string.h>

#include "check/incarnations.h"
#include "check/invariants.h"

/* A stage of a step and the one that must have come before it.  */
struct stage
{
  const char *name;
  const char *needs;
  const char *noted_by; /* a killed one may not have noted what is needed */
};

static const struct stage stages[] = {
  { "step.fixed", "step.submitted", "entry" },
  { "step.handed", "step.fixed", "entry" },
  { "trainer.trained", "step.handed", "entry" },
  { "step.acked", "trainer.trained", "trainer" },
};

/* Its place in the order is not looked at: one process may note a stage after
   another has acted on it.  */
static void
verify_stage (struct wy_check *c, const struct wy_lives *lives,
              const struct stage *s)
{
  GHashTable *before;

  if (!wy_check_has (c, s->needs) || wy_lives_any_killed (lives, s->noted_by))
    return;
  before = wy_check_keys (c, s->needs, wy_check_step);
  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *key;

      if (!wy_event_is (e, s->name))
        continue;
      key = wy_check_step (e);
      if (!g_hash_table_contains (before, key))
        wy_check_violation (c, "course", e, NULL, "step %s: %s without %s",
                            key, s->name, s->needs);
      g_free (key);
    }
  g_hash_table_destroy (before);
}

/* An event NAME that one incarnation notes once for each KEY.  */
static void
verify_once (struct wy_check *c, const char *name,
             char *(*key_of) (const struct wy_event *e), const char *what)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *one;
      char *life;
      char *key;

      if (!wy_event_is (e, name))
        continue;
      one = key_of (e);
      life = wy_event_life (e);
      key = g_strdup_printf ("%s/%s", life, one);
      if (g_hash_table_contains (seen, key))
        wy_check_violation (c, "course", g_hash_table_lookup (seen, key), e,
                            "%s %s: %s twice", what, one, name);
      g_hash_table_insert (seen, key, e);
      g_free (life);
      g_free (one);
    }
  g_hash_table_destroy (seen);
}

static char *
sample_key (const struct wy_event *e)
{
  return g_strdup (wy_event_text (e, "sample"));
}

/* Samples in batches, by the events that tell of batches.  */
static GHashTable *
used_samples (const struct wy_check *c)
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
  char *life = wy_event_life (e);
  bool found = g_hash_table_contains (set, life);

  g_free (life);
  return found;
}

/* A sample is dropped or goes into a batch, never both; and one of the two,
   unless its sampler was killed or lost its lease: who takes the step over has
   samples of its own.  */
static void
verify_samples (struct wy_check *c, const struct wy_lives *lives)
{
  GHashTable *dropped = wy_check_index (c, "sample.dropped", "sample");
  GHashTable *lost = wy_check_keys (c, "lease.lost", wy_event_life);
  bool batches = wy_check_has (c, "step.fixed");
  GHashTable *used = used_samples (c);

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      const char *sample = wy_event_text (e, "sample");

      if (wy_event_is (e, "sample.dropped")
          && g_hash_table_contains (used, sample))
        wy_check_violation (c, "course", e, NULL,
                            "sample %s was dropped and is in a batch", sample);
      if (!batches || !wy_event_is (e, "sample.finished")
          || !wy_lives_ended (lives, e) || is_in (lost, e))
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

/* Versions that the events NAME tell of, by what KEY_OF makes of them.  */
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

/* An engine's incarnation is known to its agent, its name need not be.  */
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
need (struct wy_check *c, GHashTable *set, char *key, struct wy_event *e,
      const char *what)
{
  if (!g_hash_table_contains (set, key))
    wy_check_violation (c, "course", e, NULL, "version %s %s", key, what);
  g_free (key);
}

/* The version that an engine starts with is nobody's to publish.  */
static bool
is_first (GHashTable *started, const struct wy_event *e, int64_t version)
{
  char *life = wy_event_life (e);
  char *own = at_process (e, version);
  bool first = g_hash_table_add (started, life);

  if (first)
    g_hash_table_add (started, g_strdup (own));
  first = first || g_hash_table_contains (started, own);
  g_free (own);
  return first;
}

static void
verify_run_versions (struct wy_check *c, GHashTable *told, struct wy_event *e)
{
  const json_t *segments = json_object_get (e->fields, "segments");

  for (size_t i = 0; i < json_array_size (segments); i++)
    need (c, told,
          at_process (e, json_integer_value (json_object_get (
                             json_array_get (segments, i), "version"))),
          e, "made text and was never told of");
}

/* Engines load what was published, agents tell of what their engine loaded,
   and runs name what their agent told of.  */
static void
verify_versions (struct wy_check *c, const struct wy_lives *lives)
{
  GHashTable *published = versions_of (c, "version.published", anywhere);
  GHashTable *loaded = versions_of (c, "engine.version", at_engine);
  GHashTable *told = versions_of (c, "target.version", at_process);
  GHashTable *started
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool killed = wy_lives_any_killed (lives, "entry");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      int64_t version = wy_event_number (e, "version", -1);

      if (wy_event_is (e, "engine.version") && !is_first (started, e, version)
          && !killed)
        need (c, published, anywhere (e, version), e,
              "was loaded and never published");
      else if (wy_event_is (e, "target.version"))
        need (c, loaded, at_target (e, version), e,
              "was told of and never loaded");
      else if (wy_event_is (e, "run.end"))
        verify_run_versions (c, told, e);
    }
  g_hash_table_destroy (started);
  g_hash_table_destroy (told);
  g_hash_table_destroy (loaded);
  g_hash_table_destroy (published);
}

void
wy_verify_course (struct wy_check *c)
{
  struct wy_lives *lives = wy_lives_new (c->timeline);

  for (size_t i = 0; i < G_N_ELEMENTS (stages); i++)
    verify_stage (c, lives, &stages[i]);
  verify_once (c, "step.fixed", wy_check_step, "step");
  verify_once (c, "sample.finished", sample_key, "sample");
  verify_once (c, "sample.dropped", sample_key, "sample");
  verify_samples (c, lives);
  verify_versions (c, lives);
  wy_lives_free (lives);
}
