/* Checks that no request runs twice and that "not run" is only reported if
   true, with random schedules in virtual time: callers with wrong clocks send
   the same key through several entries, which know different revisions;
   messages are delayed, lost and duplicated; agents crash and restart with
   another clock and no memory; members change; the store is down for long.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "agent/at_most_once.h"
#include "base/id.h"
#include "base/rng.h"
#include "config/home.h"

enum
{
  AGENTS = 4,
  ENTRIES = 3,
  KEYS_MAX = 400,
  MESSAGES_MAX = 400,
  REVISIONS_MAX = 40,
  STEPS = 1500,
  SCHEDULES = 2000,
  /* Each clock is off by at most half of the clock skew configured in the
     agents.  */
  OFF_MS = 25,
  SKEW_MS = 2 * OFF_MS,
  TRUST_MS = 1500,
  COLD_MS = 1200,
  CALLER_OFF_MS = 4000
};

struct revision
{
  struct wy_service_config service;
};

struct process /* entry or agent */
{
  int64_t off_ms;
  int revision; /* index; -1: none */
  int64_t confirmed_ms;
  bool up;
  struct wy_at_most_once *once; /* agents only */
};

struct key
{
  char id[16];
  int64_t issued_ms; /* 0: none */
  uint32_t runs;
  int64_t ran_ms; /* true time */
  bool denied;
  int64_t denied_ms; /* true time */
};

struct message
{
  int key;
  int agent;
  int64_t sent_ms; /* true time */
  int64_t stamp_ms;
};

struct sim
{
  struct wy_rng rng;
  int64_t now_ms;
  int64_t skew_ms; /* as configured in the agents */
  uint32_t ids_max;
  bool store_down;
  struct revision revisions[REVISIONS_MAX];
  int n_revisions;
  struct process agents[AGENTS];
  struct process entries[ENTRIES];
  struct key keys[KEYS_MAX];
  int n_keys;
  struct message messages[MESSAGES_MAX];
  int n_messages;
  uint32_t verdicts[WY_AT_MOST_ONCE_NO_CONFIG + 1];
  uint32_t executed;
  uint32_t denials;
  uint32_t twice;
  uint32_t false_denials;
};

static const char *const names[AGENTS] = { "p-1", "p-2", "p-3", "p-4" };

static uint32_t
below (struct sim *s, uint32_t n)
{
  return wy_rng_below (&s->rng, n);
}

static int64_t
draw_off (struct sim *s)
{
  return (int64_t)below (s, 2 * OFF_MS + 1) - OFF_MS;
}

static int64_t
clock_of (const struct sim *s, const struct process *p)
{
  return s->now_ms + p->off_ms;
}

static GPtrArray *
draw_members (struct sim *s)
{
  GPtrArray *list = g_ptr_array_new ();

  do
    {
      g_ptr_array_set_size (list, 0);
      for (int i = 0; i < AGENTS; i++)
        if (below (s, 3))
          g_ptr_array_add (list, (char *)names[i]);
    }
  while (list->len == 0);
  return list;
}

/* An operator changes the members, following the rules of
   src/config/roster.c.  */
static void
change_members (struct sim *s)
{
  struct revision *old
      = s->n_revisions ? &s->revisions[s->n_revisions - 1] : NULL;
  struct revision *r = &s->revisions[s->n_revisions];
  int64_t applier_ms = s->now_ms + draw_off (s);

  if (s->n_revisions == REVISIONS_MAX || s->store_down
      || (old && applier_ms < old->service.effective_ms))
    return;
  r->service.members = draw_members (s);
  r->service.previous
      = old ? g_ptr_array_ref (old->service.members) : g_ptr_array_new ();
  r->service.effective_ms = old ? applier_ms + TRUST_MS : 0;
  s->n_revisions++;
}

static void
start_agent (struct sim *s, struct process *p)
{
  struct wy_at_most_once_options o = { .clock_skew_ms = (uint32_t)s->skew_ms,
                                       .cold_window_ms = COLD_MS,
                                       .roster_trust_ms = TRUST_MS,
                                       .ids_max = s->ids_max };

  p->off_ms = draw_off (s);
  p->revision = -1;
  p->confirmed_ms = 0;
  p->up = true;
  o.now_ms = clock_of (s, p);
  p->once = wy_at_most_once_new (&o);
}

static void
crash_agent (struct process *p)
{
  p->up = false;
  wy_at_most_once_free (p->once);
  p->once = NULL;
}

static void
read_store (struct sim *s, struct process *entry)
{
  if (s->store_down)
    return;
  entry->revision = s->n_revisions - 1;
  entry->confirmed_ms = clock_of (s, entry);
}

/* The heartbeat of an entry carries its configuration to an agent.  */
static void
push_config (struct sim *s, const struct process *entry, struct process *agent)
{
  const struct wy_service_config *c;
  struct wy_at_most_once_members m = { 0 };

  if (!agent->up || entry->revision < 0 || entry->revision < agent->revision)
    return;
  if (entry->revision > agent->revision)
    {
      c = &s->revisions[entry->revision].service;
      m.revision = entry->revision;
      m.effective_ms = c->effective_ms;
      for (guint i = 0; i < c->members->len; i++)
        m.digest = wy_hash64 (c->members->pdata[i], 3, m.digest);
      wy_at_most_once_set_members (agent->once, &m, clock_of (s, agent));
      agent->revision = entry->revision;
      agent->confirmed_ms = entry->confirmed_ms;
    }
  if (entry->confirmed_ms > agent->confirmed_ms)
    agent->confirmed_ms = entry->confirmed_ms;
}

static void
send_key (struct sim *s, int key)
{
  const struct process *e = &s->entries[below (s, ENTRIES)];
  struct message *m = &s->messages[s->n_messages];
  const struct wy_service_config *c;
  const char *home;
  int64_t issued_ms = s->keys[key].issued_ms;

  if (e->revision < 0 || s->n_messages == MESSAGES_MAX)
    return;
  c = &s->revisions[e->revision].service;
  home = wy_service_home (c, s->keys[key].id,
                          issued_ms ? issued_ms : clock_of (s, e));
  m->key = key;
  m->agent = 0;
  while (strcmp (names[m->agent], home) != 0)
    m->agent++;
  /* Sometimes an entry selects a wrong agent.  */
  if (below (s, 20) == 0)
    m->agent = (int)below (s, AGENTS);
  m->sent_ms = s->now_ms;
  m->stamp_ms = clock_of (s, e);
  s->n_messages++;
}

static void
new_key (struct sim *s)
{
  struct key *k = &s->keys[s->n_keys];

  if (s->n_keys == KEYS_MAX)
    return;
  memset (k, 0, sizeof *k);
  snprintf (k->id, sizeof k->id, "portal:%d", s->n_keys);
  switch (below (s, 5))
    {
    case 0: /* the caller's clock is wrong */
      k->issued_ms
          = s->now_ms + (int64_t)below (s, 2 * CALLER_OFF_MS) - CALLER_OFF_MS;
      break;
    case 1: /* no issue time in the key */
      break;
    default:
      k->issued_ms = s->now_ms + draw_off (s);
    }
  send_key (s, s->n_keys++);
}

static void
deny (struct sim *s, struct key *k)
{
  s->denials++;
  if (k->runs)
    s->false_denials++;
  k->denied = true;
  k->denied_ms = s->now_ms;
}

static void
execute (struct sim *s, struct key *k, const struct message *m)
{
  s->executed++;
  /* Keys without an issue time are only guaranteed for the cold window.  */
  if (k->runs
      && (k->issued_ms || s->now_ms - k->ran_ms < COLD_MS - 2 * OFF_MS))
    s->twice++;
  if (k->denied && m->sent_ms < k->denied_ms)
    s->false_denials++;
  k->runs++;
  k->ran_ms = s->now_ms;
}

static struct wy_at_most_once_attempt
attempt_of (const struct sim *s, const struct process *p, const struct key *k,
            const struct message *m)
{
  struct wy_at_most_once_attempt a
      = { .id = wy_hash64 (k->id, strlen (k->id), 0),
          .issued_ms = k->issued_ms,
          .sent_ms = m->stamp_ms,
          .now_ms = clock_of (s, p),
          .config_confirmed_ms = p->confirmed_ms };
  const struct wy_service_config *c;
  const char *home;
  const char *before;

  if (p->revision < 0)
    return a;
  c = &s->revisions[p->revision].service;
  home = wy_service_home (c, k->id, a.issued_ms ? a.issued_ms : a.now_ms);
  before = wy_service_previous_home (c, k->id);
  a.is_home = home && !strcmp (home, names[m->agent]);
  a.home_changed = home && before && strcmp (home, before) != 0;
  a.effective_ms = c->effective_ms;
  return a;
}

static void
deliver (struct sim *s)
{
  struct message m;
  struct process *p;
  struct key *k;
  struct wy_at_most_once_attempt a;
  struct wy_at_most_once_decision v;
  uint32_t i;

  if (s->n_messages == 0)
    return;
  i = below (s, (uint32_t)s->n_messages);
  m = s->messages[i];
  /* Removed from transit, or also kept as a copy that arrives late.  */
  if (below (s, 8))
    s->messages[i] = s->messages[--s->n_messages];
  p = &s->agents[m.agent];
  if (!p->up || below (s, 10) == 0)
    return;
  k = &s->keys[m.key];
  a = attempt_of (s, p, k, &m);
  v = wy_at_most_once_check (p->once, &a);
  s->verdicts[v.verdict]++;
  /* A request that may run is often rejected because of load.  */
  if (v.verdict == WY_AT_MOST_ONCE_RUN && below (s, 4))
    {
      wy_at_most_once_started (p->once, &a);
      execute (s, k, &m);
    }
  else if (v.not_run)
    {
      wy_at_most_once_reported_not_run (p->once, &a);
      deny (s, k);
    }
}

static void
crash_or_restart (struct sim *s)
{
  struct process *p = &s->agents[below (s, AGENTS)];

  if (!p->up)
    start_agent (s, p);
  else if (below (s, 4) == 0)
    crash_agent (p);
}

static void
step (struct sim *s)
{
  uint32_t what = below (s, 100);

  if (what < 12)
    new_key (s);
  else if (what < 30 && s->n_keys)
    send_key (s,
              s->n_keys - 1 - (int)below (s, (uint32_t)MIN (s->n_keys, 60)));
  else if (what < 62)
    deliver (s);
  else if (what < 72)
    push_config (s, &s->entries[below (s, ENTRIES)],
                 &s->agents[below (s, AGENTS)]);
  else if (what < 78)
    read_store (s, &s->entries[below (s, ENTRIES)]);
  else if (what < 81)
    crash_or_restart (s);
  else if (what < 83)
    change_members (s);
  else if (what < 84)
    s->store_down = !s->store_down;
  else
    s->now_ms += below (s, 40);
}

static void
run_schedule (struct sim *s, uint64_t seed, int64_t configured_skew_ms,
              uint32_t ids_max)
{
  memset (s, 0, sizeof *s);
  wy_rng_seed (&s->rng, seed);
  s->now_ms = 1000000;
  s->skew_ms = configured_skew_ms;
  s->ids_max = ids_max;
  change_members (s);
  for (int i = 0; i < AGENTS; i++)
    start_agent (s, &s->agents[i]);
  for (int i = 0; i < ENTRIES; i++)
    {
      s->entries[i].off_ms = draw_off (s);
      read_store (s, &s->entries[i]);
    }
  for (int i = 0; i < STEPS; i++)
    step (s);
  for (int i = 0; i < AGENTS; i++)
    wy_at_most_once_free (s->agents[i].once);
  for (int i = 0; i < s->n_revisions; i++)
    {
      g_ptr_array_unref (s->revisions[i].service.members);
      g_ptr_array_unref (s->revisions[i].service.previous);
    }
}

/* A filing is sent again through another entry while agents restart and
   members change.  If it ran twice, it would be recorded twice; if "not run"
   were reported for one that ran, the caller would file it again.  */
Test (at_most_once, no_key_runs_twice_and_not_run_is_true)
{
  static struct sim s;
  uint32_t verdicts[WY_AT_MOST_ONCE_NO_CONFIG + 1] = { 0 };
  uint32_t executed = 0;
  uint32_t denials = 0;

  for (uint64_t seed = 1; seed <= SCHEDULES; seed++)
    {
      run_schedule (&s, seed, SKEW_MS, 0);
      cr_assert_eq (s.twice, 0, "seed %llu", (unsigned long long)seed);
      cr_assert_eq (s.false_denials, 0, "seed %llu", (unsigned long long)seed);
      executed += s.executed;
      denials += s.denials;
      for (int v = 0; v <= WY_AT_MOST_ONCE_NO_CONFIG; v++)
        verdicts[v] += s.verdicts[v];
    }
  /* The schedules must reach every verdict, or they prove nothing.  */
  for (int v = 0; v <= WY_AT_MOST_ONCE_NO_CONFIG; v++)
    cr_expect_gt (verdicts[v], SCHEDULES / 10, "verdict %d", v);
  cr_expect_gt (executed, SCHEDULES * 10);
  cr_expect_gt (denials, SCHEDULES);
}

/* The same with a memory that is far too small: requests whose records were
   evicted are rejected by time.  */
Test (at_most_once, small_memory)
{
  static struct sim s;
  uint32_t executed = 0;

  for (uint64_t seed = 1; seed <= SCHEDULES / 4; seed++)
    {
      run_schedule (&s, seed, SKEW_MS, 3);
      cr_assert_eq (s.twice, 0, "seed %llu", (unsigned long long)seed);
      cr_assert_eq (s.false_denials, 0, "seed %llu", (unsigned long long)seed);
      executed += s.executed;
    }
  cr_expect_gt (executed, SCHEDULES / 4);
}

/* The guarantee depends on the bound of the clock skew.  Clocks that differ by
   more must break it, or the schedules are too weak to prove anything.  */
Test (at_most_once, larger_clock_skew_is_detected)
{
  static struct sim s;
  uint32_t broken = 0;

  for (uint64_t seed = 1; seed <= SCHEDULES; seed++)
    {
      run_schedule (&s, seed, 1, 0);
      broken += s.twice + s.false_denials;
    }
  cr_assert_gt (broken, 0);
}
