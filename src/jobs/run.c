/* A run of an item on a replica.

   The text outlives the run: if a run fails, another replica continues after
   the last complete event.  What a run generates is kept only if its weights
   are new enough and, on a route that requires a single version, only if they
   are those that generated the text before it.  */
#include "jobs/run_state.h"

#include <string.h>

#include "base/text.h"
#include "gate/crash_watch.h"
#include "gate/response.h"
#include "jobs/demand.h"
#include "platform/request_wire.h"
#include "trace/json_log.h"

enum
{
  /* Delays before the next run, so that a persistent fault doesn't cause a
     tight loop.  */
  RETRY_MS = 20,
  RETRY_FAILED_MS = 100,
  /* Longest delay after runs in a row whose connections were lost: the
     trainer's step waits for the item.  */
  RETRY_INTERRUPTED_MAX_MS = 1000,
  STATUS_OK = 200,
  STATUS_UNPROCESSABLE = 422,
  STATUS_INTERNAL_ERROR = 500
};

/* Return the monotonic time in ms.  */
int64_t
wy_run_now_ms (const struct wy_run *r)
{
  return wy_clock_mono_ms (r->item->job->env->clock);
}

static const char *
fault_name (enum run_fault f)
{
  switch (f)
    {
    case RUN_FAULT_NONE:
      return "sound";
    case RUN_FAULT_STALE_WEIGHTS:
      return "stale_weights";
    case RUN_FAULT_OTHER_WEIGHTS:
      return "other_weights";
    case RUN_FAULT_OTHER_REQUEST:
      return "foreign_answer";
    case RUN_FAULT_NO_EVENTS:
      return "no_events";
    case RUN_FAULT_EVENT_MISSING:
      return "event_missing";
    case RUN_FAULT_NOT_CONTINUED:
      return "not_continued";
    case RUN_FAULT_NOT_TEXT:
      return WY_REASON_NOT_TEXT;
    case RUN_FAULT_NO_VERSION:
      return "no_version";
    }
  return "";
}

static void
end_run (struct wy_run *r, enum wy_target_outcome outcome)
{
  struct wy_gate_env *env = r->item->job->env;

  /* A run without an event may have waited at the replica or been rejected. */
  if (r->n_events)
    r->item->slot_ms += (double)(wy_run_now_ms (r) - r->started_ms);
  r->item->run = NULL;
  r->item->run_events += r->n_events;
  wy_read_source_end (env->read_pauses, &r->source);
  wy_sse_clear (&r->events);
  wy_target_request_ended (env->targets, r->target, outcome,
                           wy_run_now_ms (r));
  g_free (r);
}

static void
log_run (const struct wy_run *r, const char *outcome)
{
  const struct wy_item *i = r->item;

  wy_json_log (
      "item.run_ended",
      "id=%s job=%s group=%s expected=%u target=%s outcome=%s status=%d "
      "events=%u last=%lld version=%lld min_version=%lld runs=%u "
      "ms=%lld silent_ms=%lld job_ms=%lld",
      i->spec->id, i->job->record->id, i->spec->group,
      i->spec->expected_tokens, r->target->info.id, outcome, r->status,
      r->n_events, (long long)i->last_event, (long long)r->version,
      (long long)i->job->spec->min_version, i->runs,
      (long long)(wy_run_now_ms (r) - r->started_ms),
      (long long)(wy_run_now_ms (r) - r->progress_ms),
      (long long)(wy_run_now_ms (r) - i->job->started_ms));
}

static void
set_avoid (struct wy_item *i, struct wy_target *g)
{
  if (i->avoid)
    wy_target_unref (i->job->env->targets, i->avoid);
  i->avoid = g;
  if (g)
    wy_target_ref (g);
}

/* End R with OUTCOME for its target.  Its item waits for another run, which
   starts after DELAY_MS at the earliest.  */
void
wy_run_end_for_retry (struct wy_run *r, enum wy_target_outcome outcome,
                      int64_t delay_ms, const char *why)
{
  struct wy_item *i = r->item;

  log_run (r, why);
  (*i->job->env->count.item_runs_failed)++;
  i->state = WY_ITEM_WAITING;
  i->job->n_waiting++;
  i->not_before_ms = wy_run_now_ms (r) + delay_ms;
  set_avoid (i, r->target);
  end_run (r, outcome);
}

/* Cancel R without logging or counting it.  The caller sets the state of the
   item.  */
void
wy_run_cancel (struct wy_run *r)
{
  if (r->call)
    wy_h1_call_cancel (r->call);
  end_run (r, WY_TARGET_CANCELLED);
}

static bool
has_other_version (const struct wy_item *i, int64_t version)
{
  for (guint k = 0; k < i->versions->len; k++)
    if (g_array_index (i->versions, int64_t, k) != version)
      return true;
  return false;
}

static void
check_version (struct wy_run *r)
{
  const struct wy_job_spec *spec = r->item->job->spec;

  if (r->version < 0)
    return;
  wy_target_record_version (r->target, spec->model, r->version);
  if (r->version < spec->min_version)
    r->fault = RUN_FAULT_STALE_WEIGHTS;
  else if (r->single_version && has_other_version (r->item, r->version))
    r->fault = RUN_FAULT_OTHER_WEIGHTS;
}

static void
on_head (void *ctx, const struct wy_h1_response *a)
{
  struct wy_run *r = ctx;
  struct wy_response_info info;

  r->status = a->status;
  wy_target_response_started (r->target);
  wy_response_parse_head (a->status, a->head, &info);
  r->not_run = info.not_run;
  if (info.has_load)
    wy_target_record_load (r->target, info.running + info.waiting,
                           r->progress_ms);
  if (info.id && strcmp (info.id, r->item->spec->id) != 0)
    r->fault = RUN_FAULT_OTHER_REQUEST;
  if (a->status != STATUS_OK || r->fault)
    return;
  r->target->refusals = 0;
  r->version = info.version;
  if (info.has_version && info.version < 0)
    r->fault = RUN_FAULT_NO_VERSION;
  check_version (r);
}

static void
add_version (struct wy_item *i, int64_t version)
{
  for (guint k = 0; k < i->versions->len; k++)
    if (g_array_index (i->versions, int64_t, k) == version)
      return;
  g_array_append_val (i->versions, version);
}

static void
on_event (void *ctx, const struct wy_sse_event *ev)
{
  struct wy_run *r = ctx;
  struct wy_item *i = r->item;

  if (r->fault)
    return;
  if (!wy_text_is_valid (ev->raw, ev->raw_n))
    {
      r->fault = RUN_FAULT_NOT_TEXT;
      return;
    }
  if (ev->has_version)
    {
      r->version = ev->version;
      if (ev->version < 0)
        r->fault = RUN_FAULT_NO_VERSION;
      check_version (r);
      if (r->fault)
        return;
    }
  if (ev->id < 0)
    {
      /* Its place in the text is not known.  */
      if (ev->data_n)
        r->fault = RUN_FAULT_EVENT_MISSING;
      return;
    }
  if (i->last_event >= 0 && ev->id <= i->last_event)
    {
      /* Another text: its later events would not continue this one.  */
      r->fault = r->n_events == 0 ? RUN_FAULT_NOT_CONTINUED
                                  : RUN_FAULT_EVENT_MISSING;
      return;
    }
  if (i->last_event >= 0 && ev->id != i->last_event + 1)
    {
      r->fault = RUN_FAULT_EVENT_MISSING;
      return;
    }
  if (i->last_event >= 0)
    g_string_append_c (i->text, '\n');
  g_string_append_len (i->text, ev->data, (gssize)ev->data_n);
  wy_item_count_memory (i);
  i->last_event = ev->id;
  i->runs_without_event = 0;
  r->n_events++;
  if (r->version >= 0)
    add_version (i, r->version);
}

/* The time until the next run of I, whose last run was of no use.  It grows
   with the runs in a row that have added nothing to the text.  */
static int64_t
useless_run_delay_ms (const struct wy_item *i)
{
  return CLAMP (wy_crash_tracker_backoff_ms (i->runs_without_event), RETRY_MS,
                RETRY_INTERRUPTED_MAX_MS);
}

static void
count_not_text (const struct wy_run *r)
{
  char *reason = wy_metrics_label ("reason", WY_REASON_NOT_TEXT);

  ++*wy_metrics_family_counter (r->item->job->env->count.malformed, reason);
  g_free (reason);
}

static void
abort_faulty_run (struct wy_run *r)
{
  struct wy_item *i = r->item;
  enum run_fault fault = r->fault;
  int64_t delay_ms = RETRY_MS;

  wy_h1_call_cancel (r->call);
  r->call = NULL;
  /* If the second event does not follow the first, the id of either may be
     wrong.  */
  if (fault == RUN_FAULT_OTHER_WEIGHTS
      || (fault == RUN_FAULT_EVENT_MISSING && r->begins_text
          && r->n_events == 1))
    wy_item_discard_text (i);
  if (fault == RUN_FAULT_NOT_TEXT)
    count_not_text (r);
  if (fault == RUN_FAULT_NOT_TEXT || fault == RUN_FAULT_NO_VERSION
      || fault == RUN_FAULT_EVENT_MISSING)
    {
      i->runs_without_event += r->n_events == 0;
      delay_ms = useless_run_delay_ms (i);
    }
  wy_run_end_for_retry (
      r,
      fault == RUN_FAULT_OTHER_REQUEST || fault == RUN_FAULT_NO_EVENTS
              || fault == RUN_FAULT_EVENT_MISSING
              || fault == RUN_FAULT_NOT_CONTINUED
              || fault == RUN_FAULT_NOT_TEXT || fault == RUN_FAULT_NO_VERSION
          ? WY_TARGET_FAILED
          : WY_TARGET_CANCELLED,
      delay_ms, fault_name (fault));
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  struct wy_run *r = ctx;
  int64_t now_ms = wy_run_now_ms (r);
  uint32_t before = r->n_events;

  if (r->status == STATUS_OK && !r->fault)
    wy_sse_feed (&r->events, p, n, on_event, r);
  r->ignored_bytes += r->status == STATUS_OK ? 0 : n;
  if (!r->fault
      && (wy_sse_is_too_long (&r->events)
          || r->ignored_bytes > WY_SSE_EVENT_MAX_BYTES))
    r->fault = RUN_FAULT_NO_EVENTS;
  if (before && r->n_events > before && !r->was_paused)
    {
      uint32_t n = r->n_events - before;
      double event_duration_ms = (double)(now_ms - r->progress_ms) / n;

      wy_run_record_pace (r, n, event_duration_ms);
      wy_target_record_pace (r->target, WY_WORK_EVENT, event_duration_ms,
                             now_ms);
    }
  if (r->n_events > before)
    r->progress_ms = now_ms;
  if (r->fault)
    {
      abort_faulty_run (r);
      return;
    }
  r->source.call = r->call;
  r->source.stored_bytes = r->item->text->len;
  wy_read_source_received (r->item->job->env->read_pauses, &r->source);
}

/* The time of the pause does not count as silence of the replica.  */
static void
on_read_resumed (void *ctx)
{
  struct wy_run *r = ctx;

  r->progress_ms = wy_run_now_ms (r);
  r->was_paused = true;
}

static void
complete (struct wy_run *r)
{
  struct wy_item *i = r->item;
  struct wy_target *g = r->target;

  log_run (r, "completed");
  wy_target_ref (g);
  end_run (r, WY_TARGET_ANSWERED);
  wy_demand_item_ended (i->job->env->demand, g->info.service, i);
  wy_item_plan_text_complete (i, g->info.service);
  wy_target_unref (i->job->env->targets, g);
  wy_item_text_complete (i);
}

static void
on_error_status (struct wy_run *r)
{
  struct wy_item *i = r->item;

  if (r->status == STATUS_UNPROCESSABLE)
    {
      log_run (r, "never");
      end_run (r, WY_TARGET_ANSWERED);
      wy_item_give_up (i);
    }
  else if (r->status == STATUS_INTERNAL_ERROR
           && ++i->failed_runs >= r->allowed_failures)
    {
      log_run (r, "failed");
      end_run (r, WY_TARGET_ANSWERED);
      wy_item_give_up (i);
    }
  else
    wy_run_end_for_retry (r, WY_TARGET_ANSWERED, RETRY_FAILED_MS,
                          "replica_failed");
}

/* The connection was lost.  The replica may have crashed, though not because
   of the item.  */
static void
on_interrupted (struct wy_run *r)
{
  struct wy_item *i = r->item;

  if (r->n_events == 0)
    {
      struct wy_crash_watch_run w = { .id = i->spec->id,
                                      .target = r->target,
                                      .incarnation = r->incarnation,
                                      .started_ms = r->started_ms };

      i->runs_without_event++;
      wy_crash_watch_run_interrupted (i->job->env, &w);
    }
  wy_run_end_for_retry (r, WY_TARGET_FAILED, useless_run_delay_ms (i),
                        "broken_off");
}

static void
on_end (void *ctx, int err)
{
  struct wy_run *r = ctx;
  struct wy_active_job *job = r->item->job;

  if (wy_h1_call_was_refused (r->call))
    wy_crash_watch_refused (job->env, r->target);
  r->call = NULL;
  if (r->fault)
    wy_run_end_for_retry (r, WY_TARGET_FAILED, RETRY_MS,
                          fault_name (r->fault));
  else if (err == WY_H1_ECONNECT)
    wy_run_end_for_retry (r, WY_TARGET_FAILED, RETRY_MS, "no_connection");
  else if (err == WY_H1_EMALFORMED)
    wy_run_end_for_retry (r, WY_TARGET_FAILED, RETRY_MS, "malformed");
  else if (err)
    on_interrupted (r);
  else if (r->not_run)
    wy_run_end_for_retry (
        r, r->status == 421 ? WY_TARGET_MISDIRECTED : WY_TARGET_REJECTED,
        RETRY_MS, r->status == 421 ? "not_there" : "full");
  else if (r->status != STATUS_OK)
    on_error_status (r);
  else if (wy_sse_has_partial (&r->events) || r->item->last_event < 0)
    wy_run_end_for_retry (r, WY_TARGET_FAILED, RETRY_MS, "cut_short");
  else
    complete (r);
  wy_active_job_start_items (job);
}

static void
log_start (const struct wy_run *r)
{
  const struct wy_item *i = r->item;
  const struct wy_target *g = r->target;
  int64_t now_ms = wy_run_now_ms (r);

  wy_json_log ("item.run_started",
               "id=%s job=%s target=%s after=%lld run=%u in_flight=%u load=%u "
               "load_age_ms=%lld pace_ms=%.0f held_version=%lld",
               i->spec->id, i->job->record->id, g->info.id,
               (long long)i->last_event, i->runs, g->in_flight,
               g->reported_load,
               g->reported_ms ? (long long)(now_ms - g->reported_ms) : -1LL,
               g->pace[WY_WORK_EVENT].ms,
               (long long)wy_target_version (g, i->job->spec->model));
}

/* Run I on G, from the end of its text on.  */
void
wy_run_start (struct wy_item *i, struct wy_target *g,
              const struct wy_route *route)
{
  struct wy_gate_env *env = i->job->env;
  struct wy_run *r = g_new0 (struct wy_run, 1);
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (struct wy_h1_header));
  struct wy_forward_info f
      = { .replica = g->info.id,
          .time_left_ms = -1,
          .after_event = i->last_event,
          .id = i->spec->id,
          .host = i->job->record->host,
          .has_orgs = env->routing->orgs != NULL,
          .organisation = wy_job_organisation (i->job->record) };
  struct wy_h1_call_options o = { .address = g->info.address,
                                  .method = "POST",
                                  .target = i->spec->path,
                                  .id = i->spec->id,
                                  .body = i->spec->body,
                                  .body_size_bytes = i->spec->body_size_bytes,
                                  .has_body = true,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = r };

  r->item = i;
  r->target = g;
  r->incarnation = g->incarnation;
  r->version = -1;
  r->single_version = route->single_version;
  r->begins_text = i->last_event < 0;
  r->allowed_failures = route->attempts;
  r->started_ms = wy_run_now_ms (r);
  r->progress_ms = r->started_ms;
  r->source.on_resume = on_read_resumed;
  r->source.ctx = r;
  wy_sse_init (&r->events);
  i->run = r;
  i->runs++;
  i->state = WY_ITEM_RUNNING;
  i->job->n_waiting--;
  wy_request_item_fields ((const struct wy_h1_header *)i->spec->fields->data,
                          i->spec->fields->len, &f, fields);
  o.fields = (const struct wy_h1_header *)fields->data;
  o.n_fields = fields->len;
  log_start (r);
  wy_target_request_started (g);
  (*env->count.item_runs)++;
  r->call = wy_h1_call_start (env->http, &o);
  g_array_free (fields, TRUE);
}
