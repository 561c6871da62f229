/* Compares failure detection policies for a fleet of entries in virtual time:
   the load on the store, and the time until a failure is known to all.

   Usage: membership [ours]

   Prints one line per figure: case, size, policy, figure, value.  With `ours'
   only the policy in use is simulated, and not at the largest size.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/rng.h"
#include "decide/liveness.h"
#include "decide/ring.h"

enum
{
  TICK_MS = 10,
  HEARTBEAT_MS = 500,
  POLL_MS = 250,
  DURATION_MS = 14000,
  SEEDS = 2,
  FAULT_MS = 4000,
  SUCCESSORS = 16,
  MONITORED = 4, /* successors with timely heartbeats */
  GROUP_SIZE = 16,
  /* Readers simulated with policy ALL; totals are scaled to the fleet.  */
  READERS = 12,
  MEMBERS_MAX = 2000,
  /* Duration of a transaction, and time until watchers receive the change.  */
  PROPAGATION_MS = 8 + 4,
  /* Encoded sizes.  */
  HEARTBEAT_ROW_BYTES = 260,
  DIRECTORY_ROW_BYTES = 420,
  CALL_BYTES = 340,
  PARTITION_SHIFT = 58,
  PERCENT = 100,
  /* Calls that succeed through a peer while the store rejects the entry.  */
  RELAYED_PERCENT = 90
};

enum policy
{
  ALL,
  GROUPS,
  RING,
  POLICIES
};

static const char *const policy_names[POLICIES] = { "all", "groups", "ring" };

enum fault
{
  NONE,
  KILLED,        /* 8% of the entries, permanently */
  HALF_KILLED,   /* 50% at once, permanently */
  FROZEN,        /* 5% for three seconds */
  STORE_REJECTS, /* the store rejects 35% for nine seconds */
  FAULTS
};

static const char *const fault_names[FAULTS]
    = { "calm", "killed", "half-killed", "frozen", "turned-away" };

struct member
{
  uint64_t position;
  int64_t version;
  uint32_t heartbeat_offset_ms; /* within the interval */
  uint32_t poll_offset_ms;      /* likewise */
  bool killed;
  int64_t frozen_until_ms;
  int64_t store_rejects_until_ms;
  bool marked_failed;
  int64_t known_to_all_ms; /* when all know of the failure; 0: never */
  struct wy_liveness *liveness;
  uint32_t *monitored;
  uint32_t n_monitored;
};

struct simulation
{
  enum policy policy;
  enum fault fault;
  uint32_t n;
  struct member m[MEMBERS_MAX];
  struct wy_rng rng;
  bool changed;
  uint64_t rows;
  uint64_t directory_rows;
  uint64_t calls;
  uint32_t false_positives;
};

static int
by_position (const void *a, const void *b)
{
  uint64_t x = ((const struct member *)a)->position;
  uint64_t y = ((const struct member *)b)->position;

  return x < y ? -1 : x > y;
}

static bool
is_reader (const struct simulation *w, uint32_t i)
{
  return w->policy != ALL || i % (w->n / READERS + 1) == 0;
}

static void
set_monitored (struct member *m, const uint32_t *list, uint32_t n)
{
  struct wy_liveness *liveness = g_new0 (struct wy_liveness, n + 1);

  for (uint32_t i = 0; i < n; i++)
    for (uint32_t k = 0; k < m->n_monitored; k++)
      if (m->monitored[k] == list[i])
        liveness[i] = m->liveness[k];
  g_free (m->liveness);
  g_free (m->monitored);
  m->liveness = liveness;
  m->monitored = g_memdup2 (list, (n + 1) * sizeof *list);
  m->n_monitored = n;
}

static unsigned
group_bits (uint32_t n)
{
  unsigned bits = 0;

  while (n >> bits > GROUP_SIZE)
    bits++;
  return bits;
}

static bool
same_group (const struct simulation *w, uint64_t a, uint64_t b)
{
  unsigned bits = group_bits (w->n);

  return bits == 0 || a >> (64 - bits) == b >> (64 - bits);
}

static void
choose_monitored (struct simulation *w)
{
  uint32_t *live = g_new (uint32_t, w->n + 1);
  uint64_t *positions = g_new (uint64_t, w->n + 1);
  uint32_t *list = g_new (uint32_t, w->n + 1);
  uint32_t n = 0;

  for (uint32_t i = 0; i < w->n; i++)
    if (!w->m[i].marked_failed)
      {
        positions[n] = w->m[i].position;
        live[n++] = i;
      }
  for (uint32_t i = 0; i < w->n; i++)
    {
      size_t at[SUCCESSORS];
      uint32_t k = 0;

      if (w->policy == RING)
        {
          k = (uint32_t)wy_ring_successors (positions, n, w->m[i].position,
                                            SUCCESSORS, at);
          for (uint32_t s = 0; s < k; s++)
            list[s] = live[at[s]];
        }
      else if (is_reader (w, i))
        for (uint32_t s = 0; s < n; s++)
          if (live[s] != i
              && (w->policy == ALL
                  || same_group (w, positions[s], w->m[i].position)))
            list[k++] = live[s];
      set_monitored (&w->m[i], list, k);
    }
  w->changed = false;
  g_free (live);
  g_free (positions);
  g_free (list);
}

static bool
is_running (const struct member *m, int64_t now_ms)
{
  return !m->killed && now_ms >= m->frozen_until_ms;
}

static bool
reaches_store (struct simulation *w, const struct member *m, int64_t now_ms)
{
  return now_ms >= m->store_rejects_until_ms
         || wy_rng_below (&w->rng, PERCENT) < RELAYED_PERCENT;
}

static void
inject_fault (struct simulation *w)
{
  for (uint32_t i = 0; i < w->n; i++)
    {
      struct member *m = &w->m[i];
      uint32_t draw = wy_rng_below (&w->rng, PERCENT);

      switch (w->fault)
        {
        case NONE:
        case FAULTS:
          break;
        case KILLED:
          m->killed = draw < 8;
          break;
        case HALF_KILLED:
          m->killed = draw < 50;
          break;
        case FROZEN:
          if (draw < 5)
            m->frozen_until_ms = FAULT_MS + 3000;
          break;
        case STORE_REJECTS:
          if (draw < 35)
            m->store_rejects_until_ms = FAULT_MS + 9000;
          break;
        }
    }
}

/* An entry that was marked as failed while alive also rewrites its row.  */
static void
write_heartbeat (struct simulation *w, struct member *m, int64_t now_ms)
{
  w->calls++;
  if (!reaches_store (w, m, now_ms))
    return;
  m->version++;
  if (!m->marked_failed)
    return;
  m->marked_failed = false;
  m->known_to_all_ms = 0;
  w->directory_rows += w->n;
  w->changed = true;
}

static uint32_t
partitions_read (const struct simulation *w, const struct member *m,
                 uint32_t n)
{
  uint32_t partitions = 0;

  if (w->policy != RING)
    return 1;
  for (uint32_t k = 0; k < n; k++)
    {
      uint64_t partition = w->m[m->monitored[k]].position >> PARTITION_SHIFT;

      partitions
          += k == 0
             || partition
                    != w->m[m->monitored[k - 1]].position >> PARTITION_SHIFT;
    }
  return partitions;
}

static void
mark_failed (struct simulation *w, struct member *m, int64_t now_ms)
{
  if (m->marked_failed)
    return;
  m->marked_failed = true;
  m->known_to_all_ms = now_ms + PROPAGATION_MS;
  w->false_positives += is_running (m, now_ms);
  w->directory_rows += w->policy == ALL ? 0 : w->n;
  w->calls += w->policy != ALL;
  w->changed = w->policy != ALL;
}

static void
read_heartbeats (struct simulation *w, struct member *m, int64_t now_ms)
{
  uint32_t n = m->n_monitored;

  if (w->policy == RING)
    n = (uint32_t)wy_ring_monitored (m->liveness, n, MONITORED);
  w->calls += partitions_read (w, m, n);
  if (!reaches_store (w, m, now_ms))
    return;
  for (uint32_t k = 0; k < n; k++)
    {
      struct member *other = &w->m[m->monitored[k]];

      w->rows++;
      wy_liveness_observe (&m->liveness[k], now_ms, other->version);
      if (wy_liveness_has_failed (&m->liveness[k]))
        mark_failed (w, other, now_ms);
    }
}

static void
simulate (struct simulation *w)
{
  for (int64_t now_ms = 0; now_ms < DURATION_MS; now_ms += TICK_MS)
    {
      if (now_ms == FAULT_MS)
        inject_fault (w);
      if (w->changed)
        choose_monitored (w);
      for (uint32_t i = 0; i < w->n; i++)
        {
          struct member *m = &w->m[i];

          if (!is_running (m, now_ms))
            continue;
          if (now_ms % HEARTBEAT_MS == m->heartbeat_offset_ms)
            write_heartbeat (w, m, now_ms);
          if (now_ms % POLL_MS == m->poll_offset_ms && is_reader (w, i))
            read_heartbeats (w, m, now_ms);
        }
    }
}

static void
set_up (struct simulation *w, enum policy policy, enum fault fault, uint32_t n,
        uint64_t seed)
{
  memset (w, 0, sizeof *w);
  w->policy = policy;
  w->fault = fault;
  w->n = n;
  w->changed = true;
  wy_rng_seed (&w->rng, seed);
  for (uint32_t i = 0; i < n; i++)
    {
      struct member *m = &w->m[i];

      m->position = wy_rng_u64 (&w->rng);
      m->version = 1;
      m->heartbeat_offset_ms
          = wy_rng_below (&w->rng, HEARTBEAT_MS / TICK_MS) * TICK_MS;
      m->poll_offset_ms = wy_rng_below (&w->rng, POLL_MS / TICK_MS) * TICK_MS;
    }
  qsort (w->m, n, sizeof *w->m, by_position);
}

static void
tear_down (struct simulation *w)
{
  for (uint32_t i = 0; i < w->n; i++)
    {
      g_free (w->m[i].liveness);
      g_free (w->m[i].monitored);
    }
}

struct totals
{
  double rows;
  double bytes;
  double calls;
  double slowest_ms;
  double undetected;
  double false_positives;
};

static void
add_totals (const struct simulation *w, struct totals *s)
{
  double seconds = DURATION_MS / 1000.0;
  double rows = (double)w->rows;
  double calls = (double)w->calls;

  if (w->policy == ALL)
    {
      uint32_t readers = 0;

      for (uint32_t i = 0; i < w->n; i++)
        readers += is_reader (w, i);
      /* A watch delivers each heartbeat once, not at each poll.  */
      rows *= (double)w->n / readers * POLL_MS / HEARTBEAT_MS;
    }
  rows += (double)w->directory_rows;
  s->rows += rows / w->n / seconds;
  s->calls += calls / w->n / seconds;
  s->bytes += ((rows - (double)w->directory_rows) * HEARTBEAT_ROW_BYTES
               + (double)w->directory_rows * DIRECTORY_ROW_BYTES
               + calls * CALL_BYTES)
              / w->n / seconds;
  s->false_positives += w->false_positives;
  for (uint32_t i = 0; i < w->n; i++)
    {
      const struct member *m = &w->m[i];

      if (!m->killed)
        continue;
      s->undetected += !m->marked_failed;
      if (m->marked_failed
          && (double)(m->known_to_all_ms - FAULT_MS) > s->slowest_ms)
        s->slowest_ms = (double)(m->known_to_all_ms - FAULT_MS);
    }
}

static void
print (const struct simulation *w, const struct totals *s)
{
  const char *name = fault_names[w->fault];
  const char *policy = policy_names[w->policy];

  printf ("members-%s\t%u\t%s\trows_per_s\t%.4g\n", name, w->n, policy,
          s->rows / SEEDS);
  printf ("members-%s\t%u\t%s\tbytes_per_s\t%.4g\n", name, w->n, policy,
          s->bytes / SEEDS);
  printf ("members-%s\t%u\t%s\tcalls_per_s\t%.4g\n", name, w->n, policy,
          s->calls / SEEDS);
  printf ("members-%s\t%u\t%s\tknown_by_ms\t%.4g\n", name, w->n, policy,
          s->slowest_ms);
  printf ("members-%s\t%u\t%s\tundetected\t%.4g\n", name, w->n, policy,
          s->undetected);
  printf ("members-%s\t%u\t%s\twrongly_failed\t%.4g\n", name, w->n, policy,
          s->false_positives / SEEDS);
}

int
main (int argc, char **argv)
{
  static const uint32_t sizes[] = { 30, 100, 300, 1000, 2000 };
  static struct simulation w;
  bool ours = argc > 1 && !strcmp (argv[1], "ours");
  size_t n_sizes = G_N_ELEMENTS (sizes) - ours;

  for (size_t k = 0; k < n_sizes; k++)
    for (int fault = 0; fault < FAULTS; fault++)
      for (int policy = ours ? RING : ALL; policy < POLICIES; policy++)
        {
          struct totals s = { 0 };

          for (uint32_t seed = 1; seed <= SEEDS; seed++)
            {
              set_up (&w, (enum policy)policy, (enum fault)fault, sizes[k],
                      seed);
              simulate (&w);
              add_totals (&w, &s);
              tear_down (&w);
            }
          print (&w, &s);
        }
  return 0;
}
