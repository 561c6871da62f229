/* The text of an item, its score and its result.  */
#include "jobs/active_job.h"
#include "jobs/score.h"
#include "trace/json_log.h"

/* Cancel the calls that score the text of I.  */
void
wy_item_cancel_scoring (struct wy_item *i)
{
  wy_score_free (i->score);
  i->score = NULL;
}

/* Count I, which has its result, in its group.  */
void
wy_item_count_result (struct wy_item *i)
{
  if (--i->group->missing == 0)
    i->job->complete_groups++;
}

static void
leave_state (struct wy_item *i)
{
  if (i->state == WY_ITEM_WAITING)
    i->job->n_waiting--;
  if (i->state == WY_ITEM_SCORING)
    {
      wy_item_cancel_scoring (i);
      i->job->n_scoring--;
    }
}

/* Set the result of I, which is then to be listed.  STAMP is the
   stamp of the response that scored the text; NULL if the item has no scorer
   or is given up.  */
static void
set_result (struct wy_item *i, bool given_up, const char *stamp)
{
  struct wy_result *r = wy_result_new (i->spec->id);

  r->given_up = given_up;
  if (!given_up)
    g_string_append_len (r->text, i->text->str, (gssize)i->text->len);
  r->score = g_strdup (stamp);
  if (!given_up)
    for (guint k = 0; k < i->versions->len; k++)
      wy_result_add_version (r, g_array_index (i->versions, int64_t, k));
  leave_state (i);
  i->state = WY_ITEM_UNLISTED;
  i->result = r;
  wy_item_count_memory (i);
  wy_item_count_result (i);
  (*i->job->env->count.items_done)++;
  wy_hist_add (
      i->job->env->count.item_us,
      (uint64_t)(wy_clock_mono_ms (i->job->env->clock) - i->job->started_ms)
          * WY_US_PER_MS);
  g_queue_push_tail (&i->job->unlisted, i);
  wy_result_list_schedule (i->job);
}

/* Drop the text of I, which then begins anew.  */
void
wy_item_discard_text (struct wy_item *i)
{
  g_string_truncate (i->text, 0);
  wy_item_count_memory (i);
  g_array_set_size (i->versions, 0);
  i->last_event = -1;
  i->text_id = 0;
  i->saved_bytes = 0;
  i->sent_bytes = 0;
  i->saved_event = -1;
  i->saved_complete = false;
}

/* The result of I, not listed yet, can't be stored: drop it with its text, and
   let the item run again.  */
void
wy_item_discard_result (struct wy_item *i)
{
  struct wy_active_job *o = i->job;

  wy_json_log ("item.result_dropped", "id=%s job=%s bytes=%zu", i->spec->id,
               o->record->id, i->result->text->len);
  g_queue_remove (&o->unlisted, i);
  wy_result_free (i->result);
  i->result = NULL;
  wy_item_discard_text (i);
  if (i->group->missing++ == 0)
    o->complete_groups--;
  i->state = WY_ITEM_WAITING;
  o->n_waiting++;
}

/* The text of I is complete: it is the result, or it has to be scored
   first.  */
void
wy_item_text_complete (struct wy_item *i)
{
  if (!i->spec->scorer)
    {
      set_result (i, false, NULL);
      return;
    }
  leave_state (i);
  i->state = WY_ITEM_SCORING;
  i->text_complete_ms = wy_clock_mono_ms (i->job->env->clock);
  i->score = wy_score_new (i);
  i->job->n_scoring++;
}

/* The text of I was scored by the response with STAMP.  */
void
wy_item_scored (struct wy_item *i, const char *stamp)
{
  wy_item_plan_scored (i);
  set_result (i, false, stamp);
}

/* Give the item I up; its result says so.  */
void
wy_item_give_up (struct wy_item *i)
{
  set_result (i, true, NULL);
}
