/* Calls that score the texts of a job's items.

   A score holds for the text it was asked for: it is asked when the text is
   whole, and a text that is whole is never made again, so no answer can belong
   to an older one.  An item keeps its text, in memory and in the store, while
   its score is still to come; whoever takes the job over asks anew.

   A call may run any number of times.  Only an answer of the scoring service
   itself that the text can't be scored counts against the item; a full
   replica, a broken connection or a spoilt answer costs time alone.  */
#include "jobs/score.h"

#include <string.h>

#include "decide/scoring.h"
#include "platform/request_wire.h"
#include "trace/json_log.h"

enum
{
  TRIES_MAX = 2, /* at once */
  /* A replica without an answer for so long has lost the call, where the route
     names no time of its own.  */
  DEFAULT_TIMEOUT_MS = 3000,
  /* Pause after an answer that says neither yes nor no.  */
  ODD_ANSWER_MS = 100,
  STATUS_OK = 200,
  STATUS_FAILED = 500,
  STATUS_NOT_HERE = 421
};

struct score_try
{
  struct wy_score *score;
  struct wy_target *target; /* NULL: free */
  struct wy_h1_call *call;
  int64_t started_ms;
  int status;
  bool not_run;
  bool spoilt;
  char *mark;
};

struct wy_score
{
  struct wy_item *item;
  struct score_try tries[TRIES_MAX];
  GPtrArray *failed_at; /* struct wy_target, held */
  int64_t since_ms;
  int64_t not_before_ms;
  uint32_t asked;
  uint32_t failed; /* answers that the text can't be scored */
  uint32_t broken; /* calls in a row that brought nothing */
};

static int64_t
now_of (const struct wy_score *s)
{
  return wy_clock_mono_ms (s->item->job->env->clock);
}

/* The route by which the score of S is asked; NULL: none.  */
const struct wy_route *
wy_scorer_route (const struct wy_routing *r, const struct wy_scorer_spec *s)
{
  const struct wy_route *route = wy_routing_match (r, s->host, s->path);

  return route && route->kind != WY_ROUTE_JOB ? route : NULL;
}

/* The text of I is whole: its score is to be asked for.  */
struct wy_score *
wy_score_new (struct wy_item *i)
{
  struct wy_score *s = g_new0 (struct wy_score, 1);

  s->item = i;
  s->failed_at = g_ptr_array_new ();
  s->since_ms = now_of (s);
  return s;
}

static void
end_try (struct score_try *t, enum wy_target_outcome outcome)
{
  struct wy_target *g = t->target;
  struct wy_score *s = t->score;

  if (!g)
    return;
  if (t->call)
    wy_h1_call_cancel (t->call);
  g_free (t->mark);
  memset (t, 0, sizeof *t);
  wy_target_request_ended (s->item->job->env->targets, g, outcome, now_of (s));
}

/* Stop the calls of S that are under way.  */
void
wy_score_pause (struct wy_score *s)
{
  for (int k = 0; k < TRIES_MAX; k++)
    end_try (&s->tries[k], WY_TARGET_CANCELLED);
}

/* Free S, which may be NULL.  */
void
wy_score_free (struct wy_score *s)
{
  if (!s)
    return;
  wy_score_pause (s);
  for (guint k = 0; k < s->failed_at->len; k++)
    wy_target_unref (s->item->job->env->targets,
                     g_ptr_array_index (s->failed_at, k));
  g_ptr_array_free (s->failed_at, TRUE);
  g_free (s);
}

static bool
is_asking (const struct wy_score *s)
{
  for (int k = 0; k < TRIES_MAX; k++)
    if (s->tries[k].target)
      return true;
  return false;
}

static void
log_failed (const struct score_try *t, const char *outcome)
{
  const struct wy_score *s = t->score;
  const struct wy_item *i = s->item;

  wy_json_log ("score.try_failed",
               "id=%s job=%s call=%s target=%s outcome=%s status=%d asked=%u "
               "failed=%u ms=%lld",
               i->spec->id, i->job->record->id, i->spec->scorer->id,
               t->target->info.id, outcome, t->status, s->asked, s->failed,
               (long long)(now_of (s) - t->started_ms));
}

/* T brought nothing; its score is asked for again after PAUSE_MS at least,
   unless another call is still under way.  */
static void
try_failed (struct score_try *t, enum wy_target_outcome outcome,
            int64_t pause_ms, const char *why)
{
  struct wy_score *s = t->score;
  struct wy_owned *o = s->item->job;

  log_failed (t, why);
  (*o->env->count.score_calls_failed)++;
  end_try (t, outcome);
  s->not_before_ms = now_of (s) + pause_ms;
}

/* A call that took so long that another was asked for tells that its target is
   slow, though not how slow.  */
static void
stop_slower (struct wy_score *s, int64_t after_ms)
{
  int64_t now_ms = now_of (s);

  for (int k = 0; k < TRIES_MAX; k++)
    {
      struct score_try *t = &s->tries[k];
      int64_t ms = now_ms - t->started_ms;

      if (!t->target)
        continue;
      if (ms >= after_ms)
        wy_target_record_pace (t->target, WY_WORK_SCORE, (double)ms, now_ms);
      end_try (t, ms >= after_ms ? WY_TARGET_STALLED : WY_TARGET_CANCELLED);
    }
}

static int64_t
second_ms (const struct wy_score *s, const struct wy_route *route,
           const char *service)
{
  double typical_ms = wy_targets_median_pace_ms (s->item->job->env->targets,
                                                 service, WY_WORK_SCORE);

  return wy_scoring_hedge_delay_ms (typical_ms, route->target_latency_ms);
}

static void
scored (struct score_try *t)
{
  struct wy_score *s = t->score;
  struct wy_item *i = s->item;
  struct wy_gate_env *env = i->job->env;
  const struct wy_route *route
      = wy_scorer_route (env->routing, i->spec->scorer);
  int64_t now_ms = now_of (s);
  int64_t after_ms
      = route ? second_ms (s, route, t->target->info.service) : INT64_MAX;
  char *mark = g_steal_pointer (&t->mark);

  wy_json_log (
      "item.scored",
      "id=%s job=%s call=%s target=%s asked=%u ms=%lld waited_ms=%lld",
      i->spec->id, i->job->record->id, i->spec->scorer->id, t->target->info.id,
      s->asked, (long long)(now_ms - t->started_ms),
      (long long)(now_ms - s->since_ms));
  wy_hist_add (env->count.score_us,
               (uint64_t)(now_ms - s->since_ms) * WY_US_PER_MS);
  wy_target_record_pace (t->target, WY_WORK_SCORE,
                         (double)(now_ms - t->started_ms), now_ms);
  end_try (t, WY_TARGET_ANSWERED);
  stop_slower (s, after_ms);
  wy_item_scored (i, mark);
  g_free (mark);
}

/* The scoring service has failed on the text.  */
static void
answered_failed (struct score_try *t)
{
  struct wy_score *s = t->score;
  struct wy_item *i = s->item;

  s->failed++;
  wy_target_ref (t->target);
  g_ptr_array_add (s->failed_at, t->target);
  try_failed (t, WY_TARGET_ANSWERED, 0, "failed");
  if (s->failed < wy_owned_allowed_failures (i))
    return;
  wy_json_log ("item.unscored",
               "id=%s job=%s call=%s failed=%u waited_ms=%lld", i->spec->id,
               i->job->record->id, i->spec->scorer->id, s->failed,
               (long long)(now_of (s) - s->since_ms));
  wy_item_give_up (i);
}

static void
on_head (void *ctx, const struct wy_h1_response *a)
{
  struct score_try *t = ctx;
  struct wy_response_info info;

  t->status = a->status;
  wy_target_response_started (t->target);
  wy_response_parse_head (a->status, a->head, &info);
  if (info.has_load)
    wy_target_record_load (t->target, info.running + info.waiting,
                           now_of (t->score));
  t->not_run = info.not_run;
  t->spoilt
      = (info.id && strcmp (info.id, t->score->item->spec->scorer->id) != 0)
        || (a->status == STATUS_OK && (info.encoded || !info.stamp));
  g_free (t->mark);
  t->mark = g_strdup (info.stamp);
}

static void
on_data (void *ctx, const char *p, size_t n)
{
}

static void
on_end (void *ctx, int err)
{
  struct score_try *t = ctx;
  struct wy_score *s = t->score;
  struct wy_owned *o = s->item->job;
  int64_t pause_ms = wy_scoring_backoff_ms (s->broken);

  t->call = NULL;
  if (err || t->spoilt || t->not_run)
    s->broken++;
  else
    s->broken = 0;
  if (err)
    try_failed (t, WY_TARGET_FAILED, pause_ms,
                err == WY_H1_ECONNECT ? "no_connection" : "broken_off");
  else if (t->spoilt)
    try_failed (t, WY_TARGET_FAILED, pause_ms, "spoilt_answer");
  else if (t->not_run && t->status == STATUS_NOT_HERE)
    try_failed (t, WY_TARGET_MISDIRECTED, pause_ms, "not_there");
  else if (t->not_run)
    try_failed (t, WY_TARGET_REJECTED, pause_ms, "full");
  else if (t->status == STATUS_OK)
    scored (t);
  else if (t->status == STATUS_FAILED)
    answered_failed (t);
  else
    try_failed (t, WY_TARGET_ANSWERED, ODD_ANSWER_MS, "odd_answer");
  wy_owned_pump (o);
}

static struct score_try *
free_try (struct wy_score *s)
{
  for (int k = 0; k < TRIES_MAX; k++)
    if (!s->tries[k].target)
      return &s->tries[k];
  return NULL;
}

static void
ask (struct wy_score *s, struct wy_target *g)
{
  struct wy_item *i = s->item;
  const struct wy_scorer_spec *spec = i->spec->scorer;
  struct score_try *t = free_try (s);
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  struct wy_forward_info f
      = { .replica = g->info.id,
          .time_left_ms = wy_owned_time_left_ms (i->job),
          .after_event = -1,
          .id = spec->id,
          .host = spec->host,
          .has_orgs = i->job->env->routing->orgs != NULL,
          .organisation = wy_job_organisation (i->job->record) };
  struct wy_h1_call_options o = { .address = g->info.address,
                                  .method = "POST",
                                  .target = spec->path,
                                  .body = spec->body,
                                  .body_size_bytes = spec->body_size_bytes,
                                  .has_body = true,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = t };

  t->score = s;
  t->target = g;
  t->started_ms = now_of (s);
  s->asked++;
  wy_json_log (
      "score.asked",
      "id=%s job=%s call=%s target=%s asked=%u in_flight=%u load=%u "
      "load_age_ms=%lld pace_ms=%.0f waited_ms=%lld",
      i->spec->id, i->job->record->id, spec->id, g->info.id, s->asked,
      g->in_flight, g->reported_load,
      g->reported_ms ? (long long)(t->started_ms - g->reported_ms) : -1LL,
      g->pace[WY_WORK_SCORE].ms, (long long)(t->started_ms - s->since_ms));
  wy_request_item_fields (NULL, 0, &f, fields);
  o.fields = (const struct wy_h1_header *)fields->data;
  o.n_fields = fields->len;
  wy_target_request_started (g);
  (*i->job->env->count.score_calls)++;
  t->call = wy_h1_call_start (i->job->env->http, &o);
  g_array_free (fields, TRUE);
}

/* A target for a call for S that is not asked already; without AGAIN, none
   that has failed on it.  NULL: none has a slot to spare.  */
static struct wy_target *
pick_one (struct wy_score *s, const char *service, bool again)
{
  struct wy_gate_env *env = s->item->job->env;
  double typical_ms
      = wy_targets_median_pace_ms (env->targets, service, WY_WORK_SCORE);
  GPtrArray *tried = g_ptr_array_new ();
  struct wy_target_criteria q
      = { .service = service,
          .work = WY_WORK_SCORE,
          .availability_zone = env->availability_zone,
          .in_flight_limit = wy_gate_in_flight_limit (env, service),
          .require_free_slot = true,
          .reserved_slots = WY_SCORING_RESERVED_SLOTS,
          .pace_limit_ms = wy_scoring_latency_limit_ms (typical_ms) };
  struct wy_target *g;

  for (int k = 0; k < TRIES_MAX; k++)
    if (s->tries[k].target)
      g_ptr_array_add (tried, s->tries[k].target);
  for (guint k = 0; !again && k < s->failed_at->len; k++)
    g_ptr_array_add (tried, g_ptr_array_index (s->failed_at, k));
  q.tried = (const struct wy_target *const *)tried->pdata;
  q.n_tried = tried->len;
  g = wy_targets_pick (env->targets, &q, now_of (s));
  g_ptr_array_free (tried, TRUE);
  return g;
}

/* The same, one that has failed on S only where there is no other.  */
static struct wy_target *
pick (struct wy_score *s, const struct wy_route *route)
{
  struct wy_gate_env *env = s->item->job->env;
  const char *service
      = wy_route_pick_service (route, wy_rng_below (&env->rng, UINT32_MAX));
  struct wy_target *g = pick_one (s, service, false);

  if (g || wy_targets_count_ready (env->targets, service) > s->failed_at->len)
    return g;
  return pick_one (s, service, true);
}

/* Ask a second target where the first takes long; end calls that got lost.  */
void
wy_score_check (struct wy_score *s)
{
  struct wy_owned *o = s->item->job;
  const struct wy_route *route
      = wy_scorer_route (o->env->routing, s->item->spec->scorer);
  int64_t limit_ms
      = route && route->timeout_ms ? route->timeout_ms : DEFAULT_TIMEOUT_MS;
  struct score_try *running = NULL;
  struct wy_target *g;
  uint32_t n = 0;

  for (int k = 0; k < TRIES_MAX; k++)
    {
      struct score_try *t = &s->tries[k];

      if (!t->target)
        continue;
      if (now_of (s) - t->started_ms >= limit_ms)
        {
          try_failed (t, WY_TARGET_TIMED_OUT, 0, "silent");
          continue;
        }
      running = t;
      n++;
    }
  if (!route || n != 1
      || now_of (s) - running->started_ms
             < second_ms (s, route, running->target->info.service))
    return;
  g = pick (s, route);
  if (!g || wy_retry_take (&o->second_scores) != 0)
    return;
  (*o->env->count.score_hedges)++;
  ask (s, g);
}

/* The text to be scored next; NULL: none.  */
static struct wy_item *
next_of (const struct wy_owned *o, int64_t now_ms)
{
  struct wy_item *best = NULL;
  struct wy_scoring_candidate best_turn = { 0 };

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];
      struct wy_scoring_candidate turn;

      if (i->state != WY_ITEM_SCORING || is_asking (i->score)
          || i->score->not_before_ms > now_ms)
        continue;
      turn = (struct wy_scoring_candidate){ i->group->missing,
                                            i->score->since_ms };
      if (best && !wy_scoring_precedes (&turn, &best_turn))
        continue;
      best = i;
      best_turn = turn;
    }
  return best;
}

/* Ask for the scores of O's whole texts, as many as the service has room
   for.  */
void
wy_scores_pump (struct wy_owned *o)
{
  int64_t now_ms = wy_clock_mono_ms (o->env->clock);

  if (o->dropped || o->lingering || !o->n_scoring || !o->env->routing)
    return;
  for (;;)
    {
      struct wy_item *i = next_of (o, now_ms);
      const struct wy_route *route;
      struct wy_target *g;

      if (!i)
        return;
      route = wy_scorer_route (o->env->routing, i->spec->scorer);
      g = route ? pick (i->score, route) : NULL;
      if (!g && i->score->failed_at->len == 0)
        return;
      if (!g)
        {
          /* The replicas that it may still ask have no room; others may.  */
          i->score->not_before_ms = now_ms + wy_scoring_backoff_ms (0);
          continue;
        }
      wy_retry_request (&o->second_scores);
      ask (i->score, g);
    }
}
