/* Plan of a job that can't end in time.

   A trainer submits a job of 20 groups of 16 items, or so, every few seconds;
   each group that is complete when the results are due counts by itself.  If
   the items start longest first over the whole job, all groups become complete
   together at its end: a job with 15 % more work than its slots can do in time
   has no group on time.  So if the work exceeds the time left, the groups with
   the least work are selected until the time is filled, and their items go
   before all others.

   Expected lengths are right only at the median, so a running item may turn
   out long and the sum of the work changes all the time.  A group that was
   selected and has begun stays selected: the slot time that it took would be
   lost if its last items gave way to another group.  */
#include "decide/item_order.h"

#include <glib.h>

/* Fraction of the time left that the expected work may fill: items that take
   longer than expected and the listing of results need the rest.  */
static const double fill_max = 0.9;
/* The same for a job that did not fit before, so that it doesn't change its
   order each time its work varies by some percent.  */
static const double fill_max_after_plan = 0.7;

/* Items of selected groups that need more than this fraction of the time left
   start before all others, longest first.  The rest starts group by group, so
   that if the work turns out larger than expected, or another job takes slots,
   only the last groups are late; if all were mixed, all would end
   together.  */
static const double urgent_min = 0.4;

struct group_state
{
  uint32_t index;
  double work_ms;
  double longest_ms;
  uint32_t place; /* in the order of the groups */
};

struct plan
{
  const struct wy_item_order_options *o;
  struct group_state *groups; /* by index */
  uint32_t *ranked;           /* indices of groups */
};

static struct group_state *
sum_groups (const struct wy_item_order_options *o)
{
  struct group_state *s = g_new0 (struct group_state, o->n_groups);

  for (uint32_t g = 0; g < o->n_groups; g++)
    s[g].index = g;
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct group_state *g = &s[o->items[k].group];

      g->work_ms += o->items[k].left_ms;
      g->longest_ms = MAX (g->longest_ms, o->items[k].left_ms);
    }
  return s;
}

static gint
compare_numbers (double a, double b)
{
  return a < b ? -1 : a > b;
}

/* Order in which groups are selected: those that keep their place, then those
   from earlier jobs, then by work.  */
static gint
by_selection (gconstpointer a, gconstpointer b, gpointer p)
{
  const struct plan *t = p;
  const struct group_state *x = &t->groups[*(const uint32_t *)a];
  const struct group_state *y = &t->groups[*(const uint32_t *)b];
  const struct wy_item_order_group *gx = &t->o->groups[x->index];
  const struct wy_item_order_group *gy = &t->o->groups[y->index];
  gint order;

  if (gx->keeps_place != gy->keeps_place)
    return gx->keeps_place ? -1 : 1;
  if (gx->carried != gy->carried)
    return gx->carried ? -1 : 1;
  order = compare_numbers (x->work_ms, y->work_ms);
  return order ? order : compare_numbers (x->index, y->index);
}

/* Groups of one class follow each other in the order of selection.  */
static uint32_t
place_of (const struct plan *t, uint32_t rank)
{
  return 1 + t->o->groups[t->ranked[rank]].class * t->o->n_groups + rank;
}

/* Assign the classes.  Returns the number of groups that can be on time.  */
static uint32_t
select_groups (struct plan *t)
{
  const struct wy_item_order_options *o = t->o;
  double free_ms = o->slots * o->left_ms * fill_max;
  double longest_max_ms = o->left_ms * fill_max;
  uint32_t on_time = 0;
  uint32_t needed = o->wanted;

  for (uint32_t r = 0; r < o->n_groups; r++)
    {
      struct wy_item_order_group *g = &o->groups[t->ranked[r]];
      const struct group_state *s = &t->groups[t->ranked[r]];
      bool in_time = s->longest_ms <= longest_max_ms && s->work_ms <= free_ms;

      g->class = WY_GROUP_UNWANTED;
      if (g->complete || !(g->keeps_place || (in_time && on_time < o->wanted)))
        continue;
      g->class = WY_GROUP_SELECTED;
      on_time += in_time;
      needed -= needed > 0;
      free_ms = MAX (free_ms - s->work_ms, 0);
    }
  for (uint32_t r = 0; r < o->n_groups && needed; r++)
    {
      struct wy_item_order_group *g = &o->groups[t->ranked[r]];

      if (g->complete || g->class == WY_GROUP_SELECTED)
        continue;
      g->class = WY_GROUP_WANTED;
      needed--;
    }
  for (uint32_t r = 0; r < o->n_groups; r++)
    t->groups[t->ranked[r]].place = place_of (t, r);
  return on_time;
}

/* Place of the item K; 0 goes first.  */
static uint32_t
place_of_item (const struct plan *t, uint32_t k)
{
  const struct wy_item_order_item *i = &t->o->items[k];
  bool urgent = t->o->groups[i->group].class == WY_GROUP_SELECTED
                && i->left_ms > t->o->left_ms * urgent_min;

  return urgent ? 0 : t->groups[i->group].place;
}

/* An item that has begun was interrupted and has lost time, so it goes first
   among those of its place.  */
static gint
by_start (gconstpointer a, gconstpointer b, gpointer p)
{
  const struct plan *t = p;
  uint32_t ka = *(const uint32_t *)a;
  uint32_t kb = *(const uint32_t *)b;
  const struct wy_item_order_item *x = &t->o->items[ka];
  const struct wy_item_order_item *y = &t->o->items[kb];
  uint32_t place_x = place_of_item (t, ka);
  uint32_t place_y = place_of_item (t, kb);
  gint order;

  if (place_x != place_y)
    return place_x < place_y ? -1 : 1;
  if (x->begun != y->begun)
    return x->begun ? -1 : 1;
  order = compare_numbers (y->left_ms, x->left_ms);
  return order ? order : compare_numbers (ka, kb);
}

/* Whether the work of O ends in time if its items start longest first.  Only
   the sum of the work counts: an item that takes longer than the time left
   gains nothing by starting later, and takes no time from the others as long
   as the sum fits.  */
static bool
fits (const struct wy_item_order_options *o, double work_ms)
{
  double fill = o->was_planned ? fill_max_after_plan : fill_max;

  return o->slots <= 0 || work_ms <= o->slots * o->left_ms * fill;
}

/* Plan the job of O.  Unless it fits, set the classes of its groups and store
   the indices of all items in ORDER, in the order in which they are to
   start.  */
struct wy_item_order_plan
wy_item_order (const struct wy_item_order_options *o, uint32_t *order)
{
  struct plan t = { .o = o, .groups = sum_groups (o) };
  struct wy_item_order_plan p = { 0 };

  for (uint32_t g = 0; g < o->n_groups; g++)
    if (!o->groups[g].complete)
      {
        p.work_ms += t.groups[g].work_ms;
        p.on_time++;
      }
  p.fits = fits (o, p.work_ms);
  if (!p.fits)
    {
      t.ranked = g_new (uint32_t, o->n_groups);
      for (uint32_t g = 0; g < o->n_groups; g++)
        t.ranked[g] = g;
      g_qsort_with_data (t.ranked, (gint)o->n_groups, sizeof *t.ranked,
                         by_selection, &t);
      p.on_time = select_groups (&t);
      for (uint32_t k = 0; k < o->n_items; k++)
        order[k] = k;
      g_qsort_with_data (order, (gint)o->n_items, sizeof *order, by_start, &t);
      g_free (t.ranked);
    }
  g_free (t.groups);
  return p;
}
