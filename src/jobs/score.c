/* Calls that score the texts of a job's items.

   A score is requested when the text is complete.  A complete text is never
   generated again, so no response can belong to an older text.  The text stays
   in memory and in the store until its score is known; after a takeover, the
   new holder requests the score again.

   A call may be repeated any number of times.  Only a response of the scoring
   service itself that the text can't be scored counts against the item; an
   overloaded replica, a lost connection or an invalid response only costs
   time.  */
#include "jobs/score.h"

#include <string.h>

#include "base/text.h"
#include "decide/scoring.h"
#include "gate/crash_watch.h"
#include "platform/request_wire.h"
#include "trace/json_log.h"

enum
{
  ATTEMPTS_MAX = 2, /* at the same time */
  /* A replica without a response after this time has lost the call; used where
     the route has no timeout.  */
  DEFAULT_TIMEOUT_MS = 3000,
  /* Delay after a response that is neither a score nor a failure to score.  */
  UNEXPECTED_STATUS_DELAY_MS = 100,
  /* Longest delay after calls whose connections were lost.  */
  INTERRUPTED_BACKOFF_MAX_MS = 3000,
  RESPONSE_LIMIT_BYTES = 1 << 20,
  STATUS_OK = 200,
  STATUS_INTERNAL_ERROR = 500,
  STATUS_MISDIRECTED = 421
};

struct score_attempt
{
  struct wy_score *score;
  struct wy_target *target; /* NULL: unused */
  struct wy_h1_call *call;
  uint64_t incarnation; /* of the target */
  int64_t started_ms;
  int status;
  bool not_run;
  bool invalid;
  char *stamp;
};

struct wy_score
{
  struct wy_item *item;
  struct score_attempt attempts[ATTEMPTS_MAX];
  GPtrArray *failed_targets; /* struct wy_target, referenced */
  int64_t since_ms;          /* when the text was complete */
  int64_t not_before_ms;     /* earliest start of the next attempt */
  uint32_t calls;
  uint32_t scoring_errors;  /* responses that the text can't be scored */
  uint32_t failures_in_row; /* consecutive calls without a usable response */
  uint32_t interrupted;     /* calls that broke off without a response */
};

static int64_t
now_of (const struct wy_score *s)
{
  return wy_clock_mono_ms (s->item->job->env->clock);
}

/* Return the route to the scorer S, or NULL.  */
const struct wy_route *
wy_scorer_route (const struct wy_routing *r, const struct wy_scorer_spec *s)
{
  const struct wy_route *route = wy_routing_match (r, s->host, s->path);

  return route && route->kind != WY_ROUTE_JOB ? route : NULL;
}

/* Return a new score for I, whose text is complete; no call is started
   yet.  */
struct wy_score *
wy_score_new (struct wy_item *i)
{
  struct wy_score *s = g_new0 (struct wy_score, 1);

  s->item = i;
  s->failed_targets = g_ptr_array_new ();
  s->since_ms = now_of (s);
  return s;
}

static void
end_attempt (struct score_attempt *t, enum wy_target_outcome outcome)
{
  struct wy_target *g = t->target;
  struct wy_score *s = t->score;

  if (!g)
    return;
  if (t->call)
    wy_h1_call_cancel (t->call);
  g_free (t->stamp);
  memset (t, 0, sizeof *t);
  wy_target_request_ended (s->item->job->env->targets, g, outcome, now_of (s));
}

/* Cancel the calls of S in progress.  */
void
wy_score_cancel_calls (struct wy_score *s)
{
  for (int k = 0; k < ATTEMPTS_MAX; k++)
    end_attempt (&s->attempts[k], WY_TARGET_CANCELLED);
}

/* Free S, which may be NULL.  */
void
wy_score_free (struct wy_score *s)
{
  if (!s)
    return;
  wy_score_cancel_calls (s);
  for (guint k = 0; k < s->failed_targets->len; k++)
    wy_target_unref (s->item->job->env->targets,
                     g_ptr_array_index (s->failed_targets, k));
  g_ptr_array_free (s->failed_targets, TRUE);
  g_free (s);
}

static bool
has_attempt (const struct wy_score *s)
{
  for (int k = 0; k < ATTEMPTS_MAX; k++)
    if (s->attempts[k].target)
      return true;
  return false;
}

static void
log_attempt_failed (const struct score_attempt *t, const char *outcome)
{
  const struct wy_score *s = t->score;
  const struct wy_item *i = s->item;

  wy_json_log ("score.try_failed",
               "id=%s job=%s call=%s target=%s outcome=%s status=%d asked=%u "
               "failed=%u ms=%lld",
               i->spec->id, i->job->record->id, i->spec->scorer->id,
               t->target->info.id, outcome, t->status, s->calls,
               s->scoring_errors, (long long)(now_of (s) - t->started_ms));
}

/* End T, which got no score.  The next attempt for its score starts after
   DELAY_MS at the earliest, unless another one is still in progress.  */
static void
attempt_failed (struct score_attempt *t, enum wy_target_outcome outcome,
                int64_t delay_ms, const char *why)
{
  struct wy_score *s = t->score;
  struct wy_active_job *o = s->item->job;

  log_attempt_failed (t, why);
  (*o->env->count.score_calls_failed)++;
  end_attempt (t, outcome);
  s->not_before_ms = now_of (s) + delay_ms;
}

/* Cancel the other attempts after one has succeeded.  If such an attempt took
   HEDGE_MS or longer, its target is recorded as slow, with the time so far,
   since the full duration is unknown.  */
static void
cancel_slower_attempts (struct wy_score *s, int64_t hedge_ms)
{
  int64_t now_ms = now_of (s);

  for (int k = 0; k < ATTEMPTS_MAX; k++)
    {
      struct score_attempt *t = &s->attempts[k];
      int64_t ms = now_ms - t->started_ms;

      if (!t->target)
        continue;
      if (ms >= hedge_ms)
        wy_target_record_pace (t->target, WY_WORK_SCORE, (double)ms, now_ms);
      end_attempt (t,
                   ms >= hedge_ms ? WY_TARGET_STALLED : WY_TARGET_CANCELLED);
    }
}

static int64_t
hedge_delay_ms (const struct wy_score *s, const struct wy_route *route,
                const char *service)
{
  double typical_ms = wy_targets_median_pace_ms (s->item->job->env->targets,
                                                 service, WY_WORK_SCORE);

  return wy_scoring_hedge_delay_ms (typical_ms, route->target_latency_ms);
}

static void
on_scored (struct score_attempt *t)
{
  struct wy_score *s = t->score;
  struct wy_item *i = s->item;
  struct wy_gate_env *env = i->job->env;
  const struct wy_route *route
      = wy_scorer_route (env->routing, i->spec->scorer);
  int64_t now_ms = now_of (s);
  int64_t hedge_ms
      = route ? hedge_delay_ms (s, route, t->target->info.service) : INT64_MAX;
  char *stamp = g_steal_pointer (&t->stamp);

  wy_json_log (
      "item.scored",
      "id=%s job=%s call=%s target=%s asked=%u ms=%lld waited_ms=%lld",
      i->spec->id, i->job->record->id, i->spec->scorer->id, t->target->info.id,
      s->calls, (long long)(now_ms - t->started_ms),
      (long long)(now_ms - s->since_ms));
  wy_hist_add (env->count.score_us,
               (uint64_t)(now_ms - s->since_ms) * WY_US_PER_MS);
  wy_target_record_pace (t->target, WY_WORK_SCORE,
                         (double)(now_ms - t->started_ms), now_ms);
  end_attempt (t, WY_TARGET_ANSWERED);
  cancel_slower_attempts (s, hedge_ms);
  wy_item_scored (i, stamp);
  g_free (stamp);
}

/* The scoring service failed to score the text.  */
static void
on_scoring_error (struct score_attempt *t)
{
  struct wy_score *s = t->score;
  struct wy_item *i = s->item;

  s->scoring_errors++;
  wy_target_ref (t->target);
  g_ptr_array_add (s->failed_targets, t->target);
  attempt_failed (t, WY_TARGET_ANSWERED, 0, "failed");
  if (s->scoring_errors < wy_item_max_score_failures (i))
    return;
  wy_json_log ("item.unscored",
               "id=%s job=%s call=%s failed=%u waited_ms=%lld", i->spec->id,
               i->job->record->id, i->spec->scorer->id, s->scoring_errors,
               (long long)(now_of (s) - s->since_ms));
  wy_item_give_up (i);
}

static void
on_head (void *ctx, const struct wy_h1_response *a)
{
  struct score_attempt *t = ctx;
  struct wy_response_info info;

  t->status = a->status;
  wy_target_response_started (t->target);
  wy_response_parse_head (a->status, a->head, &info);
  if (info.has_load)
    wy_target_record_load (t->target, info.running + info.waiting,
                           now_of (t->score));
  t->not_run = info.not_run;
  t->invalid
      = (info.id && strcmp (info.id, t->score->item->spec->scorer->id) != 0)
        || (a->status == STATUS_OK
            && (info.encoded || !info.stamp
                || !wy_text_is_valid (info.stamp, strlen (info.stamp))));
  g_free (t->stamp);
  t->stamp = g_strdup (info.stamp);
}

static void
on_data (void *ctx, const char *p, size_t n)
{
}

/* The connection of T was lost before a response.  The replica may have
   crashed, though not because of this call.  */
static void
on_interrupted (struct score_attempt *t)
{
  struct wy_score *s = t->score;
  struct wy_crash_watch_run r = { .id = s->item->spec->scorer->id,
                                  .target = t->target,
                                  .incarnation = t->incarnation,
                                  .started_ms = t->started_ms };

  s->interrupted++;
  wy_crash_watch_run_interrupted (s->item->job->env, &r);
}

static int64_t
interrupted_backoff_ms (const struct wy_score *s)
{
  return MIN (wy_crash_tracker_backoff_ms (s->interrupted),
              INTERRUPTED_BACKOFF_MAX_MS);
}

static const char *
broken_reason (int err)
{
  if (err == WY_H1_EMALFORMED)
    return "malformed";
  return err == WY_H1_ECONNECT ? "no_connection" : "broken_off";
}

static void
on_end (void *ctx, int err)
{
  struct score_attempt *t = ctx;
  struct wy_score *s = t->score;
  struct wy_active_job *o = s->item->job;
  int64_t delay_ms = wy_scoring_backoff_ms (s->failures_in_row);

  if (wy_h1_call_was_refused (t->call))
    wy_crash_watch_refused (o->env, t->target);
  t->call = NULL;
  if (err && err != WY_H1_ECONNECT && err != WY_H1_EMALFORMED
      && t->status == 0)
    on_interrupted (t);
  delay_ms = MAX (delay_ms, interrupted_backoff_ms (s));
  if (err || t->invalid || t->not_run)
    s->failures_in_row++;
  else
    s->failures_in_row = 0;
  if (err)
    attempt_failed (t, WY_TARGET_FAILED, delay_ms, broken_reason (err));
  else if (t->invalid)
    attempt_failed (t, WY_TARGET_FAILED, delay_ms, "spoilt_answer");
  else if (t->not_run && t->status == STATUS_MISDIRECTED)
    attempt_failed (t, WY_TARGET_MISDIRECTED, delay_ms, "not_there");
  else if (t->not_run)
    attempt_failed (t, WY_TARGET_REJECTED, delay_ms, "full");
  else if (t->status == STATUS_OK)
    on_scored (t);
  else if (t->status == STATUS_INTERNAL_ERROR)
    on_scoring_error (t);
  else
    attempt_failed (t, WY_TARGET_ANSWERED, UNEXPECTED_STATUS_DELAY_MS,
                    "odd_answer");
  wy_active_job_start_items (o);
}

static struct score_attempt *
unused_attempt (struct wy_score *s)
{
  for (int k = 0; k < ATTEMPTS_MAX; k++)
    if (!s->attempts[k].target)
      return &s->attempts[k];
  return NULL;
}

static void
start_attempt (struct wy_score *s, struct wy_target *g)
{
  struct wy_item *i = s->item;
  const struct wy_scorer_spec *spec = i->spec->scorer;
  struct score_attempt *t = unused_attempt (s);
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  struct wy_forward_info f
      = { .replica = g->info.id,
          .time_left_ms = wy_active_job_time_left_ms (i->job),
          .after_event = -1,
          .id = spec->id,
          .host = spec->host,
          .has_orgs = i->job->env->routing->orgs != NULL,
          .organisation = wy_job_organisation (i->job->record) };
  struct wy_h1_call_options o = { .address = g->info.address,
                                  .method = "POST",
                                  .target = spec->path,
                                  .id = spec->id,
                                  .body = spec->body,
                                  .body_size_bytes = spec->body_size_bytes,
                                  .has_body = true,
                                  .response_limit_bytes = RESPONSE_LIMIT_BYTES,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = t };

  t->score = s;
  t->target = g;
  t->incarnation = g->incarnation;
  t->started_ms = now_of (s);
  s->calls++;
  wy_json_log (
      "score.asked",
      "id=%s job=%s call=%s target=%s asked=%u in_flight=%u load=%u "
      "load_age_ms=%lld pace_ms=%.0f waited_ms=%lld",
      i->spec->id, i->job->record->id, spec->id, g->info.id, s->calls,
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

/* Pick a target that has no call for S in progress; without ALLOW_FAILED, also
   none that has failed to score its text.  Return NULL if no such target has a
   slot to spare.  */
static struct wy_target *
pick_target_among (struct wy_score *s, const char *service, bool allow_failed)
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

  for (int k = 0; k < ATTEMPTS_MAX; k++)
    if (s->attempts[k].target)
      g_ptr_array_add (tried, s->attempts[k].target);
  for (guint k = 0; !allow_failed && k < s->failed_targets->len; k++)
    g_ptr_array_add (tried, g_ptr_array_index (s->failed_targets, k));
  q.tried = (const struct wy_target *const *)tried->pdata;
  q.n_tried = tried->len;
  g = wy_targets_pick (env->targets, &q, now_of (s));
  g_ptr_array_free (tried, TRUE);
  return g;
}

/* Pick a target like pick_target_among.  One that failed to score the text is
   used only if there is no other.  */
static struct wy_target *
pick_target (struct wy_score *s, const struct wy_route *route)
{
  struct wy_gate_env *env = s->item->job->env;
  const char *service
      = wy_route_pick_service (route, wy_rng_below (&env->rng, UINT32_MAX));
  struct wy_target *g = pick_target_among (s, service, false);

  if (g
      || wy_targets_count_ready (env->targets, service)
             > s->failed_targets->len)
    return g;
  return pick_target_among (s, service, true);
}

/* End attempts that timed out and hedge a slow one with a second target.  */
void
wy_score_check_calls (struct wy_score *s)
{
  struct wy_active_job *o = s->item->job;
  const struct wy_route *route
      = wy_scorer_route (o->env->routing, s->item->spec->scorer);
  int64_t limit_ms
      = route && route->timeout_ms ? route->timeout_ms : DEFAULT_TIMEOUT_MS;
  struct score_attempt *running = NULL;
  struct wy_target *g;
  uint32_t n = 0;

  for (int k = 0; k < ATTEMPTS_MAX; k++)
    {
      struct score_attempt *t = &s->attempts[k];

      if (!t->target)
        continue;
      if (now_of (s) - t->started_ms >= limit_ms)
        {
          attempt_failed (t, WY_TARGET_TIMED_OUT, 0, "silent");
          continue;
        }
      running = t;
      n++;
    }
  if (!route || n != 1
      || now_of (s) - running->started_ms
             < hedge_delay_ms (s, route, running->target->info.service))
    return;
  g = pick_target (s, route);
  if (!g || wy_retry_take (&o->hedge_budget) != 0)
    return;
  (*o->env->count.score_hedges)++;
  start_attempt (s, g);
}

/* Return the item to be scored next, or NULL.  */
static struct wy_item *
next_to_score (const struct wy_active_job *o, int64_t now_ms)
{
  struct wy_item *best = NULL;
  struct wy_scoring_candidate best_candidate = { 0 };

  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];
      struct wy_scoring_candidate candidate;

      if (i->state != WY_ITEM_SCORING || has_attempt (i->score)
          || i->score->not_before_ms > now_ms)
        continue;
      candidate = (struct wy_scoring_candidate){ i->group->missing,
                                                 i->score->since_ms };
      if (best && !wy_scoring_precedes (&candidate, &best_candidate))
        continue;
      best = i;
      best_candidate = candidate;
    }
  return best;
}

/* Start calls for the complete texts of O, as many as the service has slots
   for.  */
void
wy_scores_start_calls (struct wy_active_job *o)
{
  int64_t now_ms = wy_clock_mono_ms (o->env->clock);

  if (o->closed || o->lingering || !o->n_scoring || !o->env->routing)
    return;
  for (;;)
    {
      struct wy_item *i = next_to_score (o, now_ms);
      const struct wy_route *route;
      struct wy_target *g;

      if (!i)
        return;
      route = wy_scorer_route (o->env->routing, i->spec->scorer);
      g = route ? pick_target (i->score, route) : NULL;
      if (!g && i->score->failed_targets->len == 0)
        return;
      if (!g)
        {
          /* The replicas that have not failed on this text are busy; those for
             other texts may be free.  */
          i->score->not_before_ms = now_ms + wy_scoring_backoff_ms (0);
          continue;
        }
      wy_retry_request (&o->hedge_budget);
      start_attempt (i->score, g);
    }
}
