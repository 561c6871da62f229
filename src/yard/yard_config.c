/* Applies the configuration: creates and removes yards, samplers and
   rollouts.  */
#include <string.h>

#include "yard/step_row.h"
#include "yard/yard_state.h"

static struct wy_one_yard *
find_or_add (struct wy_yard *y, const struct wy_yard_config *c)
{
  struct wy_one_yard *x = g_hash_table_lookup (y->yards, c->name);

  if (x)
    return x;
  x = g_new0 (struct wy_one_yard, 1);
  x->owner = y;
  x->name = g_strdup (c->name);
  x->current_key = wy_key_current (c->name);
  x->scorer = wy_scorer_new (&y->env, c->scoring);
  x->samplers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       wy_yard_free_sampler);
  g_hash_table_insert (y->yards, x->name, x);
  return x;
}

static void
configure_trainer (struct wy_one_yard *x, const struct wy_yard_config *c,
                   const struct wy_trainer_config *t)
{
  struct wy_sampler *s = g_hash_table_lookup (x->samplers, t->name);
  const struct wy_sampler_options o = { .env = &x->owner->env,
                                        .scorer = x->scorer,
                                        .version = &x->version,
                                        .yard = c,
                                        .trainer = t,
                                        .on_version = wy_yard_set_version,
                                        .ctx = x };

  if (s)
    wy_sampler_configure (s, c, t);
  else
    g_hash_table_insert (x->samplers, g_strdup (t->name), wy_sampler_new (&o));
}

static gboolean
trainer_is_removed (gpointer name, gpointer sampler, gpointer config)
{
  return !config || !wy_yard_config_trainer (config, name);
}

static void
configure_yard (struct wy_yard *y, const struct wy_yard_config *c)
{
  struct wy_one_yard *x = find_or_add (y, c);

  x->configured = true;
  x->bound = c->staleness_bound;
  x->version.trainers = c->trainers->len;
  g_free (x->model);
  x->model = g_strdup (c->model);
  wy_scorer_configure (x->scorer, c->scoring);
  g_hash_table_foreach_remove (x->samplers, trainer_is_removed, (gpointer)c);
  for (guint i = 0; i < c->trainers->len; i++)
    configure_trainer (x, c, c->trainers->pdata[i]);
  if (y->env.o.orderer && !g_hash_table_contains (y->rollouts, c->model))
    {
      const struct wy_rollout_options o
          = { .env = &y->env, .model = c->model };

      g_hash_table_insert (y->rollouts, g_strdup (c->model),
                           wy_rollout_new (&o));
    }
}

static gboolean
model_is_unused (gpointer model, gpointer rollout, gpointer document)
{
  const struct wy_document *d = document;

  for (guint i = 0; i < d->yards->len; i++)
    if (!strcmp (((struct wy_yard_config *)d->yards->pdata[i])->model, model))
      return FALSE;
  return TRUE;
}

/* Apply D, which is read only during the call.  */
void
wy_yard_configure (struct wy_yard *y, const struct wy_document *d)
{
  GHashTableIter i;
  gpointer p;

  if (y->stopped)
    return;
  g_hash_table_iter_init (&i, y->yards);
  while (g_hash_table_iter_next (&i, NULL, &p))
    ((struct wy_one_yard *)p)->configured = false;
  for (guint k = 0; k < d->yards->len; k++)
    configure_yard (y, d->yards->pdata[k]);
  g_hash_table_iter_init (&i, y->yards);
  while (g_hash_table_iter_next (&i, NULL, &p))
    if (!((struct wy_one_yard *)p)->configured)
      g_hash_table_foreach_remove (((struct wy_one_yard *)p)->samplers,
                                   trainer_is_removed, NULL);
  g_hash_table_foreach_remove (y->rollouts, model_is_unused, (gpointer)d);
}
