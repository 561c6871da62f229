/* A model of the lease of the duties: three instances, a store and the
   platform, in virtual time, with delays, lost and late answers, sleeps,
   restarts and releases by chance.  The platform must never see a lower
   generation after a higher one, one generation from two instances, or two
   instances that take turns within one lease.  */
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
  SLEEP_MAX_MS = 6000,
  JITTER_MS = 20
};

/* What is taken out of the design; the model must then find a fault.  */
enum flaw
{
  SOUND,
  SLEEP_UNNOTICED,  /* time asleep is not counted */
  NO_CONDITION,     /* the row is written whatever it holds */
  NO_PAUSE_AT_START /* a restarted instance is a candidate at once */
};

struct row
{
  int64_t rev;
  int64_t fence;
  int owner; /* incarnation */
  bool released;
};

enum call_kind
{
  CALL_READ,
  CALL_WRITE
};

/* A call to the store under way.  */
struct call
{
  bool used;
  enum call_kind kind;
  int node;
  int incarnation;
  int64_t performed_ms; /* when the store gets it */
  int64_t answered_ms;  /* -1: its answer is lost */
  bool performed;
  bool conflict;
  int64_t sent_ms; /* by the sender's clock */
  int64_t condition;
  struct row row; /* to be written, or as read */
};

struct node
{
  struct wy_lease_state s;
  int incarnation;
  int64_t awake_ms;
  int64_t slept_ms; /* in all */
  int64_t candidate_ms;
  int64_t give_up_ms; /* no answer by then */
  bool taking;
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
  /* Seen by the platform.  */
  int64_t top;
  int top_node;
  int before_node; /* acted before the last one */
  int64_t acted_ms[NODES];
  int last_node;
  uint32_t acts;
  uint32_t changes;
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
  return m->now_ms - (m->flaw == SLEEP_UNNOTICED ? m->nodes[i].slept_ms : 0);
}

static void
start (struct model *m, int i)
{
  struct node *n = &m->nodes[i];

  n->incarnation = ++m->incarnations;
  n->taking = false;
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
      int64_t way_ms = 1 + wy_rng_below (&m->rng, DELAY_MS);

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
        way_ms += wy_rng_below (&m->rng, LONG_DELAY_MS);
      c->performed_ms = m->now_ms + way_ms;
      c->answered_ms = c->performed_ms + 1 + wy_rng_below (&m->rng, DELAY_MS);
      if (one_in (m, 25))
        c->answered_ms = -1;
      break;
    }
  n->give_up_ms = clock_of (m, i) + LONG_DELAY_MS / 2;
  wy_lease_sent (&n->s);
}

static void
perform (struct model *m, struct call *c)
{
  c->performed = true;
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
seen_row (const struct row *r, int incarnation)
{
  return (struct wy_lease_row){ .rev = r->rev,
                                .fence_rev = r->rev,
                                .fence = r->fence,
                                .ttl_ms = TTL_MS,
                                .released = r->released,
                                .own = r->owner == incarnation };
}

static void
answer (struct model *m, struct call *c)
{
  struct node *n = &m->nodes[c->node];
  int64_t now_ms = clock_of (m, c->node);
  struct wy_lease_row row = seen_row (&c->row, n->incarnation);

  c->used = false;
  /* Given up, or of an earlier start.  */
  if (c->incarnation != n->incarnation || !n->s.busy)
    return;
  if (c->kind == CALL_READ)
    wy_lease_seen (&n->s, now_ms, &row,
                   (uint32_t)wy_rng_below (&m->rng, JITTER_MS));
  else if (c->conflict)
    wy_lease_refused (&n->s, now_ms, true, 1);
  else if (n->taking)
    wy_lease_taken (&n->s, c->sent_ms, now_ms, &row);
  else
    wy_lease_renewed (&n->s, c->sent_ms, now_ms, c->row.rev);
}

/* Node I calls the platform, which the call reaches at once.  */
static void
act (struct model *m, int i)
{
  int64_t generation = m->nodes[i].s.row.fence;

  m->acts++;
  if (generation < m->top)
    m->fault = "a lower generation after a higher one";
  if (generation == m->top && m->top_node != i)
    m->fault = "one generation from two instances";
  if (m->last_node != i)
    {
      m->changes++;
      if (m->acted_ms[i] && m->now_ms - m->acted_ms[i] < TTL_MS)
        m->fault = "two instances take turns within a lease";
    }
  m->top = generation;
  m->top_node = i;
  m->last_node = i;
  m->acted_ms[i] = m->now_ms;
}

static void
release (struct model *m, int i)
{
  struct node *n = &m->nodes[i];
  struct row row
      = { .fence = n->s.row.fence, .owner = n->incarnation, .released = true };

  n->candidate_ms = clock_of (m, i) + TTL_MS;
  n->s.until_ms = clock_of (m, i);
  wy_lease_next (&n->s, clock_of (m, i));
  if (n->s.busy)
    return;
  n->taking = false;
  send (m, i, CALL_WRITE, &row);
}

static void
turn (struct model *m, int i)
{
  struct node *n = &m->nodes[i];
  int64_t now_ms = clock_of (m, i);
  struct row row = { .owner = n->incarnation };

  if (n->s.busy && now_ms >= n->give_up_ms)
    wy_lease_refused (&n->s, now_ms, false, 1);
  if (!n->s.held && now_ms < n->candidate_ms)
    return;
  switch (wy_lease_next (&n->s, now_ms))
    {
    case WY_LEASE_WAIT:
    case WY_LEASE_STOP:
      break;
    case WY_LEASE_READ:
      send (m, i, CALL_READ, NULL);
      break;
    case WY_LEASE_TAKE:
      n->taking = true;
      row.fence = n->s.row.fence + 1;
      send (m, i, CALL_WRITE, &row);
      break;
    case WY_LEASE_RENEW:
      n->taking = false;
      row.fence = n->s.row.fence;
      send (m, i, CALL_WRITE, &row);
      break;
    }
  if (wy_lease_holds (&n->s, clock_of (m, i)) && one_in (m, 4))
    act (m, i);
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

      if (c->used && !c->performed && m->now_ms >= c->performed_ms)
        perform (m, c);
      if (c->used && c->performed && c->answered_ms < 0)
        c->used = false;
      else if (c->used && c->performed && m->now_ms >= c->answered_ms
               && m->now_ms >= m->nodes[c->node].awake_ms)
        answer (m, c);
    }
  for (int i = 0; i < NODES; i++)
    {
      struct node *n = &m->nodes[i];

      if (m->now_ms < n->awake_ms)
        continue;
      if (one_in (m, 1500))
        {
          int64_t ms = wy_rng_below (&m->rng, SLEEP_MAX_MS);

          n->awake_ms = m->now_ms + ms;
          n->slept_ms += ms;
        }
      else if (one_in (m, 3000))
        start (m, i);
      else
        turn (m, i);
    }
}

static struct model *
walk (enum flaw flaw, uint64_t seed)
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

Test (duties_model, no_fault)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      struct model *m = walk (SOUND, seed);

      cr_expect_null (m->fault, "seed %d at %lld ms: %s", (int)seed,
                      (long long)m->now_ms, m->fault);
      cr_expect_gt (m->changes, 100);
      cr_expect_gt (m->acts, 10000);
    }
}

/* Guards against a model that would find no fault whatever the design.  */
Test (duties_model, finds_what_is_taken_out)
{
  cr_expect_not_null (walk (SLEEP_UNNOTICED, 1)->fault);
  cr_expect_not_null (walk (NO_CONDITION, 1)->fault);
  cr_expect_not_null (walk (NO_PAUSE_AT_START, 1)->fault);
}
