/* A job that this entry runs.  */
#include "jobs/active_job.h"

#include <string.h>

#include "decide/item_slots.h"
#include "jobs/checkpoint.h"
#include "jobs/score.h"
#include "trace/json_log.h"

enum
{
  /* An item is given up this long after its time, since the clocks of the
     store and of the submitter's request differ a little.  */
  RETENTION_SLACK_MS = 1000,
  /* Trainers submit the next step about a second after they end one.  */
  LINGER_MS = 2000,
  /* Ticks between two looks for text worth storing.  */
  CHECKPOINT_TICKS = 5,
  /* Second calls for scores that a job may make at once: as many as a replica
     has under way when it goes dark.  */
  SECOND_SCORES = 8
};

static int64_t
now_of (const struct wy_owned *o)
{
  return wy_clock_mono_ms (o->env->clock);
}

/* The route by which O was submitted; NULL: it is gone.  */
const struct wy_route *
wy_owned_route (const struct wy_owned *o)
{
  const struct wy_route *r
      = wy_routing_match (o->env->routing, o->record->host, o->record->path);

  return r && r->kind == WY_ROUTE_JOB ? r : NULL;
}

/* Time since O was accepted, by the store's clock; -1: not known.  */
int64_t
wy_owned_age_ms (const struct wy_owned *o)
{
  int64_t store_ms = wy_rows_store_now_ms (o->env->rows);

  return store_ms && o->record->accepted_ms ? store_ms - o->record->accepted_ms
                                            : -1;
}

/* Time until the items of O may be given up; -1: not known.  */
int64_t
wy_owned_time_left_ms (const struct wy_owned *o)
{
  const struct wy_route *route = wy_owned_route (o);
  int64_t age_ms = wy_owned_age_ms (o);

  if (!route || !route->retention_ms || age_ms < 0)
    return -1;
  return MAX ((int64_t)route->retention_ms + RETENTION_SLACK_MS - age_ms, 0);
}

/* Answers that the text of I can't be scored after which it is given up: its
   job's route and the scorer's each name a number, and both must be
   reached.  */
uint32_t
wy_owned_allowed_failures (const struct wy_item *i)
{
  const struct wy_route *job = wy_owned_route (i->job);
  const struct wy_route *scorer
      = wy_scorer_route (i->job->env->routing, i->spec->scorer);

  return MAX (MAX (job ? job->attempts : 0, scorer ? scorer->attempts : 0), 1);
}

static struct wy_group *
group_of (struct wy_owned *o, const char *name)
{
  struct wy_group *g = g_hash_table_lookup (o->groups, name);

  if (g)
    return g;
  g = g_new0 (struct wy_group, 1);
  g_hash_table_insert (o->groups, (char *)name, g);
  return g;
}

static gint
by_expected_length (gconstpointer a, gconstpointer b)
{
  const struct wy_item *x = *(struct wy_item *const *)a;
  const struct wy_item *y = *(struct wy_item *const *)b;

  if (x->spec->expected_tokens != y->spec->expected_tokens)
    return x->spec->expected_tokens > y->spec->expected_tokens ? -1 : 1;
  return x < y ? -1 : 1;
}

/* Run the job O->record, all items from their start.  */
struct wy_owned *
wy_owned_new (const struct wy_owned_options *opt)
{
  struct wy_owned *o = g_new0 (struct wy_owned, 1);

  o->env = opt->env;
  o->record = opt->record;
  o->spec = opt->spec;
  o->row_bytes = opt->row_bytes;
  o->started_ms = now_of (o);
  o->on_listed = opt->on_listed;
  o->on_end = opt->on_end;
  o->ctx = opt->ctx;
  o->n_items = o->spec->items->len;
  o->n_waiting = o->n_items;
  o->items = g_new0 (struct wy_item, o->n_items);
  g_queue_init (&o->ended);
  o->batch = g_ptr_array_new ();
  o->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  wy_retry_init (&o->second_scores,
                 &(struct wy_retry_options){ .burst = SECOND_SCORES });
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      i->job = o;
      i->spec = g_ptr_array_index (o->spec->items, k);
      i->group = group_of (o, i->spec->group);
      i->group->missing++;
      i->text = g_string_new (NULL);
      i->versions = g_array_new (FALSE, FALSE, sizeof (int64_t));
      i->last_event = -1;
      i->carried_event = -1;
      i->kept_event = -1;
    }
  o->order = g_ptr_array_new ();
  for (uint32_t k = 0; k < o->n_items; k++)
    g_ptr_array_add (o->order, &o->items[k]);
  g_ptr_array_sort (o->order, by_expected_length);
  uv_timer_init (o->env->loop, &o->flush);
  o->flush.data = o;
  return o;
}

static void
free_owned (struct wy_owned *o)
{
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (i->avoid)
        wy_target_unref (o->env->targets, i->avoid);
      g_string_free (i->text, TRUE);
      g_array_free (i->versions, TRUE);
      wy_result_free (i->result);
    }
  wy_carry_detach (o);
  g_free (o->items);
  g_hash_table_destroy (o->groups);
  g_ptr_array_free (o->order, TRUE);
  g_ptr_array_free (o->batch, TRUE);
  g_queue_clear (&o->ended);
  wy_job_spec_free (o->spec);
  wy_job_record_free (o->record);
  g_free (o);
}

static void
on_flush_closed (uv_handle_t *h)
{
  struct wy_owned *o = h->data;

  /* A write under way still points here; its end frees the job.  */
  if (!o->writing)
    free_owned (o);
  else
    o->flush.data = NULL;
}

static void
stop_scoring (struct wy_item *i)
{
  wy_score_free (i->score);
  i->score = NULL;
}

/* Stop running the job and free it when nothing points to it any more.  */
void
wy_owned_drop (struct wy_owned *o)
{
  if (o->dropped)
    return;
  o->dropped = true;
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      if (o->items[k].run)
        wy_run_cancel (o->items[k].run);
      stop_scoring (&o->items[k]);
    }
  uv_close ((uv_handle_t *)&o->flush, on_flush_closed);
}

/* A call to the store on behalf of O has ended.  False: O was dropped
   meanwhile and must not be touched any more.  */
bool
wy_owned_write_ended (struct wy_owned *o)
{
  o->writing = false;
  if (!o->dropped)
    return true;
  if (!o->flush.data)
    free_owned (o);
  return false;
}

static void
has_result (struct wy_item *i)
{
  if (--i->group->missing == 0)
    i->job->whole_groups++;
}

/* ITEM has been listed by whoever ran the job before, at the next
   position.  */
void
wy_owned_restore (struct wy_owned *o, const char *item)
{
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (i->state == WY_ITEM_LISTED || strcmp (i->spec->id, item) != 0)
        continue;
      i->state = WY_ITEM_LISTED;
      has_result (i);
      o->n_waiting--;
      o->n_listed++;
      return;
    }
}

static void
leave_state (struct wy_item *i)
{
  if (i->state == WY_ITEM_WAITING)
    i->job->n_waiting--;
  if (i->state == WY_ITEM_SCORING)
    {
      stop_scoring (i);
      i->job->n_scoring--;
    }
}

/* The item I has its result: it waits to be listed.  MARK of the answer that
   scored its text: NULL, there is no scorer, or it is given up.  */
static void
end_item (struct wy_item *i, bool given_up, const char *mark)
{
  struct wy_result *r = wy_result_new (i->spec->id);

  r->given_up = given_up;
  r->text = g_strdup (given_up ? "" : i->text->str);
  r->score = g_strdup (mark);
  if (!given_up)
    for (guint k = 0; k < i->versions->len; k++)
      wy_result_add_version (r, g_array_index (i->versions, int64_t, k));
  leave_state (i);
  i->state = WY_ITEM_ENDED;
  i->result = r;
  has_result (i);
  (*i->job->env->count.items_done)++;
  wy_hist_add (i->job->env->count.item_us,
               (uint64_t)(now_of (i->job) - i->job->started_ms)
                   * WY_US_PER_MS);
  g_queue_push_tail (&i->job->ended, i);
  wy_lister_schedule (i->job);
}

/* The text of I is whole: it is the result, or it is to be scored.  */
void
wy_item_text_whole (struct wy_item *i)
{
  if (!i->spec->scorer)
    {
      end_item (i, false, NULL);
      return;
    }
  leave_state (i);
  i->state = WY_ITEM_SCORING;
  i->score = wy_score_new (i);
  i->job->n_scoring++;
}

/* The text of I is scored, by an answer with MARK.  */
void
wy_item_scored (struct wy_item *i, const char *mark)
{
  end_item (i, false, mark);
}

/* The item I will not be done, and is listed so.  */
void
wy_item_give_up (struct wy_item *i)
{
  end_item (i, true, NULL);
}

static void
give_up_all (struct wy_owned *o, const char *why)
{
  wy_json_log ("job.given_up", "id=%s reason=%s items=%u listed=%u",
               o->record->id, why, o->n_items, o->n_listed);
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (i->run)
        {
          wy_run_cancel (i->run);
          i->state = WY_ITEM_WAITING;
          o->n_waiting++;
        }
      if (i->state == WY_ITEM_WAITING || i->state == WY_ITEM_SCORING)
        wy_item_give_up (i);
    }
}

/* Choose a target for I other than EXCEPT (NULL: any), none that works slower
   than PACE_LIMIT_MS (0: any) and none with more than SLOTS_SHARE of its slots
   taken (0: all may be).  */
struct wy_target *
wy_owned_pick (const struct wy_item *i, const struct wy_target *except,
               double pace_limit_ms, double slots_share)
{
  const struct wy_owned *o = i->job;
  const struct wy_route *route = wy_owned_route (o);
  struct wy_target_criteria q
      = { .work = WY_WORK_EVENT,
          .availability_zone = o->env->availability_zone,
          .model = *o->spec->model ? o->spec->model : NULL,
          .min_version = o->spec->min_version,
          .newest_version = o->newest_version,
          .require_free_slot = true,
          .slots_share = slots_share,
          .pace_limit_ms = pace_limit_ms,
          .tried = &except,
          .n_tried = except ? 1 : 0 };

  if (!route)
    return NULL;
  q.service = wy_route_pick_service (
      route, wy_rng_below (&i->job->env->rng, UINT32_MAX));
  q.in_flight_limit = wy_gate_in_flight_limit (o->env, q.service);
  return wy_targets_pick (o->env->targets, &q, now_of (o));
}

/* Start what can be started, what is expected to run longest first: the step
   is ready when the last item of its groups is, and a long one started late
   is what it waits for.  */
void
wy_owned_pump (struct wy_owned *o)
{
  const struct wy_route *route;
  int64_t now_ms = now_of (o);
  bool full = false; /* for those that leave slots to others */

  wy_scores_pump (o);
  if (o->dropped || o->lingering || o->n_waiting == 0 || !o->env->routing
      || o->env->stopping)
    return;
  route = wy_owned_route (o);
  if (!route)
    return;
  for (uint32_t k = 0; k < o->n_items && o->n_waiting; k++)
    {
      struct wy_item *i = g_ptr_array_index (o->order, k);
      struct wy_item_slots_options slots
          = { .length_rank = k,
              .items = o->n_items,
              .has_partial_text = i->last_event >= 0,
              .waited_ms = now_ms - o->started_ms,
              .due_ms = route->result_deadline_ms };
      double share = wy_item_slots_occupancy_max (&slots);
      struct wy_target *g;

      if (i->state != WY_ITEM_WAITING || i->not_before_ms > now_ms
          || (share > 0 && full) || wy_run_is_held_back (i))
        continue;
      g = wy_owned_pick (i, i->avoid, 0, share);
      /* The one that failed last is still better than none.  */
      if (!g && i->avoid)
        g = wy_owned_pick (i, NULL, 0, share);
      if (!g && share > 0)
        full = true;
      else if (!g)
        return;
      else
        wy_run_start (i, g, route);
    }
}

static void
check_time (struct wy_owned *o)
{
  if (o->n_waiting + o->n_scoring && wy_owned_time_left_ms (o) == 0)
    give_up_all (o, "retention");
}

/* Look after runs and waiting items; called some times a second.  Without
   CHECK_RUNS their headway is not judged.  */
void
wy_owned_tick (struct wy_owned *o, bool check_runs)
{
  if (o->dropped || !o->env->routing)
    return;
  for (uint32_t k = 0; check_runs && k < o->n_items; k++)
    {
      if (o->items[k].run)
        wy_run_check (o->items[k].run);
      if (o->items[k].score)
        wy_score_check (o->items[k].score);
    }
  check_time (o);
  if (o->ended.length)
    wy_lister_schedule (o);
  if (++o->ticks % CHECKPOINT_TICKS == 0 && *o->spec->model)
    wy_carry_keep (o);
  wy_owned_pump (o);
}

/* The job has been ended: what runs may go on for a while, so that a later
   job with the same items finds more of their text, but nothing new starts.
   O is still to be dropped.  */
void
wy_owned_linger (struct wy_owned *o)
{
  o->lingering = true;
  o->lingers_until_ms = now_of (o) + LINGER_MS;
  wy_carry_save (o, false);
  for (uint32_t k = 0; k < o->n_items; k++)
    {
      struct wy_item *i = &o->items[k];

      if (i->score)
        wy_score_pause (i->score);
      /* Text that no later job can use is not worth a slot.  */
      if (i->run && i->carried_event < 0)
        {
          wy_run_cancel (i->run);
          i->state = WY_ITEM_WAITING;
          o->n_waiting++;
        }
    }
}

/* Store what runs have added.  Returns whether any still goes on.  */
bool
wy_owned_linger_tick (struct wy_owned *o)
{
  bool any = false;

  wy_carry_save (o, true);
  if (now_of (o) >= o->lingers_until_ms || o->env->stopping)
    return false;
  for (uint32_t k = 0; k < o->n_items; k++)
    any = any || o->items[k].run;
  return any;
}

/* Whether all results are listed.  */
bool
wy_owned_is_done (const struct wy_owned *o)
{
  return o->n_listed == o->n_items;
}
