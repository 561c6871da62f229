/* Queries on the list of entries: which ones are alive, which one runs a job,
   which ones relay store calls.  */
#include "gate/members_state.h"

#include <math.h>
#include <string.h>

#include "base/id.h"
#include "decide/ring.h"
#include "platform/replica_wire.h"

enum
{
  /* A holder that has had no row for this long is considered gone.  */
  UNKNOWN_GONE_MS = 1600,
  /* Factor on the rank of an entry that is not to run jobs.  */
  NO_JOBS_RANK_FACTOR = 16
};

/* To run jobs an entry must have at least this fraction of the largest CPU
   share of an entry.  */
static const double job_cpu_fraction = 0.5;

/* Whether E is neither leaving nor failed.  */
bool
wy_member_is_alive (const struct member *e)
{
  return !e->leaving && !e->failed;
}

/* Number of entries that are alive; at least 1, this one.  */
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
compare_values (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

/* Update the epoch to the median of those that the entries report, since the
   wall clock of some is wrong or steps.  */
void
wy_members_update_epoch (struct wy_members *m)
{
  GArray *reported = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;

      if (wy_member_is_alive (e) && e->epoch_ms)
        g_array_append_val (reported, e->epoch_ms);
    }
  g_array_sort (reported, compare_values);
  if (reported->len)
    m->epoch_ms = g_array_index (reported, int64_t, reported->len / 2);
  g_array_free (reported, TRUE);
}

/* Wall-clock time at zero of the store's clock, the median of what the entries
   report; 0: not known yet.  */
int64_t
wy_members_epoch_ms (const struct wy_members *m)
{
  return m->epoch_ms;
}

/* Whether HOLDER, which has no row, is gone.  It may have just started, and
   its job's row may have arrived before its own; so it is gone only if it has
   no row for some time.  */
static bool
unknown_is_gone (struct wy_members *m, const char *holder)
{
  int64_t now_ms = wy_clock_mono_ms (m->o.env->clock);
  int64_t *since_ms = g_hash_table_lookup (m->unknown_holders, holder);

  if (since_ms)
    return now_ms - *since_ms >= UNKNOWN_GONE_MS;
  since_ms = g_new (int64_t, 1);
  *since_ms = now_ms;
  g_hash_table_insert (m->unknown_holders, g_strdup (holder), since_ms);
  return false;
}

/* Whether HOLDER, "NODE/INCARNATION", will do no more work: its instance has
   failed, is leaving, or has restarted since.  */
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
  /* Incarnations sort by start time: a greater one is newer than the row.  */
  if (!e || strcmp (holder, e->holder) > 0)
    return unknown_is_gone (m, holder);
  return !wy_member_is_alive (e) || strcmp (e->holder, holder) != 0;
}

static uint64_t
hash_of (const char *node, const char *key)
{
  return wy_hash64 (node, strlen (node), wy_hash64 (key, strlen (key), 0));
}

/* CPU_SHARE, or 1 core if it isn't known.  */
static double
effective_cpu_share (double cpu_share)
{
  return cpu_share > 0 ? cpu_share : 1;
}

/* Weight of NODE for KEY in weighted rendezvous hashing.  The entry with the
   largest weight is chosen, with a probability in proportion to CPU_SHARE, and
   stays chosen while it is alive.  The CPU shares of instances differ by up to
   a factor of five, and an entry that runs a job reads all of its streams.  */
static double
rendezvous_weight (const char *node, const char *key, double cpu_share)
{
  /* The hash, scaled to a number between 0 and 1; the divisor is 2^64.  */
  double u = ((double)hash_of (node, key) + 1) / 18446744073709551616.0;

  return effective_cpu_share (cpu_share) / -log (u < 1 ? u : 0.5);
}

static bool
accepts_jobs (const struct member *e)
{
  return wy_member_is_alive (e) && !e->draining && !e->relayed
         && e->has_address;
}

static bool
accepts_jobs_locally (const struct wy_members *m)
{
  return !m->draining && wy_rows_is_direct (m->o.env->rows);
}

/* Minimum CPU share of an entry that is to run jobs.  A single entry reads the
   streams of a job's several hundred items, stores their text and lists the
   results; with a fifth of the processor time of others it does all of this
   late and delays the training step.  So entries with a small CPU share run
   jobs only where there are no larger ones.  */
static double
min_cpu_share (const struct wy_members *m)
{
  double largest
      = accepts_jobs_locally (m) ? effective_cpu_share (m->o.cpu_share) : 0;
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    if (accepts_jobs (p))
      largest
          = MAX (largest,
                 effective_cpu_share (((const struct member *)p)->cpu_share));
  return largest * job_cpu_fraction;
}

/* Choose the entry that is to run the jobs of KEY: always the same one while
   it is alive, so that its connections to the targets are reused.  An entry
   that can't reach the store directly gets no new jobs: its results would have
   to be relayed, and its heartbeats may be late.  If another entry is chosen,
   return true and set HOLDER and ADDRESS; false means this entry, or that no
   entry is suitable.  */
bool
wy_members_choose_holder (const struct wy_members *m, const char *key,
                          const char **holder, struct sockaddr_in *address)
{
  const char *node = m->o.env->node;
  double min = min_cpu_share (m);
  double best = 0;
  const struct member *found = NULL;
  GHashTableIter it;
  gpointer p;

  if (accepts_jobs_locally (m) && effective_cpu_share (m->o.cpu_share) >= min)
    best = rendezvous_weight (node, key, m->o.cpu_share);
  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;
      double w = rendezvous_weight (e->node, key, e->cpu_share);

      if (!accepts_jobs (e) || effective_cpu_share (e->cpu_share) < min
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

/* Rank of this entry among those alive in an order that depends on KEY, so
   that takeovers of jobs without a holder spread over the entries; 0 is the
   first.  Entries that are to run jobs rank first.  The rank of the others is
   multiplied so that they rarely act before one of these.  */
uint32_t
wy_members_rank (const struct wy_members *m, const char *key)
{
  const char *node = m->o.env->node;
  uint64_t own = hash_of (node, key);
  double min = min_cpu_share (m);
  bool runs_jobs = accepts_jobs_locally (m)
                   && effective_cpu_share (m->o.cpu_share) >= min;
  GHashTableIter it;
  gpointer p;
  uint32_t rank = 0;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;
      bool other_runs_jobs
          = accepts_jobs (e) && effective_cpu_share (e->cpu_share) >= min;

      if (!wy_member_is_alive (e) || !strcmp (e->node, node))
        continue;
      if (other_runs_jobs != runs_jobs)
        rank += other_runs_jobs;
      else
        rank += hash_of (e->node, key) > own;
    }
  return runs_jobs ? rank : rank * NO_JOBS_RANK_FACTOR;
}

/* Write the addresses of other entries that are alive to OUT, at most MAX,
   starting with the successor of this entry so that the load spreads over all
   entries.  Returns their number.  */
size_t
wy_members_peer_addresses (const struct wy_members *m, struct sockaddr_in *out,
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

/* An entry and its weight in the order of a key.  */
struct weighted
{
  struct wy_member_peer peer;
  uint64_t weight;
};

static gint
by_weight (gconstpointer a, gconstpointer b)
{
  uint64_t x = ((const struct weighted *)a)->weight;
  uint64_t y = ((const struct weighted *)b)->weight;

  return (x < y) - (x > y);
}

/* Write the first MAX entries that are alive in an order that depends on KEY
   to OUT.  All entries that know the same directory find the same ones, and an
   entry that starts or fails changes few keys.  This entry always counts as
   alive.  Returns their number.  */
size_t
wy_members_first_for (const struct wy_members *m, uint64_t key,
                      struct wy_member_peer *out, size_t max)
{
  const char *node = m->o.env->node;
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct weighted));
  struct weighted self = { .peer.is_self = true,
                           .weight = wy_hash64 (node, strlen (node), key) };
  GHashTableIter it;
  gpointer p;
  size_t n;

  g_array_append_val (all, self);
  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;
      struct weighted w
          = { .peer.address = e->address,
              .weight = wy_hash64 (e->node, strlen (e->node), key) };

      if (wy_member_is_alive (e) && e->has_address
          && strcmp (e->node, node) != 0)
        g_array_append_val (all, w);
    }
  g_array_sort (all, by_weight);
  for (n = 0; n < max && n < all->len; n++)
    out[n] = g_array_index (all, struct weighted, n).peer;
  g_array_free (all, TRUE);
  return n;
}

/* Rank of this entry in the order of wy_members_first_for; 0 is the first.  */
uint32_t
wy_members_rank_for (const struct wy_members *m, uint64_t key)
{
  const char *node = m->o.env->node;
  uint64_t own = wy_hash64 (node, strlen (node), key);
  GHashTableIter it;
  gpointer p;
  uint32_t rank = 0;

  g_hash_table_iter_init (&it, m->by_node);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct member *e = p;

      rank += wy_member_is_alive (e) && e->has_address
              && strcmp (e->node, node) != 0
              && wy_hash64 (e->node, strlen (e->node), key) > own;
    }
  return rank;
}

/* Whether the directory has been read.  */
bool
wy_members_are_known (const struct wy_members *m)
{
  return wy_watch_is_synced (m->watch);
}

/* Write the addresses to which this entry sends what all entries are to hear
   to OUT, which has space for WY_MEMBERS_FAN_OUT_MAX.  *IS_COMPLETE is whether
   these are all others; if not, each entry passes on what is new to it.
   Returns their number.  */
size_t
wy_members_fan_out (const struct wy_members *m, struct sockaddr_in *out,
                    bool *is_complete)
{
  size_t n_ring;
  struct member **ring = wy_members_ring (m, &n_ring);
  GArray *others = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  size_t at[WY_MEMBERS_FAN_OUT_MAX];
  size_t first = 0;
  size_t n;

  while (first < n_ring && ring[first]->position <= m->position)
    first++;
  for (size_t i = 0; i < n_ring; i++)
    {
      const struct member *e = ring[(first + i) % n_ring];

      if (e->has_address && e->position != m->position)
        g_array_append_val (others, e->address);
    }
  n = wy_ring_fan_out (others->len, WY_MEMBERS_FAN_OUT_MAX, at);
  for (size_t i = 0; i < n; i++)
    out[i] = g_array_index (others, struct sockaddr_in, at[i]);
  *is_complete = n == others->len;
  g_array_free (others, TRUE);
  g_free (ring);
  return n;
}

/* Parse ROW of the table of addresses: the address on which its entry relays
   store calls.  Returns false if the row is invalid.  */
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

/* Call FN for each known entry.  */
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

/* Age in ms of the known state of the entries; -1: nothing is known.  */
int64_t
wy_members_age_ms (const struct wy_members *m)
{
  int64_t age_ms = wy_watch_age_ms (m->watch);

  if (age_ms < 0 || m->last_read_ms == 0)
    return age_ms;
  return MIN (age_ms, wy_clock_mono_ms (m->o.env->clock) - m->last_read_ms);
}
