/* Failure detection among members, in virtual time.  */
#include <criterion/criterion.h>
#include <string.h>

#include <glib.h>

#include "base/rng.h"
#include "decide/liveness.h"
#include "decide/ring.h"

enum
{
  POLL_MS = 250,
  HEARTBEAT_MS = 500
};

/* Guards against missing a peer whose heartbeats stop while the store is
   reachable.  */
Test (liveness, silent_peer_fails)
{
  struct wy_liveness l = { 0 };
  int64_t at_ms = 1000;

  for (int i = 0; i < 6; i++, at_ms += POLL_MS)
    wy_liveness_observe (&l, at_ms, 7);
  cr_expect (wy_liveness_is_late (&l));
  cr_expect_not (wy_liveness_has_failed (&l));
  wy_liveness_observe (&l, at_ms, 8);
  cr_expect_not (wy_liveness_is_late (&l));
  for (int i = 0; i < 7; i++)
    wy_liveness_observe (&l, at_ms += POLL_MS, 8);
  cr_expect (wy_liveness_has_failed (&l));
}

/* Guards against marking all peers after an outage of the store or a pause of
   the reader.  */
Test (liveness, outage_is_not_silence)
{
  struct wy_liveness l = { 0 };

  wy_liveness_observe (&l, 1000, 7);
  wy_liveness_observe (&l, 1250, 7);
  wy_liveness_observe (&l, 9000, 7);
  cr_expect_eq (l.silent_ms, 0);
  for (int64_t at_ms = 9250; at_ms < 9000 + WY_LIVENESS_FAILED_MS;
       at_ms += POLL_MS)
    wy_liveness_observe (&l, at_ms, 7);
  cr_expect_not (wy_liveness_has_failed (&l));
}

Test (ring, successors)
{
  static const uint64_t positions[] = { 10, 20, 30, 40 };
  size_t at[8];

  cr_expect_eq (wy_ring_successors (positions, 4, 30, 2, at), 2);
  cr_expect_eq (at[0], 3);
  cr_expect_eq (at[1], 0);
  cr_expect_eq (wy_ring_successors (positions, 4, 5, 1, at), 1);
  cr_expect_eq (at[0], 0);
  /* A member is not its own successor.  */
  cr_expect_eq (wy_ring_successors (positions, 4, 20, 8, at), 3);
  cr_expect_eq (at[0], 2);
  cr_expect_eq (at[2], 0);
  cr_expect_eq (wy_ring_successors (positions, 1, 10, 8, at), 0);
  cr_expect_eq (wy_ring_successors (positions, 0, 10, 8, at), 0);
}

/* Guards against slow detection when the nearest predecessors of a failed
   member have failed as well.  */
Test (ring, late_successors_extend_monitoring)
{
  struct wy_liveness liveness[16] = { 0 };

  cr_expect_eq (wy_ring_monitored (liveness, 16, 4), 4);
  cr_expect_eq (wy_ring_monitored (liveness, 3, 4), 3);
  liveness[1].silent_ms = WY_LIVENESS_LATE_MS;
  cr_expect_eq (wy_ring_monitored (liveness, 16, 4), 8);
  liveness[2].silent_ms = WY_LIVENESS_LATE_MS;
  cr_expect_eq (wy_ring_monitored (liveness, 16, 4), 12);
  liveness[8].silent_ms = WY_LIVENESS_LATE_MS;
  cr_expect_eq (wy_ring_monitored (liveness, 16, 4), 16);
}

enum
{
  MEMBERS = 12,
  STEP_MS = 50,
  FAULT_STEPS = 300,
  RECOVERY_STEPS = 160,
  SEEDS = 400,
  WRITE_DELAY_STEPS = 30 /* longest delay of a write */
};

/* Protocol steps to leave out.  */
struct omissions
{
  bool no_rewrite_after_mark; /* a live member does not clear its mark */
  bool no_ring_update;        /* failed members stay on the ring */
  bool no_extension_for_late;
};

struct peer
{
  bool is_running;
  bool reaches_store;
  int64_t heartbeat_version;
  int64_t row_version;
  bool failed; /* according to its row */
  uint32_t n_successors;
  size_t successor[MEMBERS];
  struct wy_liveness liveness[MEMBERS];
  /* Delayed write of a mark; mark_in_steps is 0 if there is none.  */
  uint32_t mark_in_steps;
  size_t mark_of;
  int64_t mark_version;
};

struct members_model
{
  struct peer peer[MEMBERS];
  uint64_t positions[MEMBERS];
  struct omissions omissions;
  struct wy_rng rng;
  int64_t now_ms;
  int64_t version;
};

static void
rebuild_ring (struct members_model *m)
{
  uint64_t positions[MEMBERS];
  size_t member[MEMBERS];
  size_t n = 0;

  for (size_t i = 0; i < MEMBERS; i++)
    if (!m->peer[i].failed || m->omissions.no_ring_update)
      {
        positions[n] = m->positions[i];
        member[n++] = i;
      }
  for (size_t i = 0; i < MEMBERS; i++)
    {
      struct peer *p = &m->peer[i];
      struct wy_liveness liveness[MEMBERS] = { 0 };
      size_t at[MEMBERS];
      uint32_t count = (uint32_t)wy_ring_successors (
          positions, n, m->positions[i], MEMBERS, at);

      for (uint32_t k = 0; k < count; k++)
        for (uint32_t b = 0; b < p->n_successors; b++)
          if (p->successor[b] == member[at[k]])
            liveness[k] = p->liveness[b];
      for (uint32_t k = 0; k < count; k++)
        p->successor[k] = member[at[k]];
      memcpy (p->liveness, liveness, sizeof liveness);
      p->n_successors = count;
    }
}

static void
set_failed (struct members_model *m, size_t i, bool failed)
{
  m->peer[i].failed = failed;
  m->peer[i].row_version = ++m->version;
  rebuild_ring (m);
}

static void
write_heartbeat (struct members_model *m, size_t i)
{
  struct peer *p = &m->peer[i];

  p->heartbeat_version = ++m->version;
  if (p->failed && !m->omissions.no_rewrite_after_mark)
    set_failed (m, i, false);
}

static void
poll (struct members_model *m, size_t i)
{
  struct peer *p = &m->peer[i];
  size_t n = m->omissions.no_extension_for_late
                 ? MIN (p->n_successors, 2)
                 : wy_ring_monitored (p->liveness, p->n_successors, 2);

  for (size_t k = 0; k < n; k++)
    {
      struct peer *other = &m->peer[p->successor[k]];

      wy_liveness_observe (&p->liveness[k], m->now_ms,
                           other->heartbeat_version);
      if (!wy_liveness_has_failed (&p->liveness[k]) || other->failed
          || p->mark_in_steps)
        continue;
      p->mark_in_steps = wy_rng_below (&m->rng, 20)
                             ? 1
                             : wy_rng_below (&m->rng, WRITE_DELAY_STEPS) + 1;
      p->mark_of = p->successor[k];
      p->mark_version = other->row_version;
    }
}

static void
perform_mark (struct members_model *m, struct peer *p)
{
  if (!p->mark_in_steps || --p->mark_in_steps)
    return;
  if (m->peer[p->mark_of].row_version == p->mark_version)
    set_failed (m, p->mark_of, true);
}

static void
inject_fault (struct members_model *m)
{
  struct peer *p = &m->peer[wy_rng_below (&m->rng, MEMBERS)];

  switch (wy_rng_below (&m->rng, 12))
    {
    case 0:
      p->is_running = false;
      break;
    case 1:
      p->is_running = true;
      break;
    case 2:
      p->reaches_store = false;
      break;
    case 3:
      p->reaches_store = true;
      break;
    default:
      break;
    }
}

static void
step (struct members_model *m)
{
  m->now_ms += STEP_MS;
  for (size_t i = 0; i < MEMBERS; i++)
    {
      struct peer *p = &m->peer[i];

      perform_mark (m, p);
      if (!p->is_running || !p->reaches_store)
        continue;
      if (m->now_ms % HEARTBEAT_MS == (int64_t)(i * STEP_MS) % HEARTBEAT_MS)
        write_heartbeat (m, i);
      if (m->now_ms % POLL_MS == (int64_t)(i * STEP_MS) % POLL_MS)
        poll (m, i);
    }
}

/* The number of members whose row is wrong after faults and recovery.  */
static uint32_t
count_wrong (uint64_t seed, const struct omissions *omissions)
{
  static struct members_model m;
  uint32_t wrong = 0;

  memset (&m, 0, sizeof m);
  m.omissions = *omissions;
  wy_rng_seed (&m.rng, seed);
  for (size_t i = 0; i < MEMBERS; i++)
    {
      m.positions[i] = (i + 1) * 100;
      m.peer[i].is_running = true;
      m.peer[i].reaches_store = true;
      m.peer[i].row_version = ++m.version;
    }
  rebuild_ring (&m);
  for (int i = 0; i < FAULT_STEPS; i++)
    {
      inject_fault (&m);
      step (&m);
    }
  for (size_t i = 0; i < MEMBERS; i++)
    m.peer[i].reaches_store = true;
  /* At least one member must be left to detect failures.  */
  m.peer[0].is_running = true;
  for (int i = 0; i < RECOVERY_STEPS; i++)
    step (&m);
  for (size_t i = 0; i < MEMBERS; i++)
    wrong += m.peer[i].failed == m.peer[i].is_running;
  return wrong;
}

static uint32_t
count_wrong_in_all (const struct omissions *omissions)
{
  uint32_t wrong = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    wrong += count_wrong (seed, omissions);
  return wrong;
}

/* Members stop, lose the store and recover in random order, and marks are
   written late.  Guards against live members that stay marked and failed ones
   that stay unmarked.  */
Test (members_model, converges_after_faults)
{
  static const struct omissions none;

  cr_expect_eq (count_wrong_in_all (&none), 0);
}

/* Guards against a model too weak to detect that a protocol step is missing.
 */
Test (members_model, omissions_are_detected)
{
  static const struct omissions omissions[]
      = { { .no_rewrite_after_mark = true },
          { .no_ring_update = true, .no_extension_for_late = true } };

  for (size_t i = 0; i < G_N_ELEMENTS (omissions); i++)
    cr_expect_gt (count_wrong_in_all (&omissions[i]), 0, "omission %zu", i);
}
