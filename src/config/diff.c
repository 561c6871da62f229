/* Changes between two configuration documents and their effects, as lines that
   an operator reads before applying.  */
#include <string.h>

#include "config/document.h"

static void add (GPtrArray *out, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
add (GPtrArray *out, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  g_ptr_array_add (out, g_strdup_vprintf (fmt, ap));
  va_end (ap);
}

static bool
contains (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (!strcmp (names->pdata[i], name))
      return true;
  return false;
}

static void
diff_models (const struct wy_document *a, const struct wy_document *b,
             GPtrArray *changes, GPtrArray *effects)
{
  for (guint i = 0; i < b->models->len; i++)
    {
      const struct wy_model_config *m = b->models->pdata[i];
      if (!wy_document_model (a, m->name))
        add (changes, "+ model %s", m->name);
    }
  for (guint i = 0; i < a->models->len; i++)
    {
      const struct wy_model_config *m = a->models->pdata[i];
      if (wy_document_model (b, m->name))
        continue;
      add (changes, "- model %s", m->name);
      add (effects, "requests for model %s are rejected without being run",
           m->name);
    }
}

static void
diff_members (const struct wy_service_config *a,
              const struct wy_service_config *b, GPtrArray *changes,
              GPtrArray *effects)
{
  guint n = changes->len;

  for (guint i = 0; i < b->members->len; i++)
    if (!contains (a->members, b->members->pdata[i]))
      add (changes, "+ service %s member %s", b->name,
           (char *)b->members->pdata[i]);
  for (guint i = 0; i < a->members->len; i++)
    if (!contains (b->members, a->members->pdata[i]))
      add (changes, "- service %s member %s", b->name,
           (char *)a->members->pdata[i]);
  if (changes->len > n)
    add (effects,
         "non-idempotent requests for service %s use the old members until "
         "all processes have the new ones",
         b->name);
}

static void
diff_services (const struct wy_document *a, const struct wy_document *b,
               GPtrArray *changes, GPtrArray *effects)
{
  for (guint i = 0; i < b->services->len; i++)
    {
      const struct wy_service_config *s = b->services->pdata[i];
      const struct wy_service_config *old = wy_document_service (a, s->name);

      if (old)
        diff_members (old, s, changes, effects);
      else
        add (changes, "+ service %s, %u members", s->name, s->members->len);
    }
  for (guint i = 0; i < a->services->len; i++)
    {
      const struct wy_service_config *s = a->services->pdata[i];
      if (wy_document_service (b, s->name))
        continue;
      add (changes, "- service %s", s->name);
      add (effects, "requests for service %s are rejected without being run",
           s->name);
    }
}

static void
diff_trainers (const struct wy_yard_config *a, const struct wy_yard_config *b,
               GPtrArray *changes, GPtrArray *effects)
{
  for (guint i = 0; i < b->trainers->len; i++)
    {
      const struct wy_trainer_config *t = b->trainers->pdata[i];
      const struct wy_trainer_config *old
          = wy_yard_config_trainer (a, t->name);

      if (!old)
        add (changes, "+ yard %s trainer %s worth %g", b->name, t->name,
             t->worth);
      else if (old->worth != t->worth)
        {
          add (changes, "~ yard %s trainer %s worth %g -> %g", b->name,
               t->name, old->worth, t->worth);
          add (effects, "shares of the engines of model %s change", b->model);
        }
    }
  for (guint i = 0; i < a->trainers->len; i++)
    {
      const struct wy_trainer_config *t = a->trainers->pdata[i];
      if (wy_yard_config_trainer (b, t->name))
        continue;
      add (changes, "- yard %s trainer %s", b->name, t->name);
      add (effects,
           "running samples of trainer %s are cancelled; its committed "
           "batches can no longer be read",
           t->name);
    }
}

static void
diff_yard (const struct wy_yard_config *a, const struct wy_yard_config *b,
           GPtrArray *changes, GPtrArray *effects)
{
  static const char *const weighs[] = { "staleness", "idle" };

  if (strcmp (a->model, b->model) != 0)
    {
      add (changes, "~ yard %s model %s -> %s", b->name, a->model, b->model);
      add (effects, "unfinished steps of yard %s are sampled again", b->name);
    }
  if (a->weighs != b->weighs)
    add (changes, "~ yard %s weighs %s -> %s", b->name, weighs[a->weighs],
         weighs[b->weighs]);
  if (a->staleness_bound != b->staleness_bound)
    {
      add (changes, "~ yard %s staleness_bound %u -> %u", b->name,
           a->staleness_bound, b->staleness_bound);
      add (effects, "steps of yard %s submitted from now on use the new bound",
           b->name);
    }
  if (strcmp (a->scoring, b->scoring) != 0)
    add (changes, "~ yard %s scoring %s -> %s", b->name, a->scoring,
         b->scoring);
  diff_trainers (a, b, changes, effects);
}

static void
diff_yards (const struct wy_document *a, const struct wy_document *b,
            GPtrArray *changes, GPtrArray *effects)
{
  for (guint i = 0; i < b->yards->len; i++)
    {
      const struct wy_yard_config *y = b->yards->pdata[i];
      const struct wy_yard_config *old = wy_document_yard (a, y->name);

      if (old)
        diff_yard (old, y, changes, effects);
      else
        add (changes, "+ yard %s, model %s, %u trainers", y->name, y->model,
             y->trainers->len);
    }
  for (guint i = 0; i < a->yards->len; i++)
    {
      const struct wy_yard_config *y = a->yards->pdata[i];
      if (wy_document_yard (b, y->name))
        continue;
      add (changes, "- yard %s", y->name);
      add (effects, "all samples of yard %s are cancelled", y->name);
    }
}

static void
diff_names (const GPtrArray *a, const GPtrArray *b, const char *what,
            const char *set, const char *unset, GPtrArray *changes,
            GPtrArray *effects)
{
  for (guint i = 0; i < b->len; i++)
    if (!contains (a, b->pdata[i]))
      {
        add (changes, "+ %s %s", what, (char *)b->pdata[i]);
        add (effects, set, (char *)b->pdata[i]);
      }
  for (guint i = 0; i < a->len; i++)
    if (!contains (b, a->pdata[i]))
      {
        add (changes, "- %s %s", what, (char *)a->pdata[i]);
        add (effects, unset, (char *)a->pdata[i]);
      }
}

/* Append the differences of AFTER from BEFORE to CHANGES, one line each, and
   their effects to EFFECTS.  The caller owns the strings.  */
void
wy_document_diff (const struct wy_document *before,
                  const struct wy_document *after, GPtrArray *changes,
                  GPtrArray *effects)
{
  diff_models (before, after, changes, effects);
  diff_services (before, after, changes, effects);
  diff_yards (before, after, changes, effects);
  diff_names (before->drained, after->drained, "drained",
              "target %s accepts no new work and completes what it runs",
              "target %s accepts work again", changes, effects);
  diff_names (before->unblocked, after->unblocked, "unblocked",
              "requests with fingerprint %s may run again",
              "fingerprint %s is blocked again when it crashes targets",
              changes, effects);
}
