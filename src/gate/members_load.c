/* Load and usage that entries report with their heartbeats: busy slots of
   autoscaled services, and the window up to which counted usage is stored.
   Only the leader, which performs the duties, reads the heartbeats of all
   entries.  */
#include "gate/members_state.h"

#include <string.h>

#include <jansson.h>

enum
{
  WATCH_INTERVAL_MS = 250
};

struct load
{
  json_t *busy_slots;     /* NULL: none reported */
  int64_t usage_complete; /* -1: none reported */
};

static void
free_load (gpointer p)
{
  struct load *l = p;

  json_decref (l->busy_slots);
  g_free (l);
}

static void
on_row (void *ctx, const struct wy_row *row)
{
  struct wy_members *m = ctx;
  struct load *l;
  json_t *doc;
  json_t *window;

  if (row->deleted)
    {
      g_hash_table_remove (m->load_by_key, row->key);
      return;
    }
  doc = json_loadb (row->value, row->size_bytes, 0, NULL);
  window = json_object_get (doc, "usage_complete");
  l = g_new0 (struct load, 1);
  l->busy_slots = json_incref (json_object_get (doc, "busy"));
  l->usage_complete
      = json_is_integer (window) ? json_integer_value (window) : -1;
  g_hash_table_insert (m->load_by_key, g_strdup (row->key), l);
  json_decref (doc);
}

/* Start or stop watching the heartbeats of all entries.  */
void
wy_members_watch_load (struct wy_members *m, bool enable)
{
  struct wy_watch_options w = { .loop = m->o.env->loop,
                                .clock = m->o.env->clock,
                                .rows = m->o.env->rows,
                                .table = WY_HEARTBEATS_TABLE,
                                .all_partitions = true,
                                .min_interval_ms = WATCH_INTERVAL_MS,
                                .seed = m->o.seed + 1,
                                .on_row = on_row,
                                .ctx = m };

  if (enable == (m->load_watch != NULL))
    return;
  if (enable)
    {
      m->load_by_key
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_load);
      m->load_watch = wy_watch_new (&w);
      return;
    }
  wy_watch_free (m->load_watch);
  m->load_watch = NULL;
  g_hash_table_destroy (m->load_by_key);
  m->load_by_key = NULL;
}

/* Whether the heartbeats of all entries are watched and have been read.  */
bool
wy_members_load_is_known (const struct wy_members *m)
{
  return m->load_watch && wy_watch_is_synced (m->load_watch);
}

static const struct load *
load_of (const struct wy_members *m, const struct member *e)
{
  char key[WY_MEMBERS_KEY_SIZE_BYTES];

  wy_members_key (e->position, key);
  return g_hash_table_lookup (m->load_by_key, key);
}

/* Busy slots of SERVICE in AVAILABILITY_ZONE, summed over the entries that are
   alive and whose load is known; without wy_members_watch_load, those of this
   entry only.  */
double
wy_members_busy_slots (const struct wy_members *m, const char *service,
                       const char *availability_zone)
{
  double sum = wy_busy_slots_local (m->busy_slots, service, availability_zone);
  GHashTableIter it;
  gpointer p;

  if (!m->load_watch)
    return sum;
  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;
      const struct load *l = load_of (m, e);

      if (l && wy_member_is_alive (e) && strcmp (e->node, m->o.env->node) != 0)
        sum += wy_busy_slots_reported (l->busy_slots, service,
                                       availability_zone);
    }
  return sum;
}

/* The newest window for which all entries that are alive have stored the usage
   that they counted; -1: not known.  */
int64_t
wy_members_usage_complete (const struct wy_members *m)
{
  int64_t complete = m->usage_complete;
  GHashTableIter it;
  gpointer p;

  if (!wy_members_load_is_known (m))
    return -1;
  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;
      const struct load *l = load_of (m, e);

      if (l && !e->failed && l->usage_complete >= 0
          && strcmp (e->node, m->o.env->node) != 0)
        complete = MIN (complete, l->usage_complete);
    }
  return complete;
}

/* Publish with the next heartbeat that the usage counted here is in the store
   for all windows up to WINDOW.  */
void
wy_members_publish_usage (struct wy_members *m, int64_t window)
{
  m->usage_complete = window;
}
