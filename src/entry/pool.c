/* Pools: the targets of one model or service.

   Targets are chosen by src/decide; here its placement table is kept in step
   with the connections.  A target is in the table while its agent is connected
   and the target accepts new work.  */
#include "entry/pool.h"

#include <string.h>

/* Free POOL, a struct wy_pool.  */
void
wy_pool_free (void *pool)
{
  struct wy_pool *l = pool;

  wy_placement_free (l->placement);
  g_ptr_array_free (l->peers, TRUE);
  g_free (l->name);
  g_free (l);
}

/* The number of availability zone ZONE, stable for the life of the process.
   When there are more zones than placement can distinguish, the excess ones
   share the last number.  */
uint32_t
wy_zone_number (struct wy_entry *e, const char *zone)
{
  for (guint i = 0; i < e->zones->len; i++)
    if (!strcmp (e->zones->pdata[i], zone))
      return i;
  if (e->zones->len == WY_PLACEMENT_AZS_MAX)
    return WY_PLACEMENT_AZS_MAX - 1;
  g_ptr_array_add (e->zones, g_strdup (zone));
  return e->zones->len - 1;
}

/* The pool of NAME, or NULL when no target was ever listed for it.  */
struct wy_pool *
wy_pool_get (struct wy_entry *e, const char *name)
{
  return g_hash_table_lookup (e->pools, name);
}

/* The pool of NAME, created if necessary.  */
struct wy_pool *
wy_pool_get_or_create (struct wy_entry *e, const char *name, bool is_model)
{
  struct wy_placement_options o = { 0 };
  struct wy_pool *l = wy_pool_get (e, name);

  if (l)
    return l;
  o.az = wy_zone_number (e, e->s->availability_zone);
  o.targets_max = (uint32_t)e->s->subset_size + WY_PLACEMENT_AZS_MAX;
  l = g_malloc0 (sizeof *l);
  l->name = g_strdup (name);
  l->is_model = is_model;
  l->placement = wy_placement_new (&o);
  l->peers = g_ptr_array_new ();
  g_hash_table_insert (e->pools, l->name, l);
  return l;
}

/* The agent of P is connected: add P to the placement table.  A peer outside
   the subset is connected only as a home or for a weight rollout and is not
   added.  */
void
wy_pool_add_peer (struct wy_peer *p)
{
  struct wy_target_options o = { .id = wy_hash64 (p->id, strlen (p->id), 0),
                                 .az = p->az,
                                 .incarnation = p->incarnation_hash };
  struct wy_pool *l = p->pool;

  if (p->slot >= 0 || !p->in_subset)
    return;
  p->slot = wy_placement_add (l->placement, &o);
  if (p->slot < 0)
    return;
  if ((guint)p->slot >= l->peers->len)
    g_ptr_array_set_size (l->peers, p->slot + 1);
  l->peers->pdata[p->slot] = p;
  if (p->leaving || p->target_down)
    wy_placement_drain (l->placement, (uint32_t)p->slot);
}

/* The agent of P is disconnected: remove P from the placement table.  */
void
wy_pool_remove_peer (struct wy_peer *p)
{
  if (p->slot < 0)
    return;
  for (GList *i = p->requests.head; i; i = i->next)
    ((struct wy_request *)i->data)->placed = false;
  wy_placement_remove (p->pool->placement, (uint32_t)p->slot);
  p->pool->peers->pdata[p->slot] = NULL;
  p->slot = -1;
}

/* Give P no new work from now on.  */
void
wy_pool_drain_peer (struct wy_peer *p)
{
  if (p->slot >= 0)
    wy_placement_drain (p->pool->placement, (uint32_t)p->slot);
}

/* Give P new work again.  */
void
wy_pool_readmit_peer (struct wy_peer *p)
{
  if (p->slot < 0)
    return;
  for (GList *i = p->requests.head; i; i = i->next)
    ((struct wy_request *)i->data)->placed = false;
  wy_placement_restarted (p->pool->placement, (uint32_t)p->slot,
                          p->incarnation_hash);
}

/* Pass the load that P reported to placement.  */
void
wy_pool_load_reported (struct wy_peer *p)
{
  const struct wy_target_load *t = &p->load;
  struct wy_load_report r = { 0 };
  int64_t free_tokens = t->kv_total_tokens - t->kv_used_tokens;

  if (p->slot < 0)
    return;
  r.rollouts_running = t->running_rollout;
  r.callers = t->running - MIN (t->running, t->running_rollout)
              + t->queued_interactive;
  r.rollouts_waiting = t->queued_rollout;
  r.kv_free_tokens = (uint32_t)CLAMP (free_tokens, 0, UINT32_MAX);
  r.streams_max = t->streams_max;
  r.caller_wait_ms = t->caller_wait_ms;
  r.us_per_token = t->us_per_token;
  wy_placement_load_reported (p->pool->placement, (uint32_t)p->slot, &r,
                              t->age_ms, wy_clock_mono_ms (p->entry->clock));
  wy_placement_set_version (p->pool->placement, (uint32_t)p->slot,
                            (uint64_t)t->version);
}

static struct wy_placement_request
placement_request (const struct wy_request *r)
{
  struct wy_placement_request q
      = { .work_class = WY_CLASS_INTERACTIVE,
          .prefix_hash = r->prefix,
          .prefix_tokens = r->prefix ? r->prompt_tokens : 0,
          .prompt_tokens = r->prompt_tokens,
          .predicted_tokens = r->predicted_tokens,
          .n_tried = r->n_tried };

  if (r->request_class == WY_REQUEST_ROLLOUT)
    q.work_class = WY_CLASS_ROLLOUT;
  else if (r->non_idempotent)
    q.work_class = WY_CLASS_NON_IDEMPOTENT;
  memcpy (q.tried, r->tried, sizeof q.tried);
  return q;
}

/* Highest weight version that a target of L reported.  */
static int64_t
highest_version (const struct wy_pool *l)
{
  int64_t v = 0;

  for (guint i = 0; i < l->peers->len; i++)
    {
      const struct wy_peer *p = l->peers->pdata[i];
      if (p && p->load.version > v)
        v = p->load.version;
    }
  return v;
}

/* Choose a target for R; NULL when there is none.  Placement supports exact
   versions only.  For a minimum version it is asked repeatedly, excluding the
   targets whose version is too low, and in the end for the highest
   version.  */
struct wy_peer *
wy_pool_pick (struct wy_request *r)
{
  struct wy_pool *l = r->pool;
  struct wy_placement_request q = placement_request (r);
  int64_t now_ms = wy_clock_mono_ms (r->entry->clock);
  int slot = wy_placement_pick (l->placement, &q, now_ms, &r->entry->rng);

  while (slot >= 0 && r->min_version > 0)
    {
      struct wy_peer *p = l->peers->pdata[slot];

      if (p->load.version >= r->min_version)
        break;
      if (q.n_tried == WY_PLACEMENT_TRIED_MAX)
        {
          q.version = (uint64_t)highest_version (l);
          if ((int64_t)q.version < r->min_version)
            return NULL;
          slot = wy_placement_pick (l->placement, &q, now_ms, &r->entry->rng);
          break;
        }
      q.tried[q.n_tried++] = (uint32_t)slot;
      slot = wy_placement_pick (l->placement, &q, now_ms, &r->entry->rng);
    }
  return slot >= 0 ? l->peers->pdata[slot] : NULL;
}

/* R was assigned to P.  */
void
wy_pool_request_started (struct wy_request *r, struct wy_peer *p)
{
  struct wy_placement_request q = placement_request (r);

  if (p->slot < 0)
    return;
  r->slot = (uint32_t)p->slot;
  r->placed = true;
  wy_placement_request_started (p->pool->placement, r->slot, &q,
                                wy_clock_mono_ms (r->entry->clock));
}

/* R ended at its target with OUTCOME.  */
void
wy_pool_request_ended (struct wy_request *r, enum wy_outcome outcome)
{
  struct wy_placement_request q;

  if (!r->placed)
    return;
  r->placed = false;
  q = placement_request (r);
  wy_placement_request_ended (r->pool->placement, r->slot, q.work_class,
                              outcome, wy_clock_mono_ms (r->entry->clock));
}

/* Exclude R's current target from further attempts.  */
void
wy_pool_exclude_target (struct wy_request *r)
{
  if (r->peer && r->peer->slot >= 0 && r->n_tried < WY_PLACEMENT_TRIED_MAX)
    r->tried[r->n_tried++] = (uint32_t)r->peer->slot;
}
