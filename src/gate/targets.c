/* Known state of targets and the choice between them.  */
#include "gate/targets.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/id.h"

enum
{
  /* Time for which a target is avoided after a failure, doubled with each
     further failure: a crashed target restarts within a few seconds, and each
     attempt at it costs a request the time to connect.  */
  AVOID_MIN_MS = 250,
  AVOID_MAX_MS = 2000,
  /* The same after a rejection: the target is at capacity, or loads weights,
     which takes about a second.  Until it accepts work again it gets one
     request at a time, first after this time, then after twice as long, so
     that it isn't sent all items of a job at once.  */
  AVOID_REJECTED_MS = 50,
  AVOID_REJECTED_MAX_MS = 200,
  /* The same for a target whose address another replica has; it will soon be
     removed from the list.  */
  AVOID_MISDIRECTED_MS = 3000,
  /* The load reported in a response is out of date after this time.  */
  LOAD_VALID_MS = 1000,
  /* The pace of a target is unknown after this time without a new sample;
     otherwise a slow target would never be tried again.  */
  PACE_VALID_MS = 4000,
  AVOID_STALLED_MS = 150,
  /* The same for a target outside a model's range: the entries that its slots
     are meant for fill a free one within a few events.  */
  RANGE_LOAD_VALID_MS = 300,
  /* Targets used for the median pace; more would not make it better.  */
  MEDIAN_SAMPLE_MAX = 64
};

/* Weight of a new sample in the moving average of the pace, which so covers
   about the last five samples.  */
static const double pace_smoothing = 0.2;

/* The costs and bonuses below are in units of the pace.  */

/* Bonus for a target in the same availability zone: only large enough to
   decide between equals.  */
static const double same_zone_bonus = 0.02;
/* Cost of a target with older weights than the newest.  Partial text from
   older weights can't be reused by a later job, so it is lost for the few
   items that this job leaves unfinished.  But half of a model's targets have
   older weights, and the more items of a step run on the other half, the
   slower its longest items are, for which the whole step waits.  So this costs
   as much as about a third of the slots being busy.  */
static const double older_weights_cost = 0.15;
/* Bonus for a target with an idle connection.  Opening a connection costs the
   target about 1 ms of a slot and may be billed, so an idle one outweighs up
   to half of the target's slots being busy, but no more.  Doesn't apply to job
   items: they use all connections anyway, and a larger batch is slower.  */
static const double idle_connection_bonus = 0.25;
/* Cost of waiting for a slot of a target without a free one, per request and
   slot.  */
static const double queueing_cost = 4.0;

struct wy_targets
{
  GHashTable *by_id; /* struct wy_target */
  struct wy_rng rng;
  /* Returns the number of idle connections to a target; NULL: not known.  */
  uint32_t (*idle_count) (const void *ctx, const struct sockaddr_in *a);
  const void *idle_count_ctx;
};

/* Create an empty set.  SEED makes choices between equals differ between
   entries.  */
struct wy_targets *
wy_targets_new (uint64_t seed)
{
  struct wy_targets *t = g_new0 (struct wy_targets, 1);

  t->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  wy_rng_seed (&t->rng, seed);
  return t;
}

/* Set the function that returns the number of idle connections to a target. */
void
wy_targets_set_idle_count (
    struct wy_targets *t,
    uint32_t (*idle_count) (const void *ctx, const struct sockaddr_in *a),
    const void *ctx)
{
  t->idle_count = idle_count;
  t->idle_count_ctx = ctx;
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

/* Free G if it isn't listed and nothing refers to it.  */
static void
free_if_unused (struct wy_targets *t, struct wy_target *g)
{
  if (g->listed || g->in_flight || g->refs)
    return;
  if (g_hash_table_lookup (t->by_id, g->info.id) == g)
    g_hash_table_remove (t->by_id, g->info.id);
  g_free (g);
}

/* Hash of the id and start time in INFO, and of the number of starts since
   then that the list hasn't shown yet.  A replica that crashes may return
   under the id that it had.  */
static uint64_t
incarnation_of (const struct wy_replica *info, uint32_t unlisted_starts)
{
  uint64_t h = wy_hash64 (&info->started_ms, sizeof info->started_ms,
                          wy_hash64 (info->id, strlen (info->id), 0));

  return unlisted_starts
             ? wy_hash64 (&unlisted_starts, sizeof unlisted_starts, h)
             : h;
}

/* Whether INCARNATION is in the list.  */
bool
wy_targets_has_incarnation (const struct wy_targets *t, uint64_t incarnation)
{
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      const struct wy_target *g = p;

      if (g->listed && incarnation_of (&g->info, 0) == incarnation)
        return true;
    }
  return false;
}

/* The process of G has ended, which the list doesn't show yet.  Work that G
   accepts from here on is done by its next process.  */
void
wy_target_process_ended (struct wy_target *g)
{
  g->crashed_incarnation = g->incarnation;
  g->unlisted_starts++;
  g->incarnation = incarnation_of (&g->info, g->unlisted_starts);
}

/* Discard what was observed of G's process before it restarted.  Requests to
   the previous process stay in the in-flight count until they end.  */
static void
reset_observations (struct wy_target *g)
{
  g->failures = 0;
  g->refusals = 0;
  g->unanswered = 0;
  g->avoid_until_ms = 0;
  g->reported_load = 0;
  g->in_flight_at_report = 0;
  g->reported_ms = 0;
  memset (g->pace, 0, sizeof g->pace);
}

/* Add or update a target from INFO, the replica's row in the list.  */
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
      g->incarnation = incarnation_of (info, 0);
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
    {
      reset_observations (g);
      g->unlisted_starts = 0;
    }
  g->info = *info;
  g->incarnation = incarnation_of (info, g->unlisted_starts);
  g->listed = true;
  /* Rows lag behind the versions seen in responses, which only increase.  */
  for (uint32_t i = 0; i < n_known; i++)
    wy_target_record_version (g, known[i].model, known[i].version);
  return g;
}

/* Mark the target ID as not listed.  It is freed when nothing refers to it. */
void
wy_targets_remove (struct wy_targets *t, const char *id)
{
  struct wy_target *g = wy_targets_find (t, id);

  if (!g)
    return;
  g->listed = false;
  free_if_unused (t, g);
}

/* Find the target ID; NULL: not known.  */
struct wy_target *
wy_targets_find (struct wy_targets *t, const char *id)
{
  return g_hash_table_lookup (t->by_id, id);
}

/* Of G and another listed target with its address the one that started first;
   NULL: no other has it.  Its process has ended, though the list still shows
   it.  */
struct wy_target *
wy_targets_find_replaced (struct wy_targets *t, const struct wy_target *g)
{
  uint64_t address = wy_replica_address_key (&g->info.address);
  GHashTableIter it;
  gpointer p;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &p))
    {
      struct wy_target *other = p;

      if (other == g || !other->listed
          || wy_replica_address_key (&other->info.address) != address)
        continue;
      if (other->info.started_ms < g->info.started_ms)
        return other;
      if (other->info.started_ms > g->info.started_ms)
        return wy_targets_find (t, g->info.id);
    }
  return NULL;
}

static bool
is_ready (const struct wy_target *g, const char *service)
{
  return g->listed && !g->info.draining && !strcmp (g->info.service, service);
}

/* Call FN for each known target.  */
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

/* Number of targets of SERVICE that are listed and not draining.  */
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

/* Version of MODEL's weights that G was last known to have; 0: not known.  */
int64_t
wy_target_version (const struct wy_target *g, const char *model)
{
  for (uint32_t i = 0; i < g->info.n_models; i++)
    if (!strcmp (g->info.models[i].model, model))
      return g->info.models[i].version;
  return 0;
}

/* Record that G has responded with VERSION of MODEL's weights.  */
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

/* Estimated number of requests of all entries at G.  */
static uint32_t
estimated_load (const struct wy_target *g, int64_t now_ms)
{
  int64_t load;

  if (g->reported_ms == 0 || now_ms - g->reported_ms > LOAD_VALID_MS)
    return g->in_flight;
  load = (int64_t)g->reported_load + g->in_flight - g->in_flight_at_report;
  return load > (int64_t)g->in_flight ? (uint32_t)load : g->in_flight;
}

/* Number of slots of G that may be used under the criteria P; at least 1.  */
static uint32_t
usable_slots (const struct wy_target *g, const struct wy_target_criteria *p)
{
  uint32_t n = p->slots_share > 0 ? (uint32_t)(g->info.slots * p->slots_share)
                                  : g->info.slots;

  if (n + p->reserved_slots > g->info.slots)
    n = g->info.slots > p->reserved_slots ? g->info.slots - p->reserved_slots
                                          : 0;
  return n ? n : 1;
}

/* Pace of G at WORK in ms; UNKNOWN_MS if there is no recent sample.  */
static double
pace_of (const struct wy_target *g, enum wy_work_kind work, double unknown_ms,
         int64_t now_ms)
{
  const struct wy_work_pace *p = &g->pace[work];

  if (p->ms <= 0 || now_ms - p->seen_ms > PACE_VALID_MS)
    return unknown_ms;
  return p->ms;
}

/* Whether a request may leave its model's range for G.  The other entries that
   send to G count on its slots, so it must have reported a free one just now;
   otherwise one request at a time finds out.  */
static bool
may_leave_range_for (const struct wy_target *g,
                     const struct wy_target_criteria *p, int64_t now_ms)
{
  return g->unanswered == 0
         || (g->reported_ms && now_ms - g->reported_ms <= RANGE_LOAD_VALID_MS
             && estimated_load (g, now_ms) < usable_slots (g, p));
}

static bool
is_eligible (const struct wy_target *g, const struct wy_target_criteria *p,
             int64_t now_ms)
{
  if (!is_ready (g, p->service) || was_tried (p, g))
    return false;
  if (p->in_flight_limit && g->in_flight >= p->in_flight_limit)
    return false;
  if (p->model && p->min_version > wy_target_version (g, p->model))
    return false;
  if (p->require_free_slot
      && estimated_load (g, now_ms) >= usable_slots (g, p))
    return false;
  if (p->pace_limit_ms > 0
      && pace_of (g, p->work, 0, now_ms) > p->pace_limit_ms)
    return false;
  /* After a failure or rejection, probe with one request at a time.  */
  if ((g->failures && g->in_flight) || (g->refusals && g->unanswered))
    return false;
  return now_ms >= g->avoid_until_ms;
}

/* Expected cost of one more request on G: its pace, increasing slightly with
   the load while there are free slots, since a larger batch is slower, and
   steeply beyond, where the request would wait for another to finish.  */
static double
cost_of (const struct wy_targets *t, const struct wy_target *g,
         const struct wy_target_criteria *p, double median_ms, int64_t now_ms)
{
  double pace = pace_of (g, p->work, median_ms, now_ms);
  double load = (double)estimated_load (g, now_ms) / g->info.slots;
  double cost = pace * (1 + load / 2);

  if (load >= 1)
    cost += pace * queueing_cost * load;
  if (p->model && p->newest_version > wy_target_version (g, p->model))
    cost += pace * older_weights_cost;
  if (!p->model && load < 1 && t->idle_count
      && t->idle_count (t->idle_count_ctx, &g->info.address))
    cost -= pace * idle_connection_bonus;
  if (p->availability_zone
      && !strcmp (g->info.availability_zone, p->availability_zone))
    cost -= pace * same_zone_bonus;
  return cost;
}

static int
compare_values (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

/* Median pace at WORK, in ms, of the targets of SERVICE, which a few slow
   targets don't affect; 1 if none is known, so that costs can be compared.  */
double
wy_targets_median_pace_ms (const struct wy_targets *t, const char *service,
                           enum wy_work_kind work)
{
  double pace[MEDIAN_SAMPLE_MAX];
  GHashTableIter it;
  gpointer p;
  uint32_t n = 0;

  g_hash_table_iter_init (&it, t->by_id);
  while (g_hash_table_iter_next (&it, NULL, &p) && n < MEDIAN_SAMPLE_MAX)
    {
      const struct wy_target *g = p;

      if (g->pace[work].ms > 0 && is_ready (g, service))
        pace[n++] = g->pace[work].ms;
    }
  if (n == 0)
    return 1;
  qsort (pace, n, sizeof *pace, compare_values);
  return pace[(n - 1) / 2];
}

/* Choose the target that meets P and has the least expected cost, inside or
   OUTSIDE the range of P.  Ties are broken at random, so that the entries
   don't all choose the same target.  */
static struct wy_target *
pick_in_range (struct wy_targets *t, const struct wy_target_criteria *p,
               bool outside, int64_t now_ms)
{
  double median_ms = wy_targets_median_pace_ms (t, p->service, p->work);
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

      if (!is_eligible (g, p, now_ms))
        continue;
      if (p->range && wy_target_range_has (p->range, g) == outside)
        continue;
      if (outside && !may_leave_range_for (g, p, now_ms))
        continue;
      cost = cost_of (t, g, p, median_ms, now_ms);
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

/* Choose the target for a request that meets P and has the least expected
   cost; this spreads bursts over the replicas and avoids slow ones.  Targets
   outside the range of P are used if there is none in it.  NULL: no target is
   suitable now.  */
struct wy_target *
wy_targets_pick (struct wy_targets *t, const struct wy_target_criteria *p,
                 int64_t now_ms)
{
  struct wy_target *g = pick_in_range (t, p, false, now_ms);

  return !g && p->range ? pick_in_range (t, p, true, now_ms) : g;
}

/* Add a reference to G, which keeps it allocated.  */
void
wy_target_ref (struct wy_target *g)
{
  g->refs++;
}

/* Drop a reference to G, which may free it.  */
void
wy_target_unref (struct wy_targets *t, struct wy_target *g)
{
  g->refs--;
  free_if_unused (t, g);
}

/* Record that a request is being sent to G.  */
void
wy_target_request_started (struct wy_target *g)
{
  g->in_flight++;
  g->unanswered++;
}

/* Record that G has begun to respond to a request.  */
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

/* Record that a request at G has ended with OUTCOME.  This may free G.  */
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
      /* Requests rejected at the same time count once.  */
      if (now_ms >= g->avoid_until_ms)
        g->refusals++;
      avoid (
          g,
          MIN (AVOID_REJECTED_MS << MIN (g->refusals ? g->refusals - 1 : 0, 4),
               AVOID_REJECTED_MAX_MS),
          now_ms);
      break;
    case WY_TARGET_FAILED:
    case WY_TARGET_TIMED_OUT:
      {
        uint32_t n = MIN (g->failures, 3);

        /* Requests that fail at the same time count once.  */
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
      avoid (g, AVOID_MISDIRECTED_MS, now_ms);
      break;
    }
  free_if_unused (t, g);
}

/* Record the LOAD that G has reported: the number of requests of all entries,
   including this one.  */
void
wy_target_record_load (struct wy_target *g, uint32_t load, int64_t now_ms)
{
  g->reported_load = load;
  g->in_flight_at_report = g->in_flight;
  g->reported_ms = now_ms;
}

/* Record that G took MS for a unit of WORK.  */
void
wy_target_record_pace (struct wy_target *g, enum wy_work_kind work, double ms,
                       int64_t now_ms)
{
  struct wy_work_pace *p = &g->pace[work];

  if (p->ms <= 0 || now_ms - p->seen_ms > PACE_VALID_MS)
    p->ms = ms;
  else
    p->ms += pace_smoothing * (ms - p->ms);
  p->seen_ms = now_ms;
}
