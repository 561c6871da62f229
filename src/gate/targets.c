/* Beliefs about replicas and the choice between them.  */
#include "gate/targets.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

enum
{
  /* A target that failed is left alone for this long, doubled with each
     further failure: a crashed one comes back within some seconds, and each
     try at it costs a request the time to connect.  */
  AVOID_MIN_MS = 250,
  AVOID_MAX_MS = 2000,
  /* A target that turned work away is full, or loads weights for about a
     second.  It is tried with one request at a time, first after this time,
     then after twice as long, so that a whole job does not knock at it.  */
  AVOID_FULL_MS = 50,
  AVOID_FULL_MAX_MS = 200,
  /* One whose address another replica has is about to leave the list.  */
  AVOID_ELSEWHERE_MS = 3000,
  /* A load told in an answer says little after this time.  */
  LOAD_TRUST_MS = 1000,
  /* A slow target is believed to be slow for so long without new proof;
     else it would never be tried again.  */
  PACE_TRUST_MS = 4000,
  AVOID_STALLED_MS = 150,
  /* Targets looked at for the typical pace; a sample of more is as good.  */
  TYPICAL_MAX = 64
};

/* Weight of the newest sample in the smoothed pace: about the last five.  */
static const double pace_weight = 0.2;
/* Worth of a target in the same availability zone, as a share of the pace:
   it only decides between equals.  */
static const double near_bonus = 0.02;
/* Text made under older weights than the newest can't be used by a later job,
   which is lost for the few items that do not end in this one.  But half of a
   model's targets have those, and the more of a step runs on the other half,
   the slower its longest items are, for which all wait.  So it costs as much
   as about a third of the slots in use.  */
static const double old_weights_cost = 0.15;
/* A new connection takes a target about a ms of one of its slots and may be
   priced; one that is open and unused is worth a detour to a target with up
   to half of its slots more in use, no further.  Not for items of jobs: they
   use all connections anyway, and a fuller batch is a slower one.  */
static const double idle_bonus = 0.25;
/* A full target costs this many paces for each request ahead, by slot.  */
static const double queue_cost = 4.0;

struct wy_targets
{
  GHashTable *by_id; /* struct wy_target */
  struct wy_rng rng;
  /* Connections to a target that are open and unused; NULL: not known.  */
  uint32_t (*idle) (const void *ctx, const struct sockaddr_in *a);
  const void *idle_ctx;
};

/* An empty set; SEED makes choices between equals differ between entries.  */
struct wy_targets *
wy_targets_new (uint64_t seed)
{
  struct wy_targets *t = g_new0 (struct wy_targets, 1);

  t->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  wy_rng_seed (&t->rng, seed);
  return t;
}

/* Ask IDLE for the unused connections to a target from now on.  */
void
wy_targets_watch_idle (struct wy_targets *t,
                       uint32_t (*idle) (const void *ctx,
                                         const struct sockaddr_in *a),
                       const void *ctx)
{
  t->idle = idle;
  t->idle_ctx = ctx;
}

/* Free T and all targets.  */
void
wy_targets_free (struct wy_targets *t)
{
  GHashTableIter it;
  gpointer g;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &g))
    g_free (g);
  g_hash_table_destroy (t->by_id);
  g_free (t);
}

static void
collect (struct wy_targets *t, struct wy_target *g)
{
  if (g->listed || g->in_flight || g->held)
    return;
  if (g_hash_table_lookup (t->by_id, g->info.id) == g)
    g_hash_table_remove (t->by_id, g->info.id);
  g_free (g);
}

/* Discard what was observed of G's process before it restarted.  Requests to
   the former process stay in the in-flight count until they end.  */
static void
reset_observations (struct wy_target *g)
{
  g->failures = 0;
  g->refusals = 0;
  g->unanswered = 0;
  g->avoid_until_ms = 0;
  g->reported_load = 0;
  g->in_flight_then = 0;
  g->reported_ms = 0;
  memset (g->pace, 0, sizeof g->pace);
}

/* Take in the entry INFO of a replica.  */
struct wy_target *
wy_targets_set (struct wy_targets *t, const struct wy_replica *info)
{
  struct wy_target *g = wy_targets_find (t, info->id);
  struct wy_model_version known[WY_REPLICA_MODELS_MAX];
  uint32_t n_known = 0;

  if (!g)
    {
      g = g_new0 (struct wy_target, 1);
      g->info = *info;
      g->listed = true;
      g_hash_table_insert (t->by_id, g->info.id, g);
      return g;
    }
  if (g->info.started_ms == info->started_ms && !g->info.draining)
    {
      memcpy (known, g->info.models, sizeof known);
      n_known = g->info.n_models;
    }
  if (g->info.started_ms != info->started_ms)
    reset_observations (g);
  g->info = *info;
  g->listed = true;
  /* Entries lag behind what answers have told: versions only rise.  */
  for (uint32_t i = 0; i < n_known; i++)
    wy_target_record_version (g, known[i].model, known[i].version);
  return g;
}

/* The replica ID has left the list.  */
void
wy_targets_remove (struct wy_targets *t, const char *id)
{
  struct wy_target *g = wy_targets_find (t, id);

  if (!g)
    return;
  g->listed = false;
  collect (t, g);
}

/* The target ID; NULL: not known.  */
struct wy_target *
wy_targets_find (struct wy_targets *t, const char *id)
{
  return g_hash_table_lookup (t->by_id, id);
}

static bool
is_ready (const struct wy_target *g, const char *service)
{
  return g->listed && !g->info.draining && !strcmp (g->info.service, service);
}

/* Tell FN of each target that is known.  */
void
wy_targets_each (const struct wy_targets *t,
                 void (*fn) (void *ctx, const struct wy_target *g), void *ctx)
{
  GHashTableIter it;
  gpointer g;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &g))
    fn (ctx, g);
}

/* Number of targets of SERVICE that take work.  */
uint32_t
wy_targets_count_ready (const struct wy_targets *t, const char *service)
{
  GHashTableIter it;
  gpointer g;
  uint32_t n = 0;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &g))
    n += is_ready (g, service);
  return n;
}

/* The version of MODEL that G was last known to have; 0: not known.  */
int64_t
wy_target_version (const struct wy_target *g, const char *model)
{
  for (uint32_t i = 0; i < g->info.n_models; i++)
    if (!strcmp (g->info.models[i].model, model))
      return g->info.models[i].version;
  return 0;
}

/* G has answered under VERSION of MODEL.  */
void
wy_target_record_version (struct wy_target *g, const char *model,
                          int64_t version)
{
  for (uint32_t i = 0; i < g->info.n_models; i++)
    if (!strcmp (g->info.models[i].model, model))
      {
        if (g->info.models[i].version < version)
          g->info.models[i].version = version;
        return;
      }
}

static bool
was_tried (const struct wy_target_criteria *p, const struct wy_target *g)
{
  for (uint32_t i = 0; i < p->n_tried; i++)
    if (p->tried[i] == g)
      return true;
  return false;
}

/* Requests at G, of all callers, as far as this entry can tell.  */
static uint32_t
load_of (const struct wy_target *g, int64_t now_ms)
{
  int64_t load;

  if (g->reported_ms == 0 || now_ms - g->reported_ms > LOAD_TRUST_MS)
    return g->in_flight;
  load = (int64_t)g->reported_load + g->in_flight - g->in_flight_then;
  return load > (int64_t)g->in_flight ? (uint32_t)load : g->in_flight;
}

/* Slots of G that the request of P may take; at least one.  */
static uint32_t
slots_of (const struct wy_target *g, const struct wy_target_criteria *p)
{
  uint32_t n = p->slots_share > 0 ? (uint32_t)(g->info.slots * p->slots_share)
                                  : g->info.slots;

  if (n + p->reserved_slots > g->info.slots)
    n = g->info.slots > p->reserved_slots ? g->info.slots - p->reserved_slots
                                          : 0;
  return n ? n : 1;
}

/* Time of a unit of WORK at G; UNKNOWN_MS when there is no fresh proof.  */
static double
pace_of (const struct wy_target *g, enum wy_work work, double unknown_ms,
         int64_t now_ms)
{
  const struct wy_pace *p = &g->pace[work];

  if (p->ms <= 0 || now_ms - p->seen_ms > PACE_TRUST_MS)
    return unknown_ms;
  return p->ms;
}

static bool
fits (const struct wy_target *g, const struct wy_target_criteria *p,
      int64_t now_ms)
{
  if (!is_ready (g, p->service) || was_tried (p, g))
    return false;
  if (p->in_flight_limit && g->in_flight >= p->in_flight_limit)
    return false;
  if (p->model && p->min_version > wy_target_version (g, p->model))
    return false;
  if (p->require_free_slot && load_of (g, now_ms) >= slots_of (g, p))
    return false;
  if (p->pace_limit_ms > 0
      && pace_of (g, p->work, 0, now_ms) > p->pace_limit_ms)
    return false;
  /* After a failure one request at a time shows whether it is back.  */
  if ((g->failures && g->in_flight) || (g->refusals && g->unanswered))
    return false;
  return now_ms >= g->avoid_until_ms;
}

/* Expected cost of one more request on G: its pace, rising a little with the
   load while there are free slots, since a larger batch is a slower one, and
   steeply beyond, where the request would wait for another to end.  */
static double
cost_of (const struct wy_targets *t, const struct wy_target *g,
         const struct wy_target_criteria *p, double typical_ms, int64_t now_ms)
{
  double pace = pace_of (g, p->work, typical_ms, now_ms);
  double load = (double)load_of (g, now_ms) / g->info.slots;
  double cost = pace * (1 + load / 2);

  if (load >= 1)
    cost += pace * queue_cost * load;
  if (p->model && p->newest_version > wy_target_version (g, p->model))
    cost += pace * old_weights_cost;
  if (!p->model && load < 1 && t->idle
      && t->idle (t->idle_ctx, &g->info.address))
    cost -= pace * idle_bonus;
  if (p->availability_zone
      && !strcmp (g->info.availability_zone, p->availability_zone))
    cost -= pace * near_bonus;
  return cost;
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

/* The pace that most targets of SERVICE keep at WORK: the median over them,
   which a few slow ones do not move; 1 when none is known, so that costs can
   be compared.  */
double
wy_targets_median_pace_ms (const struct wy_targets *t, const char *service,
                           enum wy_work work)
{
  double pace[TYPICAL_MAX];
  GHashTableIter it;
  gpointer p;
  uint32_t n = 0;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &p) && n < TYPICAL_MAX)
    {
      const struct wy_target *g = p;

      if (g->pace[work].ms > 0 && is_ready (g, service))
        pace[n++] = g->pace[work].ms;
    }
  if (n == 0)
    return 1;
  qsort (pace, n, sizeof *pace, by_value);
  return pace[(n - 1) / 2];
}

/* Choose the target for a request.  It answers bursts that would pile up on
   one replica and single replicas that have turned slow: the one with the
   least expected cost gets the work, ties fall by chance so that the entries
   do not all choose the same.  NULL: none fits now.  */
struct wy_target *
wy_targets_pick (struct wy_targets *t, const struct wy_target_criteria *p,
                 int64_t now_ms)
{
  double typical_ms = wy_targets_median_pace_ms (t, p->service, p->work);
  struct wy_target *best = NULL;
  double best_cost = 0;
  uint32_t ties = 0;
  GHashTableIter it;
  gpointer v;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &v))
    {
      struct wy_target *g = v;
      double cost;

      if (!fits (g, p, now_ms))
        continue;
      cost = cost_of (t, g, p, typical_ms, now_ms);
      if (!best || cost < best_cost)
        {
          best = g;
          best_cost = cost;
          ties = 1;
        }
      else if (cost == best_cost && wy_rng_below (&t->rng, ++ties) == 0)
        best = g;
    }
  return best;
}

/* Keep G while something points to it.  */
void
wy_target_ref (struct wy_target *g)
{
  g->held++;
}

/* Undo wy_target_ref.  */
void
wy_target_unref (struct wy_targets *t, struct wy_target *g)
{
  g->held--;
  collect (t, g);
}

/* A request goes to G.  */
void
wy_target_request_started (struct wy_target *g)
{
  g->in_flight++;
  g->unanswered++;
}

/* G has begun to answer a request.  */
void
wy_target_response_started (struct wy_target *g)
{
  if (g->unanswered)
    g->unanswered--;
}

static void
avoid (struct wy_target *g, int64_t ms, int64_t now_ms)
{
  if (g->avoid_until_ms < now_ms + ms)
    g->avoid_until_ms = now_ms + ms;
}

/* A request at G has ended.  G may be freed by this.  */
void
wy_target_request_ended (struct wy_targets *t, struct wy_target *g,
                         enum wy_target_outcome outcome, int64_t now_ms)
{
  g->in_flight--;
  if (g->unanswered > g->in_flight)
    g->unanswered = g->in_flight;
  switch (outcome)
    {
    case WY_TARGET_ANSWERED:
      g->failures = 0;
      g->refusals = 0;
      break;
    case WY_TARGET_CANCELLED:
      break;
    case WY_TARGET_REJECTED:
      /* Requests turned away together are one refusal.  */
      if (now_ms >= g->avoid_until_ms)
        g->refusals++;
      avoid (g,
             MIN (AVOID_FULL_MS << MIN (g->refusals ? g->refusals - 1 : 0, 4),
                  AVOID_FULL_MAX_MS),
             now_ms);
      break;
    case WY_TARGET_FAILED:
    case WY_TARGET_TIMED_OUT:
      {
        uint32_t n = MIN (g->failures, 3);

        /* Requests that break together are one failure.  */
        if (now_ms >= g->avoid_until_ms)
          g->failures++;
        avoid (g, MIN (AVOID_MIN_MS << n, AVOID_MAX_MS), now_ms);
        break;
      }
    case WY_TARGET_STALLED:
      g->refusals++;
      avoid (g, AVOID_STALLED_MS, now_ms);
      break;
    case WY_TARGET_MISDIRECTED:
      avoid (g, AVOID_ELSEWHERE_MS, now_ms);
      break;
    }
  collect (t, g);
}

/* G has told its load, that of this entry included.  */
void
wy_target_record_load (struct wy_target *g, uint32_t load, int64_t now_ms)
{
  g->reported_load = load;
  g->in_flight_then = g->in_flight;
  g->reported_ms = now_ms;
}

/* G has done a unit of WORK in MS.  */
void
wy_target_record_pace (struct wy_target *g, enum wy_work work, double ms,
                       int64_t now_ms)
{
  struct wy_pace *p = &g->pace[work];

  if (p->ms <= 0 || now_ms - p->seen_ms > PACE_TRUST_MS)
    p->ms = ms;
  else
    p->ms += pace_weight * (ms - p->ms);
  p->seen_ms = now_ms;
}
