/* A model of the leader election: three instances, a store and the platform,
   in virtual time, with random delays, lost and late responses, suspensions,
   restarts and releases.  The platform must never receive a lower generation
   after a higher one, one generation from two instances, or alternating calls
   of two instances within one lease.  */
#include <criterion/criterion.h>
#include <string.h>

#include "base/rng.h"
#include "lease/state.h"

enum
{
  NODES = 3,
  TTL_MS = 3000,
  TICK_MS = 50,
  STEPS = 1000000,
  CALLS_MAX = 8,
  DELAY_MS = 40,
  LONG_DELAY_MS = 2500,
  SUSPEND_MAX_MS = 6000,
  JITTER_MS = 20
};

/* The part of the design that is disabled.  The model must then find a
   fault.  */
enum flaw
{
  NO_FLAW,
  SUSPEND_NOT_COUNTED, /* the clock stops during a suspension */
  NO_CONDITION,        /* writes of the row are unconditional */
  NO_PAUSE_AT_START    /* a restarted instance is a candidate at once */
};

struct row
{
  int64_t rev;
  int64_t generation;
  int owner; /* incarnation */
  bool released;
};

enum call_kind
{
  CALL_READ,
  CALL_WRITE
};

/* A store call in progress.  */
struct call
{
  bool used;
  enum call_kind kind;
  int node;
  int incarnation;
  int64_t executed_ms;  /* when the store executes it */
  int64_t responded_ms; /* -1: its response is lost */
  bool was_executed;
  bool conflict;
  int64_t sent_ms; /* by the sender's clock */
  int64_t condition;
  struct row row; /* to be written, or as read */
};

struct node
{
  struct wy_lease_state s;
  int incarnation;
  int64_t resume_ms;
  int64_t suspended_ms; /* total */
  int64_t candidate_ms;
  int64_t timeout_ms; /* timeout of the call in progress */
  bool acquiring;
};

struct model
{
  struct wy_rng rng;
  enum flaw flaw;
  int64_t now_ms;
  int incarnations;
  struct row row;
  int64_t revs;
  struct node nodes[NODES];
  struct call calls[CALLS_MAX];
  /* Observed by the platform.  */
  int64_t highest_generation;
  int highest_node;
  int before_node; /* acted before the last one */
  int64_t called_ms[NODES];
  int last_node;
  uint32_t n_platform_calls;
  uint32_t leader_changes;
  const char *fault;
};

static bool
one_in (struct model *m, uint32_t n)
{
  return wy_rng_below (&m->rng, n) == 0;
}

static int64_t
clock_of (const struct model *m, int i)
{
  return m->now_ms
         - (m->flaw == SUSPEND_NOT_COUNTED ? m->nodes[i].suspended_ms : 0);
}

static void
start (struct model *m, int i)
{
  struct node *n = &m->nodes[i];

  n->incarnation = ++m->incarnations;
  n->acquiring = false;
  wy_lease_state_init (&n->s, TTL_MS, clock_of (m, i));
  n->candidate_ms
      = clock_of (m, i) + (m->flaw == NO_PAUSE_AT_START ? 0 : TTL_MS);
}

static void
send (struct model *m, int i, enum call_kind kind, const struct row *row)
{
  struct node *n = &m->nodes[i];

  for (int k = 0; k < CALLS_MAX; k++)
    {
      struct call *c = &m->calls[k];
      int64_t delay_ms = 1 + wy_rng_below (&m->rng, DELAY_MS);

      if (c->used)
        continue;
      memset (c, 0, sizeof *c);
      c->used = true;
      c->kind = kind;
      c->node = i;
      c->incarnation = n->incarnation;
      c->sent_ms = clock_of (m, i);
      c->condition = n->s.row.rev;
      if (row)
        c->row = *row;
      if (one_in (m, 25))
        delay_ms += wy_rng_below (&m->rng, LONG_DELAY_MS);
      c->executed_ms = m->now_ms + delay_ms;
      c->responded_ms = c->executed_ms + 1 + wy_rng_below (&m->rng, DELAY_MS);
      if (one_in (m, 25))
        c->responded_ms = -1;
      break;
    }
  n->timeout_ms = clock_of (m, i) + LONG_DELAY_MS / 2;
  wy_lease_on_sent (&n->s);
}

static void
execute_call (struct model *m, struct call *c)
{
  c->was_executed = true;
  if (c->kind == CALL_READ)
    {
      c->row = m->row;
      return;
    }
  c->conflict = m->flaw != NO_CONDITION && c->condition != m->row.rev;
  if (c->conflict)
    return;
  c->row.rev = ++m->revs;
  m->row = c->row;
}

static struct wy_lease_row
lease_row (const struct row *r, int incarnation)
{
  return (struct wy_lease_row){ .rev = r->rev,
                                .token_rev = r->rev,
                                .fencing_token = r->generation,
                                .ttl_ms = TTL_MS,
                                .released = r->released,
                                .own = r->owner == incarnation };
}

static void
deliver_response (struct model *m, struct call *c)
{
  struct node *n = &m->nodes[c->node];
  int64_t now_ms = clock_of (m, c->node);
  struct wy_lease_row row = lease_row (&c->row, n->incarnation);

  c->used = false;
  /* Timed out, or sent by an earlier incarnation.  */
  if (c->incarnation != n->incarnation || !n->s.pending)
    return;
  if (c->kind == CALL_READ)
    wy_lease_on_read (&n->s, now_ms, &row,
                      (uint32_t)wy_rng_below (&m->rng, JITTER_MS));
  else if (c->conflict)
    wy_lease_on_failed (&n->s, now_ms, true, 1);
  else if (n->acquiring)
    wy_lease_on_acquired (&n->s, c->sent_ms, now_ms, &row);
  else
    wy_lease_on_renewed (&n->s, c->sent_ms, now_ms, c->row.rev);
}

/* Node I calls the platform, without delay.  */
static void
call_platform (struct model *m, int i)
{
  int64_t generation = m->nodes[i].s.row.fencing_token;

  m->n_platform_calls++;
  if (generation < m->highest_generation)
    m->fault = "a lower generation after a higher one";
  if (generation == m->highest_generation && m->highest_node != i)
    m->fault = "one generation from two instances";
  if (m->last_node != i)
    {
      m->leader_changes++;
      if (m->called_ms[i] && m->now_ms - m->called_ms[i] < TTL_MS)
        m->fault = "calls of two instances alternate within a lease";
    }
  m->highest_generation = generation;
  m->highest_node = i;
  m->last_node = i;
  m->called_ms[i] = m->now_ms;
}

static void
release (struct model *m, int i)
{
  struct node *n = &m->nodes[i];
  struct row row = { .generation = n->s.row.fencing_token,
                     .owner = n->incarnation,
                     .released = true };

  n->candidate_ms = clock_of (m, i) + TTL_MS;
  n->s.until_ms = clock_of (m, i);
  wy_lease_next_step (&n->s, clock_of (m, i));
  if (n->s.pending)
    return;
  n->acquiring = false;
  send (m, i, CALL_WRITE, &row);
}

static void
step_node (struct model *m, int i)
{
  struct node *n = &m->nodes[i];
  int64_t now_ms = clock_of (m, i);
  struct row row = { .owner = n->incarnation };

  if (n->s.pending && now_ms >= n->timeout_ms)
    wy_lease_on_failed (&n->s, now_ms, false, 1);
  if (!n->s.held && now_ms < n->candidate_ms)
    return;
  switch (wy_lease_next_step (&n->s, now_ms))
    {
    case WY_LEASE_WAIT:
    case WY_LEASE_LOST:
      break;
    case WY_LEASE_READ:
      send (m, i, CALL_READ, NULL);
      break;
    case WY_LEASE_ACQUIRE:
      n->acquiring = true;
      row.generation = n->s.row.fencing_token + 1;
      send (m, i, CALL_WRITE, &row);
      break;
    case WY_LEASE_RENEW:
      n->acquiring = false;
      row.generation = n->s.row.fencing_token;
      send (m, i, CALL_WRITE, &row);
      break;
    }
  if (wy_lease_holds (&n->s, clock_of (m, i)) && one_in (m, 4))
    call_platform (m, i);
  if (wy_lease_holds (&n->s, clock_of (m, i)) && one_in (m, 400))
    release (m, i);
}

static void
step (struct model *m)
{
  m->now_ms += TICK_MS / NODES;
  for (int k = 0; k < CALLS_MAX; k++)
    {
      struct call *c = &m->calls[k];

      if (c->used && !c->was_executed && m->now_ms >= c->executed_ms)
        execute_call (m, c);
      if (c->used && c->was_executed && c->responded_ms < 0)
        c->used = false;
      else if (c->used && c->was_executed && m->now_ms >= c->responded_ms
               && m->now_ms >= m->nodes[c->node].resume_ms)
        deliver_response (m, c);
    }
  for (int i = 0; i < NODES; i++)
    {
      struct node *n = &m->nodes[i];

      if (m->now_ms < n->resume_ms)
        continue;
      if (one_in (m, 1500))
        {
          int64_t ms = wy_rng_below (&m->rng, SUSPEND_MAX_MS);

          n->resume_ms = m->now_ms + ms;
          n->suspended_ms += ms;
        }
      else if (one_in (m, 3000))
        start (m, i);
      else
        step_node (m, i);
    }
}

static struct model *
run_model (enum flaw flaw, uint64_t seed)
{
  static struct model m;

  memset (&m, 0, sizeof m);
  m.flaw = flaw;
  m.last_node = -1;
  m.now_ms = 1;
  wy_rng_seed (&m.rng, seed);
  for (int i = 0; i < NODES; i++)
    start (&m, i);
  for (int k = 0; k < STEPS && !m.fault; k++)
    step (&m);
  return &m;
}

Test (election_model, no_fault)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      struct model *m = run_model (NO_FLAW, seed);

      cr_expect_null (m->fault, "seed %d at %lld ms: %s", (int)seed,
                      (long long)m->now_ms, m->fault);
      cr_expect_gt (m->leader_changes, 100);
      cr_expect_gt (m->n_platform_calls, 10000);
    }
}

/* Guards against a model that finds no fault in a wrong design.  */
Test (election_model, detects_disabled_parts)
{
  cr_expect_not_null (run_model (SUSPEND_NOT_COUNTED, 1)->fault);
  cr_expect_not_null (run_model (NO_CONDITION, 1)->fault);
  cr_expect_not_null (run_model (NO_PAUSE_AT_START, 1)->fault);
}
