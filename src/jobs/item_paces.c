/* What the items of each service took on this entry.  */
#include "jobs/item_paces.h"

#include "jobs/active_job.h"

struct wy_item_paces
{
  GHashTable *by_service; /* struct wy_item_pace */
};

struct wy_item_paces *
wy_item_paces_new (void)
{
  struct wy_item_paces *p = g_new0 (struct wy_item_paces, 1);

  p->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return p;
}

static struct wy_item_pace *
find_or_add (struct wy_item_paces *p, const char *service)
{
  struct wy_item_pace *pace = g_hash_table_lookup (p->by_service, service);

  if (pace)
    return pace;
  pace = g_new0 (struct wy_item_pace, 1);
  g_hash_table_insert (p->by_service, g_strdup (service), pace);
  return pace;
}

/* The pace of the items of SERVICE; unknown at first.  */
const struct wy_item_pace *
wy_item_paces_of (struct wy_item_paces *p, const char *service)
{
  return find_or_add (p, service);
}

/* The service that runs most items of a job on ROUTE.  */
const char *
wy_item_paces_service (const struct wy_route *route)
{
  const struct wy_traffic_split *most = NULL;

  for (guint k = 0; k < route->splits->len; k++)
    {
      const struct wy_traffic_split *s
          = &g_array_index (route->splits, struct wy_traffic_split, k);

      if (!most || s->weight > most->weight)
        most = s;
    }
  return most ? most->service : "";
}

/* Record I, whose last run on a replica of SERVICE has completed its text.
   An item with text from an earlier job or holder is left out, as the time for
   that part is not known here.  */
void
wy_item_paces_record (struct wy_item_paces *p, const struct wy_item *i,
                      const char *service)
{
  struct wy_item_pace_sample s = { .slot_ms = i->slot_ms,
                                   .expected_tokens = i->spec->expected_tokens,
                                   .events = (uint32_t)(i->last_event + 1) };

  if (s.expected_tokens && (int64_t)i->run_events >= i->last_event)
    wy_item_pace_record (find_or_add (p, service), &s);
}

/* Record that the complete text of I waited WAITED_MS for its score.  */
void
wy_item_paces_record_score (struct wy_item_paces *p, const struct wy_item *i,
                            int64_t waited_ms)
{
  const struct wy_route *route = wy_active_job_route (i->job);

  if (route)
    wy_item_pace_record_score (find_or_add (p, wy_item_paces_service (route)),
                               (double)waited_ms);
}
