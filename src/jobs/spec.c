/* A job as submitted by its trainer.  */
#include "jobs/spec.h"

static void
free_scorer (struct wy_scorer_spec *s)
{
  if (!s)
    return;
  g_free (s->id);
  g_free (s->host);
  g_free (s->path);
  g_free (s->body);
  g_free (s);
}

static void
free_item (gpointer p)
{
  struct wy_item_spec *i = p;

  for (guint f = 0; f < i->fields->len; f++)
    {
      struct wy_h1_header *pair
          = &g_array_index (i->fields, struct wy_h1_header, f);

      g_free ((char *)pair->name);
      g_free ((char *)pair->value);
    }
  g_array_free (i->fields, TRUE);
  g_free (i->id);
  g_free (i->path);
  g_free (i->group);
  g_free (i->body);
  free_scorer (i->scorer);
  g_free (i);
}

/* Return an empty job.  */
struct wy_job_spec *
wy_job_spec_new (void)
{
  struct wy_job_spec *s = g_new0 (struct wy_job_spec, 1);

  s->items = g_ptr_array_new_with_free_func (free_item);
  return s;
}

/* Add an empty item to S and return it.  */
struct wy_item_spec *
wy_job_spec_add (struct wy_job_spec *s)
{
  struct wy_item_spec *i = g_new0 (struct wy_item_spec, 1);

  i->fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  g_ptr_array_add (s->items, i);
  return i;
}

/* Free S, which may be NULL.  */
void
wy_job_spec_free (struct wy_job_spec *s)
{
  if (!s)
    return;
  g_ptr_array_free (s->items, TRUE);
  g_free (s->model);
  g_free (s);
}
