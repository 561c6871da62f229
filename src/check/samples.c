/* Invariants on samples: attribution, staleness, delivery.  */
#include <string.h>

#include "check/invariants.h"

/* Whether SEGMENTS cover the tokens from 0 on without a gap.  */
static bool
contiguous (const json_t *segments)
{
  json_int_t next = 0;
  size_t i;
  json_t *s;

  if (!json_is_array (segments) || json_array_size (segments) == 0)
    return false;
  json_array_foreach (segments, i, s)
  {
    json_int_t from = json_integer_value (json_object_get (s, "from"));
    json_int_t to = json_integer_value (json_object_get (s, "to"));

    if (from != next || to < from)
      return false;
    next = to;
  }
  return true;
}

/* Each finished sample is compared with what the engine recorded of the run,
   or what the agent recorded where the engine keeps no record.  */
void
wy_verify_attribution (struct wy_check *c)
{
  const char *recorded_name
      = wy_check_has (c, "engine.run") ? "engine.run" : "run.end";
  GHashTable *recorded = wy_check_index (c, recorded_name, "run");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      json_t *segments;
      GPtrArray *runs;

      if (!wy_event_is (e, "sample.finished"))
        continue;
      segments = json_object_get (e->fields, "segments");
      runs = wy_check_lookup (recorded, wy_event_text (e, "run"));
      if (!contiguous (segments))
        wy_check_violation (c, "attribution", e, NULL,
                            "sample %s has gaps in its segments",
                            wy_event_text (e, "sample"));
      else if (!runs)
        wy_check_violation (c, "attribution", e, NULL,
                            "sample %s comes from a run that was not recorded",
                            wy_event_text (e, "sample"));
      else
        {
          /* A run that moved is recorded by both engines; the last record is
             complete.  */
          struct wy_event *last = runs->pdata[runs->len - 1];
          if (!json_equal (segments,
                           json_object_get (last->fields, "segments")))
            wy_check_violation (
                c, "attribution", e, last,
                "sample %s names other versions than produced it",
                wy_event_text (e, "sample"));
        }
    }
  g_hash_table_destroy (recorded);
}

static json_int_t
oldest_version (const struct wy_event *finished)
{
  json_t *segments = json_object_get (finished->fields, "segments");
  json_int_t oldest = INT64_MAX;
  size_t i;
  json_t *s;

  json_array_foreach (segments, i, s)
  {
    json_int_t v = json_integer_value (json_object_get (s, "version"));
    if (v < oldest)
      oldest = v;
  }
  return oldest;
}

static void
verify_age (struct wy_check *c, GHashTable *finished,
            const struct wy_event *batch)
{
  int64_t oldest = wy_event_number (batch, "oldest", INT64_MIN);
  int64_t current = wy_event_number (batch, "current", INT64_MAX);
  int64_t bound = wy_event_number (batch, "bound", -1);
  json_int_t true_oldest = INT64_MAX;
  size_t i;
  json_t *id;

  if (bound < 0 || oldest == INT64_MIN || current == INT64_MAX)
    {
      wy_check_violation (c, "staleness", batch, NULL,
                          "a batch names no versions or no staleness bound");
      return;
    }
  json_array_foreach (json_object_get (batch->fields, "samples"), i, id)
  {
    GPtrArray *f = wy_check_lookup (finished, json_string_value (id));
    json_int_t v;

    if (!f)
      continue; /* the delivery invariant reports it */
    v = oldest_version (f->pdata[f->len - 1]);
    if (v < true_oldest)
      true_oldest = v;
  }
  if (true_oldest != INT64_MAX && true_oldest < oldest)
    wy_check_violation (c, "staleness", batch, NULL,
                        "a batch contains version %" JSON_INTEGER_FORMAT
                        " and names %" G_GINT64_FORMAT " as its oldest",
                        true_oldest, oldest);
  if (current - oldest > bound)
    wy_check_violation (c, "staleness", batch, NULL,
                        "version %" G_GINT64_FORMAT " is used at version "
                        "%" G_GINT64_FORMAT
                        ", staleness bound %" G_GINT64_FORMAT,
                        oldest, current, bound);
}

/* Highest version published for YARD before the timestamp HLC; 0 for none.  */
static int64_t
published_before (struct wy_check *c, const char *yard, uint64_t hlc)
{
  int64_t highest = 0;

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      const struct wy_event *e = c->timeline->events->pdata[i];
      int64_t v;

      if (e->hlc >= hlc)
        break;
      if (!wy_event_is (e, "version.published")
          || strcmp (wy_event_text (e, "yard"), yard) != 0)
        continue;
      v = wy_event_number (e, "version", 0);
      if (v > highest)
        highest = v;
    }
  return highest;
}

/* A batch is within its staleness bound when it is fixed, each time it is
   delivered, and when it is trained on.  The trainer's own record is compared
   with the versions published by then, not with what the batch names.  */
void
wy_verify_staleness (struct wy_check *c)
{
  GHashTable *finished = wy_check_index (c, "sample.finished", "sample");
  GHashTable *bounds = wy_check_index (c, "step.fixed", "trainer");

  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];

      if (wy_event_is (e, "step.fixed") || wy_event_is (e, "step.handed"))
        verify_age (c, finished, e);
      if (wy_event_is (e, "trainer.trained"))
        {
          GPtrArray *f
              = wy_check_lookup (bounds, wy_event_text (e, "trainer"));
          int64_t bound
              = f ? wy_event_number (f->pdata[0], "bound", -1) : INT64_MAX;
          int64_t at = wy_event_number (
              e, "version",
              published_before (c, wy_event_text (e, "yard"), e->hlc));

          if (at - wy_event_number (e, "oldest", at) > bound)
            wy_check_violation (
                c, "staleness", e, NULL,
                "trained on a sample beyond the staleness bound");
        }
    }
  g_hash_table_destroy (bounds);
  g_hash_table_destroy (finished);
}

static bool
same_samples (const struct wy_event *a, const struct wy_event *b)
{
  return json_equal (json_object_get (a->fields, "samples"),
                     json_object_get (b->fields, "samples"));
}

/* Enter each sample of the batch E in OWNERS.  One that a step has already is
   a violation.  */
static void
assign_samples (struct wy_check *c, GHashTable *owners, struct wy_event *e)
{
  char *step = wy_check_step_key (e);
  size_t i;
  json_t *id;

  json_array_foreach (json_object_get (e->fields, "samples"), i, id)
  {
    const char *sample = json_string_value (id);
    const char *owner = sample ? g_hash_table_lookup (owners, sample) : NULL;

    if (owner)
      wy_check_violation (c, "delivery", e, NULL,
                          "sample %s is in batches twice, first in step %s",
                          sample, owner);
    else if (sample)
      g_hash_table_insert (owners, g_strdup (sample), g_strdup (step));
  }
  g_free (step);
}

struct batches
{
  GHashTable *owners;  /* sample -> step */
  GHashTable *fixed;   /* step -> event */
  GHashTable *trained; /* step -> event */
  GHashTable *finished;
};

static void
verify_fixed (struct wy_check *c, struct batches *b, struct wy_event *e)
{
  char *step = wy_check_step_key (e);
  struct wy_event *before = g_hash_table_lookup (b->fixed, step);
  size_t i;
  json_t *id;

  if (before)
    {
      /* A sampler that lost the response to its commit may record the same
         batch again.  */
      if (!same_samples (before, e))
        wy_check_violation (c, "delivery", before, e,
                            "step %s was fixed twice with different samples",
                            step);
      g_free (step);
      return;
    }
  assign_samples (c, b->owners, e);
  json_array_foreach (
      json_object_get (e->fields, "samples"), i,
      id) if (!json_string_value (id)
              || !wy_check_lookup (b->finished, json_string_value (id)))
      wy_check_violation (c, "delivery", e, NULL,
                          "step %s contains a sample that never finished",
                          step);
  g_hash_table_insert (b->fixed, step, e);
}

static void
verify_delivered (struct wy_check *c, struct batches *b, struct wy_event *e)
{
  char *step = wy_check_step_key (e);
  struct wy_event *fixed = g_hash_table_lookup (b->fixed, step);
  bool trained = wy_event_is (e, "trainer.trained");

  if (fixed && !same_samples (fixed, e))
    wy_check_violation (c, "delivery", fixed, e,
                        "step %s was delivered with other samples than it was "
                        "fixed with",
                        step);
  if (trained && g_hash_table_contains (b->trained, step))
    wy_check_violation (c, "delivery", g_hash_table_lookup (b->trained, step),
                        e, "step %s was trained on twice", step);
  if (trained)
    g_hash_table_insert (b->trained, g_strdup (step), e);
  g_free (step);
}

/* A step has one batch, which every delivery and the trainer's own record
   name, and no sample is in two batches.  A sampler that was killed after its
   transaction may not have recorded step.fixed, and another process delivers
   the batch.  The first delivery of a step without step.fixed therefore counts
   as step.fixed.  */
void
wy_verify_delivery (struct wy_check *c)
{
  struct batches b
      = { g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
          wy_check_index (c, "sample.finished", "sample") };

  for (guint i = 0; i < c->timeline->events->len; i++)
    if (wy_event_is (c->timeline->events->pdata[i], "step.fixed"))
      verify_fixed (c, &b, c->timeline->events->pdata[i]);
  for (guint i = 0; i < c->timeline->events->len; i++)
    {
      struct wy_event *e = c->timeline->events->pdata[i];
      char *step;

      if (!wy_event_is (e, "step.handed")
          && !wy_event_is (e, "trainer.trained"))
        continue;
      step = wy_check_step_key (e);
      if (g_hash_table_contains (b.fixed, step))
        verify_delivered (c, &b, e);
      else
        verify_fixed (c, &b, e);
      g_free (step);
    }
  g_hash_table_destroy (b.owners);
  g_hash_table_destroy (b.fixed);
  g_hash_table_destroy (b.trained);
  g_hash_table_destroy (b.finished);
}
