/* What follows from the list of entries: who is alive, who runs what, where
   calls are passed on.  */
#include "gate/members_state.h"

#include <math.h>
#include <string.h>

#include "base/id.h"
#include "platform/replica_wire.h"

enum
{
  /* Time after which a holder without a row is considered gone.  */
  UNSEEN_GONE_MS = 1600,
  /* Places in the order of tries that one takes which is not to run jobs.  */
  WEAK_RANKS = 16
};

/* Of the most processor time that an entry has, what one must have to run
   jobs.  */
static const double strong_share = 0.5;

/* Whether E is neither leaving nor failed.  */
bool
wy_member_is_alive (const struct member *e)
{
  return !e->leaving && !e->failed;
}

/* Number of entries alive; at least 1, this one.  */
uint32_t
wy_members_count_alive (const struct wy_members *m)
{
  GHashTableIter it;
  gpointer p;
  uint32_t n = 0;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    n += wy_member_is_alive (p);
  return n ? n : 1;
}

static gint
by_value (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

/* Take the median of what the entries tell of the time of day, which is off,
   or steps, on some of them.  */
void
wy_members_learn_epoch (struct wy_members *m)
{
  GArray *told = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;

      if (wy_member_is_alive (e) && e->epoch_ms)
        g_array_append_val (told, e->epoch_ms);
    }
  g_array_sort (told, by_value);
  if (told->len)
    m->epoch_ms = g_array_index (told, int64_t, told->len / 2);
  g_array_free (told, TRUE);
}

/* The time of day at zero of the store's clock, as the entries together tell
   it; 0: not known yet.  */
int64_t
wy_members_epoch_ms (const struct wy_members *m)
{
  return m->epoch_ms;
}

/* A holder that no row tells of may just have started, its job's row being
   seen before its own: it is gone when that stays so.  */
static bool
is_gone_unseen (struct wy_members *m, const char *holder)
{
  int64_t now_ms = wy_clock_mono_ms (m->o.env->clock);
  int64_t *since_ms = g_hash_table_lookup (m->unseen, holder);

  if (since_ms)
    return now_ms - *since_ms >= UNSEEN_GONE_MS;
  since_ms = g_new (int64_t, 1);
  *since_ms = now_ms;
  g_hash_table_insert (m->unseen, g_strdup (holder), since_ms);
  return false;
}

/* Whether HOLDER, "NODE/INCARNATION", will do no more work: its instance is
   silent or leaving, or has started anew since.  */
bool
wy_members_holder_is_gone (struct wy_members *m, const char *holder)
{
  const char *slash = strchr (holder, '/');
  char node[WY_MEMBERS_NAME_SIZE_BYTES];
  const struct member *e;

  if (!slash || (size_t)(slash - holder) >= sizeof node)
    return true;
  if (!wy_watch_is_synced (m->watch))
    return false;
  memcpy (node, holder, (size_t)(slash - holder));
  node[slash - holder] = '\0';
  e = g_hash_table_lookup (m->by_node, node);
  /* Incarnations are in the order of their starts.  */
  if (!e || strcmp (holder, e->holder) > 0)
    return is_gone_unseen (m, holder);
  return !wy_member_is_alive (e) || strcmp (e->holder, holder) != 0;
}

static uint64_t
weight_of (const char *node, const char *key)
{
  return wy_hash64 (node, strlen (node), wy_hash64 (key, strlen (key), 0));
}

static double
share_of (double cpu_share)
{
  return cpu_share > 0 ? cpu_share : 1;
}

/* Weighted rendezvous hashing: the largest of these wins, with a chance in
   proportion to CPU_SHARE, and stays the winner while it is there.  Instances
   differ fivefold, and one that runs a job reads all of its streams.  */
static double
claim_of (const char *node, const char *key, double cpu_share)
{
  double u = ((double)weight_of (node, key) + 1) / 18446744073709551616.0;

  return share_of (cpu_share) / -log (u < 1 ? u : 0.5);
}

static bool
takes_work (const struct member *e)
{
  return wy_member_is_alive (e) && !e->draining && !e->relayed
         && e->has_address;
}

static bool
takes_work_here (const struct wy_members *m)
{
  return !m->draining && wy_rows_is_direct (m->o.env->rows);
}

/* The least processor time of an entry that is to run jobs.  A job of some
   hundred items is read as it is made, listed and kept by one entry; on one
   with a fifth of the processor time of others each of these is late, and with
   them the step.  So the weaker ones run jobs only where there are no others.
 */
static double
least_share (const struct wy_members *m)
{
  double most = takes_work_here (m) ? share_of (m->o.cpu_share) : 0;
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    if (takes_work (p))
      most = MAX (most, share_of (((const struct member *)p)->cpu_share));
  return most * strong_share;
}

/* The entry that work of KEY goes to: always the same one while it is alive,
   so that its connections to the targets are used again.  One that the store
   turns away does not get new work: each of its results would take a detour,
   and its heartbeats may be missed.  False: this entry, or none that is known;
   HOLDER and ADDRESS are set else.  */
bool
wy_members_choose_holder (const struct wy_members *m, const char *key,
                          const char **holder, struct sockaddr_in *address)
{
  const char *node = m->o.env->node;
  double least = least_share (m);
  double best = 0;
  const struct member *found = NULL;
  GHashTableIter it;
  gpointer p;

  if (takes_work_here (m) && share_of (m->o.cpu_share) >= least)
    best = claim_of (node, key, m->o.cpu_share);
  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;
      double w = claim_of (e->node, key, e->cpu_share);

      if (!takes_work (e) || share_of (e->cpu_share) < least
          || !strcmp (e->node, node) || w <= best)
        continue;
      best = w;
      found = e;
    }
  if (!found)
    return false;
  *holder = found->holder;
  *address = found->address;
  return true;
}

/* Place of this entry among those alive in the order that KEY gives them;
   each key gives another, so that work without a holder spreads.  Those that
   are to run jobs come first, the others so far behind that all of them
   together rarely come before.  */
uint32_t
wy_members_rank (const struct wy_members *m, const char *key)
{
  const char *node = m->o.env->node;
  uint64_t own = weight_of (node, key);
  double least = least_share (m);
  bool strong = takes_work_here (m) && share_of (m->o.cpu_share) >= least;
  GHashTableIter it;
  gpointer p;
  uint32_t rank = 0;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;
      bool other = takes_work (e) && share_of (e->cpu_share) >= least;

      if (!wy_member_is_alive (e) || !strcmp (e->node, node))
        continue;
      if (other != strong)
        rank += other;
      else
        rank += weight_of (e->node, key) > own;
    }
  return strong ? rank : rank * WEAK_RANKS;
}

/* Write the addresses of other entries alive to OUT, MAX at most, starting
   with the successor of this entry so that load spreads over the fleet.
   Returns their number.  */
size_t
wy_members_addresses (const struct wy_members *m, struct sockaddr_in *out,
                      size_t max)
{
  size_t n_ring;
  struct member **ring = wy_members_ring (m, &n_ring);
  size_t at = 0;
  size_t n = 0;

  while (at < n_ring && ring[at]->position <= m->position)
    at++;
  for (size_t i = 0; i < n_ring && n < max; i++)
    {
      const struct member *e = ring[(at + i) % n_ring];

      if (e->has_address && e->position != m->position)
        out[n++] = e->address;
    }
  g_free (ring);
  return n;
}

/* Where the entry of ROW, of the table of addresses, takes calls to the store;
   false: it can't be read.  */
bool
wy_member_parse_address (const struct wy_row *row, struct sockaddr_in *out)
{
  char text[WY_MEMBERS_NAME_SIZE_BYTES];

  if (row->size_bytes >= sizeof text)
    return false;
  memcpy (text, row->value, row->size_bytes);
  text[row->size_bytes] = '\0';
  return wy_address_parse (text, out);
}

static const char *
state_of (const struct member *e)
{
  if (e->failed)
    return "gone";
  if (e->leaving)
    return "leaving";
  return e->draining ? "draining" : "alive";
}

static int64_t
silent_ms_of (const struct wy_members *m, const struct member *e)
{
  for (uint32_t i = 0; i < m->n_monitored; i++)
    if (m->successors[i].position == e->position)
      return m->liveness[i].silent_ms;
  return -1;
}

/* Tell FN of each entry that is known.  */
void
wy_members_each (const struct wy_members *m,
                 void (*fn) (void *ctx, const struct wy_member_view *v),
                 void *ctx)
{
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;
      struct wy_member_view v = { .node = e->node,
                                  .holder = e->holder,
                                  .state = state_of (e),
                                  .silent_ms = silent_ms_of (m, e) };

      fn (ctx, &v);
    }
}

/* Age in ms of what is known; -1: nothing is.  */
int64_t
wy_members_age_ms (const struct wy_members *m)
{
  int64_t age_ms = wy_watch_age_ms (m->watch);

  if (age_ms < 0 || m->last_read_ms == 0)
    return age_ms;
  return MIN (age_ms, wy_clock_mono_ms (m->o.env->clock) - m->last_read_ms);
}
