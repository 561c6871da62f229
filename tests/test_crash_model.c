/* All orders in which several entries can get a request that crashes each
   target, after the entry that saw the first three crashes is gone.

   A state holds what each entry knows and does.  Each step is one that a
   process or a message can take next; all reachable states are visited.  The
   decision whether a request runs is that of the entries.  A message takes
   less time than a run, and than an entry waits before it tries again.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "decide/crash_guard.h"

enum
{
  ENTRIES = 4,
  LATE_RUNS_MAX = 3,
  ATTEMPTS = 2,
  CRASHES_MAX = 8
};

enum phase
{
  WAITING,
  RUNNING,
  CRASHED, /* may try again, or release its permit */
  DONE
};

struct entry
{
  uint8_t phase;
  uint8_t known;    /* bit set of crashes */
  uint8_t incoming; /* crashes of which messages are on their way to it */
  uint8_t before;   /* those on their way to any entry when its run started */
  uint8_t permit;   /* entry that has given it, plus one; 0: none */
  uint8_t given_to; /* entry that has its permit, plus one; 0: none */
  uint8_t runs;
  uint8_t attempts;
  uint8_t hedged;
  uint8_t dead;
};

struct state
{
  struct entry e[ENTRIES];
  uint8_t crashes;
  uint8_t kills;
};

/* What the model allows.  */
struct rules
{
  bool new_needs_permit; /* a request that comes to an entry for the first
                            time after a crash */
  bool hedges;
  uint8_t kills;
  uint8_t known; /* crashes that all entries know at the beginning */
};

static struct rules rules;
static GHashTable *seen; /* struct state */
static GQueue todo = G_QUEUE_INIT;

static guint
hash_state (gconstpointer p)
{
  guint h = 5381;

  for (size_t i = 0; i < sizeof (struct state); i++)
    h = h * 33 + ((const uint8_t *)p)[i];
  return h;
}

static gboolean
equal_states (gconstpointer a, gconstpointer b)
{
  return !memcmp (a, b, sizeof (struct state));
}

static void
reach (const struct state *s)
{
  struct state *copy;

  if (g_hash_table_contains (seen, s))
    return;
  copy = g_memdup2 (s, sizeof *s);
  g_hash_table_add (seen, copy);
  g_queue_push_tail (&todo, copy);
}

static uint32_t
crashes_known (const struct entry *e)
{
  return (uint32_t)__builtin_popcount (e->known);
}

static enum wy_crash_guard_action
decide (const struct entry *e, enum wy_permit_state permit)
{
  struct wy_crash_guard_request r
      = { .crashes = crashes_known (e),
          .service_crashed = true,
          .equal_answered = !rules.new_needs_permit && e->attempts == 0,
          .permit = permit };

  return wy_crash_guard_check (&r);
}

static uint8_t
on_their_way (const struct state *s)
{
  uint8_t all = 0;

  for (int i = 0; i < ENTRIES; i++)
    all |= s->e[i].incoming;
  return all;
}

static void
run (const struct state *s, struct entry *e)
{
  e->phase = RUNNING;
  e->before = on_their_way (s);
  e->runs++;
  e->attempts++;
}

static int
giver_of (const struct state *s)
{
  int g = 0;

  while (g < ENTRIES && s->e[g].dead)
    g++;
  return g;
}

static void
release (struct state *s, struct entry *e)
{
  struct entry *g = e->permit ? &s->e[e->permit - 1] : NULL;

  if (g && !g->dead)
    {
      g->given_to = 0;
      g->known |= e->known;
    }
  e->permit = 0;
}

static void
ask (struct state s, int i)
{
  struct entry *e = &s.e[i];
  int giver = giver_of (&s);
  struct entry *g = &s.e[giver];
  enum wy_permit_state permit = WY_PERMIT_BUSY;

  g->known |= e->known;
  e->known |= g->known;
  if (crashes_known (g) >= 2)
    permit = WY_PERMIT_BLOCKED;
  else if (!g->given_to)
    permit = WY_PERMIT_GRANTED;
  switch (decide (e, permit))
    {
    case WY_CRASH_GUARD_RUN:
      g->given_to = (uint8_t)(i + 1);
      e->permit = (uint8_t)(giver + 1);
      run (&s, e);
      break;
    case WY_CRASH_GUARD_WAIT:
    case WY_CRASH_GUARD_ASK:
      break;
    case WY_CRASH_GUARD_REJECT_BLOCKED:
    case WY_CRASH_GUARD_REJECT_SUSPECT:
      e->phase = DONE;
      break;
    }
  reach (&s);
}

static void
step_waiting (struct state s, int i)
{
  struct entry *e = &s.e[i];

  if (e->attempts && e->incoming)
    return;
  switch (decide (e, e->permit ? WY_PERMIT_GRANTED : WY_PERMIT_NONE))
    {
    case WY_CRASH_GUARD_RUN:
      run (&s, e);
      reach (&s);
      return;
    case WY_CRASH_GUARD_ASK:
      ask (s, i);
      return;
    case WY_CRASH_GUARD_WAIT:
      return;
    case WY_CRASH_GUARD_REJECT_BLOCKED:
    case WY_CRASH_GUARD_REJECT_SUSPECT:
      release (&s, e);
      e->phase = DONE;
      reach (&s);
      return;
    }
}

/* A target crashes under the run of entry I, which tells all others.  */
static void
crash (struct state *s, int i)
{
  uint8_t bit = (uint8_t)(1U << s->crashes);

  cr_assert_lt (s->crashes, CRASHES_MAX);
  s->crashes++;
  s->e[i].known |= bit;
  for (int k = 0; k < ENTRIES; k++)
    if (k != i && !s->e[k].dead)
      s->e[k].incoming |= bit;
}

static void
step_running (struct state s, int i)
{
  struct state hedged = s;

  if (on_their_way (&s) & s.e[i].before)
    return;
  if (rules.hedges && !s.e[i].hedged && crashes_known (&s.e[i]) == 0)
    {
      hedged.e[i].hedged = 1;
      hedged.e[i].runs++;
      crash (&hedged, i);
      reach (&hedged);
    }
  crash (&s, i);
  s.e[i].phase = CRASHED;
  s.e[i].before = 0;
  reach (&s);
}

static void
step_crashed (struct state s, int i)
{
  struct state again = s;

  if (s.e[i].incoming)
    return;
  if (s.e[i].attempts < ATTEMPTS)
    {
      again.e[i].phase = WAITING;
      reach (&again);
    }
  release (&s, &s.e[i]);
  s.e[i].phase = DONE;
  reach (&s);
}

static void
step_process (const struct state *s, int i)
{
  switch ((enum phase)s->e[i].phase)
    {
    case WAITING:
      step_waiting (*s, i);
      break;
    case RUNNING:
      step_running (*s, i);
      break;
    case CRASHED:
      step_crashed (*s, i);
      break;
    case DONE:
      break;
    }
}

static void
step (const struct state *s)
{
  for (int i = 0; i < ENTRIES; i++)
    {
      struct state next = *s;

      if (s->e[i].dead)
        continue;
      step_process (s, i);
      if (s->e[i].incoming)
        {
          next.e[i].known |= next.e[i].incoming;
          next.e[i].incoming = 0;
          reach (&next);
        }
      next = *s;
      if (s->kills < rules.kills)
        {
          next.kills++;
          memset (&next.e[i], 0, sizeof next.e[i]);
          next.e[i].dead = 1;
          reach (&next);
        }
    }
}

/* The most runs by entries that live, in any order of steps.  */
static uint32_t
most_runs (const struct rules *r)
{
  struct state first = { 0 };
  struct state *s;
  uint32_t most = 0;

  rules = *r;
  seen = g_hash_table_new_full (hash_state, equal_states, g_free, NULL);
  first.crashes = r->known;
  for (int i = 0; i < ENTRIES; i++)
    first.e[i].known = (uint8_t)((1U << r->known) - 1);
  reach (&first);
  while ((s = g_queue_pop_head (&todo)))
    {
      uint32_t runs = 0;

      for (int i = 0; i < ENTRIES; i++)
        runs += s->e[i].runs;
      most = MAX (most, runs);
      step (s);
    }
  fprintf (stderr, "%u states, %u runs\n", g_hash_table_size (seen), most);
  g_hash_table_destroy (seen);
  return most;
}

/* No permit for a request that comes to an entry for the first time.  Guards
   against a model that does not find that each entry runs it.  */
Test (crash_model, each_entry_runs_a_new_request)
{
  cr_expect_geq (most_runs (&(struct rules){ 0 }), ENTRIES);
}

/* Guards against more runs than the three allowed, whatever is known.  */
Test (crash_model, few_runs_in_any_order)
{
  for (uint8_t known = 0; known <= 2; known++)
    {
      struct rules r
          = { .new_needs_permit = true, .hedges = true, .known = known };

      cr_expect_leq (most_runs (&r), LATE_RUNS_MAX, "%u known", known);
    }
}

/* The same if an entry dies on the way: the one that has a permit, or that has
   given it.  */
Test (crash_model, few_runs_though_an_entry_dies)
{
  for (uint8_t known = 0; known <= 2; known++)
    {
      struct rules r
          = { .new_needs_permit = true, .kills = 1, .known = known };

      cr_expect_leq (most_runs (&r), LATE_RUNS_MAX, "%u known", known);
    }
}
