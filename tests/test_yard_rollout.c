/* Weight rollouts over targets that fail or restart.  */
#include <criterion/criterion.h>
#include <string.h>

#include "support/yard_fixture.h"

#define TARGETS 6

struct target
{
  char id[8];
  char source[24];
  int64_t version;
  int64_t staged;
  uint32_t fail_next;    /* orders that fail */
  uint32_t confirm_next; /* orders that have to be repeated */
  bool busy;
  bool activating;
  uint32_t from_store; /* orders to fetch from the weight store */
  uint32_t from_peer;  /* orders to fetch from another agent */
};

struct pending
{
  uv_timer_t timer;
  struct orderer *o;
  struct target *t;
  enum wy_order_kind kind;
  int64_t version;
  void (*on_done) (void *done_ctx, int result, int64_t version);
  void *done_ctx;
};

struct orderer
{
  struct wy_orderer base;
  uv_loop_t *loop;
  struct target target[TARGETS];
  uint32_t activating;
  uint32_t activating_max;
  uint32_t orders;
  int64_t fence;
};

static void
on_closed (uv_handle_t *h)
{
  g_free (h->data);
}

static void
on_order_done (uv_timer_t *timer)
{
  struct pending *p = timer->data;
  struct target *t = p->t;
  int result = 0;

  t->busy = false;
  if (p->kind == WY_ORDER_ACTIVATE)
    p->o->activating--;
  if (t->confirm_next > 0)
    {
      t->confirm_next--;
      result = WY_ORDER_ECONFIRM;
    }
  else if (t->fail_next > 0)
    {
      t->fail_next--;
      result = -1;
    }
  else if (p->kind == WY_ORDER_STAGE)
    t->staged = p->version;
  else
    t->version = p->version;
  p->on_done (p->done_ctx, result, t->version);
  uv_close ((uv_handle_t *)timer, on_closed);
}

static void
order (void *ctx, const struct wy_order_request *r,
       void (*on_done) (void *done_ctx, int result, int64_t version),
       void *done_ctx)
{
  struct orderer *o = ctx;
  struct pending *p = g_new0 (struct pending, 1);

  p->o = o;
  for (int i = 0; i < TARGETS; i++)
    if (!strcmp (o->target[i].id, r->target))
      p->t = &o->target[i];
  cr_assert_not_null (p->t);
  cr_assert_not (p->t->busy, "two orders at once to %s", r->target);
  cr_assert_gt (r->fencing_token, 0);
  cr_assert_str_eq (r->lease, "rollout/m");
  p->t->busy = true;
  p->kind = r->kind;
  p->version = r->version;
  p->on_done = on_done;
  p->done_ctx = done_ctx;
  o->orders++;
  o->fence = r->fencing_token;
  if (r->kind == WY_ORDER_STAGE)
    {
      p->t->from_store += *r->source == '\0';
      p->t->from_peer += *r->source != '\0';
    }
  else
    {
      cr_assert_eq (p->t->staged, r->version, "not staged");
      o->activating++;
      o->activating_max = MAX (o->activating_max, o->activating);
    }
  uv_timer_init (o->loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_order_done, 20, 0);
}

static size_t
targets (void *ctx, const char *model, struct wy_target_view *out,
         size_t limit)
{
  struct orderer *o = ctx;

  for (int i = 0; i < TARGETS; i++)
    out[i] = (struct wy_target_view){ .id = o->target[i].id,
                                      .availability_zone = "a",
                                      .weights_source = o->target[i].source,
                                      .version = o->target[i].version,
                                      .staged_version = o->target[i].staged,
                                      .up = true };
  return TARGETS;
}

static void
init (struct yard_fixture *w, struct orderer *o)
{
  memset (o, 0, sizeof *o);
  yard_fixture_init (w, 1);
  w->lease_ttl_ms = 3000;
  o->loop = &w->loop;
  o->base.order = order;
  o->base.targets = targets;
  o->base.ctx = o;
  for (int i = 0; i < TARGETS; i++)
    {
      g_snprintf (o->target[i].id, sizeof o->target[i].id, "t%d", i);
      g_snprintf (o->target[i].source, sizeof o->target[i].source,
                  "127.0.0.1:%d", i + 1);
      o->target[i].version = 1;
    }
  w->orderer = &o->base;
  yard_fixture_start_entry (w, 0);
}

static uint32_t
at_version (const struct orderer *o, int64_t version)
{
  uint32_t n = 0;

  for (int i = 0; i < TARGETS; i++)
    n += o->target[i].version == version;
  return n;
}

static bool
all_at_2 (void *ctx)
{
  return at_version (ctx, 2) == TARGETS;
}

static bool
all_but_one_at_2 (void *ctx)
{
  return at_version (ctx, 2) == TARGETS - 1;
}

static int
publish_2 (struct yard_fixture *w)
{
  return yard_call (w, 0, "POST", "/v1/yards/y/weights", "{\"version\":2}");
}

Test (rollout, all_targets_get_a_new_version_in_waves)
{
  struct yard_fixture w;
  struct orderer o;
  uint32_t from_store = 0;
  uint32_t from_peer = 0;

  init (&w, &o);
  cr_assert_eq (publish_2 (&w), 202);
  cr_assert (run_until (&w.loop, all_at_2, &o));
  for (int i = 0; i < TARGETS; i++)
    {
      from_store += o.target[i].from_store;
      from_peer += o.target[i].from_peer;
    }
  cr_assert_eq (from_store, 2);
  cr_assert_eq (from_peer, TARGETS - 2);
  cr_assert_lt (o.activating_max, TARGETS);
  cr_assert_eq (o.orders, 2 * TARGETS);
  run_for (&w.loop, 100);
  yard_fixture_free (&w);
}

/* An order of one target fails twice.  Its old version stays in force, and the
   order is repeated.  */
Test (rollout, failed_order_is_retried)
{
  struct yard_fixture w;
  struct orderer o;

  init (&w, &o);
  o.target[1].fail_next = 2;
  cr_assert_eq (publish_2 (&w), 202);
  cr_assert (run_until (&w.loop, all_at_2, &o));
  cr_assert_eq (o.orders, 2 * TARGETS + 2);
  run_for (&w.loop, 100);
  yard_fixture_free (&w);
}

/* All agents were restarted and require that their first order is repeated. If
   that counted as a failure, all targets would read from the weight store and
   get the new version late.  */
Test (rollout, repeated_order_is_no_failure)
{
  struct yard_fixture w;
  struct orderer o;
  uint32_t from_store = 0;

  init (&w, &o);
  for (int i = 0; i < TARGETS; i++)
    o.target[i].confirm_next = 1;
  cr_assert_eq (publish_2 (&w), 202);
  cr_assert (run_until (&w.loop, all_at_2, &o));
  for (int i = 0; i < TARGETS; i++)
    from_store += o.target[i].from_store;
  /* Two targets read from it, and each gets its order twice.  */
  cr_assert_eq (from_store, 4);
  cr_assert_eq (o.orders, 3 * TARGETS);
  run_for (&w.loop, 100);
  yard_fixture_free (&w);
}

/* One target can't load any weights, and others would fetch theirs from it.
   They get the new version from elsewhere, and the orders to the broken target
   become rare.  */
Test (rollout, broken_target_does_not_delay_others)
{
  struct yard_fixture w;
  struct orderer o;
  uint32_t orders;

  init (&w, &o);
  o.target[0].fail_next = UINT32_MAX;
  cr_assert_eq (publish_2 (&w), 202);
  cr_assert (run_until (&w.loop, all_but_one_at_2, &o));
  cr_assert_eq (o.target[0].version, 1);
  run_for (&w.loop, 6000);
  orders = o.orders;
  cr_assert_leq (orders, 2 * (TARGETS - 1) + 4);
  run_for (&w.loop, 1000);
  cr_assert_leq (o.orders, orders + 1);
  yard_fixture_free (&w);
}

/* An engine restarts with the weights of its image.  Unless it gets the
   current version, its samples stay stale.  */
Test (rollout, target_restarted_with_old_weights_is_updated)
{
  struct yard_fixture w;
  struct orderer o;

  init (&w, &o);
  cr_assert_eq (publish_2 (&w), 202);
  cr_assert (run_until (&w.loop, all_at_2, &o));
  run_for (&w.loop, 100);
  o.target[3].version = 1;
  o.target[3].staged = 0;
  cr_assert (run_until (&w.loop, all_at_2, &o));
  run_for (&w.loop, 100);
  yard_fixture_free (&w);
}
