/* Simulated trainer: submits steps, reads the batch of the oldest one, trains
   on it for train_ms, acknowledges it and publishes new weights.  Every call
   is retried through the next entry until it gets a final response, so each
   must be idempotent.  */
#include <string.h>

#include "standin/kinds.h"
#include "standin/trainer.h"

enum
{
  RETRY_MS = 150,
  CALL_TIMEOUT_MS = 5000,
  STATUS_CONFLICT = 409,
  STATUS_GONE = 410
};

enum action
{
  SUBMIT,
  POLL,
  TRAIN,
  ACK,
  STORE_WEIGHTS,
  PUBLISH
};

struct trainer
{
  struct wy_standin *standin;
  const struct wy_trainer_settings *o;
  struct wy_entry_list entries;
  char *weights_host;
  uint16_t weights_port;
  enum action action;
  uv_timer_t timer;
  int64_t step;      /* step waited for or trained on */
  int64_t submitted; /* steps up to this one are submitted */
  int64_t version;   /* newest version published */
  json_t *batch;
  struct wy_trainer_stats stats;
};

static void perform (struct trainer *t);

static int64_t
now_us (const struct trainer *t)
{
  return wy_clock_mono_us (t->standin->clock);
}

static void
quit (struct trainer *t)
{
  t->stats.ended_us = now_us (t);
  if (t->stats.waiting_since_us)
    t->stats.idle_us += t->stats.ended_us - t->stats.waiting_since_us;
  wy_trainer_report_write (&t->stats, t->o, t->version);
  wy_standin_quit (t->standin);
}

static void
on_timer (uv_timer_t *timer)
{
  perform (timer->data);
}

static void
perform_later (struct trainer *t, int64_t ms)
{
  uv_timer_start (&t->timer, on_timer, (uint64_t)ms, 0);
}

/* Submit the next step, or poll for a batch if enough are submitted.  */
static void
plan_next (struct trainer *t)
{
  int64_t last = t->step + t->o->ahead;

  if (t->o->steps && last > t->o->steps)
    last = t->o->steps;
  t->action = t->submitted < last ? SUBMIT : POLL;
  perform (t);
}

static void
end_step (struct trainer *t)
{
  t->step++;
  if (t->standin->stopping || (t->o->steps && t->step > t->o->steps))
    {
      quit (t);
      return;
    }
  t->stats.waiting_since_us = now_us (t);
  plan_next (t);
}

static void
log_training (struct trainer *t)
{
  json_t *ids = json_array ();
  json_t *samples = json_object_get (t->batch, "samples");
  json_int_t oldest
      = json_integer_value (json_object_get (t->batch, "oldest"));
  json_t *s;
  size_t i;

  json_array_foreach (samples, i, s)
      json_array_append (ids, json_object_get (s, "sample"));
  wy_trace_event (t->standin->trace, "trainer.trained",
                  "{s:s, s:s, s:I, s:o, s:I, s:I}", "yard", t->o->yard,
                  "trainer", t->o->trainer, "step", (json_int_t)t->step,
                  "samples", ids, "oldest", oldest, "version",
                  (json_int_t)t->version);
  wy_trainer_stats_add_batch (&t->stats, samples, t->version - oldest);
}

static void
receive_batch (struct trainer *t, const struct wy_http_response *r)
{
  json_decref (t->batch);
  t->batch = json_loadb (r->body, r->size_bytes, 0, NULL);
  t->stats.idle_us += now_us (t) - t->stats.waiting_since_us;
  t->stats.waiting_since_us = 0;
  log_training (t);
  t->action = TRAIN;
  perform_later (t, t->o->train_ms);
}

static void
on_polled (struct trainer *t, const struct wy_http_response *r)
{
  if (r->status == 200)
    receive_batch (t, r);
  else if (r->status == STATUS_CONFLICT || r->status == STATUS_GONE)
    {
      /* The batch was sent before, but that response was lost, and now its
         samples are too old.  */
      t->stats.steps_lost++;
      t->stats.idle_us += now_us (t) - t->stats.waiting_since_us;
      t->stats.waiting_since_us = 0;
      t->action = ACK;
      perform (t);
    }
  else
    perform_later (t, t->o->poll_ms);
}

/* Continue after the current action, which got the final response R.  */
static void
advance (struct trainer *t, const struct wy_http_response *r)
{
  switch (t->action)
    {
    case SUBMIT:
      t->submitted++;
      plan_next (t);
      return;
    case POLL:
      on_polled (t, r);
      return;
    case TRAIN:
      return;
    case ACK:
      /* A lost step gives no new weights.  */
      if (!t->batch)
        {
          end_step (t);
          return;
        }
      json_decref (t->batch);
      t->batch = NULL;
      t->action = STORE_WEIGHTS;
      perform (t);
      return;
    case STORE_WEIGHTS:
      t->action = PUBLISH;
      perform (t);
      return;
    case PUBLISH:
      t->version++;
      end_step (t);
      return;
    }
}

/* Return whether the response R is final, so that there is no retry.  */
static bool
is_final (const struct trainer *t, const struct wy_http_response *r)
{
  if (r->err)
    return false;
  if (r->status >= 200 && r->status < 300)
    return true;
  return t->action != STORE_WEIGHTS
         && (r->status == STATUS_CONFLICT || r->status == STATUS_GONE);
}

static void
on_response (void *ctx, const struct wy_http_response *r)
{
  struct trainer *t = ctx;

  if (t->standin->stopping && t->action == POLL
      && (r->err || r->status != 200))
    {
      quit (t);
      return;
    }
  if (is_final (t, r))
    {
      advance (t, r);
      return;
    }
  t->stats.retries++;
  if (t->action != STORE_WEIGHTS)
    wy_entry_list_next (&t->entries);
  perform_later (t, RETRY_MS);
}

static json_t *
groups_json (const struct trainer *t)
{
  json_t *groups = json_array ();

  for (int64_t i = 0; i < t->o->groups; i++)
    {
      char *id = g_strdup_printf ("%s-%" G_GINT64_FORMAT "-%" G_GINT64_FORMAT,
                                  t->o->trainer, t->submitted + 1, i);
      char *prompt = g_strdup_printf (
          "Rank the foundations of block %" G_GINT64_FORMAT
          " by settlement, reading %" G_GINT64_FORMAT " of %s.",
          i, t->submitted + 1, t->o->yard);

      json_array_append_new (
          groups, json_pack ("{s:s, s:s, s:I, s:I}", "group", id, "prompt",
                             prompt, "samples", (json_int_t)t->o->samples,
                             "max_tokens", (json_int_t)t->o->max_tokens));
      g_free (id);
      g_free (prompt);
    }
  return groups;
}

static void
call (struct trainer *t, const char *method, char *path, json_t *body)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : g_strdup ("");
  char *bearer = g_strdup_printf ("Bearer %s", t->o->token);
  struct wy_http_header_field headers[]
      = { { "authorization", bearer },
          { "content-type", "application/json" } };
  struct wy_http_call_options o = { .method = method,
                                    .path = path,
                                    .headers = headers,
                                    .n_headers = 2,
                                    .body = text,
                                    .body_size_bytes = strlen (text),
                                    .timeout_ms = CALL_TIMEOUT_MS };

  wy_entry_list_set_target (&t->entries, &o);
  if (t->action == STORE_WEIGHTS)
    {
      o.host = t->weights_host;
      o.port = t->weights_port;
    }
  wy_http_fetch (t->standin->client, &o, on_response, t);
  json_decref (body);
  g_free (path);
  g_free (text);
  g_free (bearer);
}

static char *
step_path (const struct trainer *t, int64_t step, const char *verb)
{
  return g_strdup_printf ("/v1/yards/%s/trainers/%s/steps/%" G_GINT64_FORMAT
                          "/%s",
                          t->o->yard, t->o->trainer, step, verb);
}

/* Perform the current action.  */
static void
perform (struct trainer *t)
{
  switch (t->action)
    {
    case SUBMIT:
      call (t, "POST", step_path (t, t->submitted + 1, "groups"),
            json_pack ("{s:o, s:I, s:f}", "groups", groups_json (t),
                       "max_staleness", (json_int_t)t->o->max_staleness,
                       "worth", 1.0));
      return;
    case POLL:
      call (t, "GET", step_path (t, t->step, "batch"), NULL);
      return;
    case TRAIN:
      t->action = ACK;
      perform (t);
      return;
    case ACK:
      call (t, "POST", step_path (t, t->step, "ack"),
            json_pack ("{s:I}", "samples",
                       (json_int_t)json_array_size (
                           json_object_get (t->batch, "samples"))));
      return;
    case STORE_WEIGHTS:
      call (t, "POST",
            g_strdup_printf ("/weights/%s/%" G_GINT64_FORMAT, t->o->model,
                             t->version + 1),
            json_pack ("{s:I}", "size_bytes",
                       (json_int_t)t->o->weights_size_bytes));
      return;
    case PUBLISH:
      call (t, "POST", g_strdup_printf ("/v1/yards/%s/weights", t->o->yard),
            json_pack ("{s:I}", "version", (json_int_t)t->version + 1));
      return;
    }
}

static int
start (struct wy_standin *s)
{
  struct trainer *t = g_new0 (struct trainer, 1);

  s->state = t;
  t->standin = s;
  t->o = s->settings;
  if (wy_entry_list_init (&t->entries, t->o->entries)
      || !wy_standin_parse_address (t->o->weights, &t->weights_host,
                                    &t->weights_port))
    return -1;
  t->step = 1;
  t->version = t->o->initial_version;
  t->stats.seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->stats.started_us = t->stats.waiting_since_us = now_us (t);
  uv_timer_init (s->loop, &t->timer);
  t->timer.data = t;
  plan_next (t);
  return 0;
}

/* Do nothing here: a step whose batch has been read is finished, one that is
   only waited for is abandoned.  */
static void
on_stop (struct wy_standin *s)
{
}

const struct wy_standin_kind wy_standin_trainer
    = { .name = "trainer",
        .summary = "a trainer that runs step after step",
        .table = wy_trainer_table,
        .n = WY_TRAINER_SETTINGS,
        .settings_size_bytes = sizeof (struct wy_trainer_settings),
        .start = start,
        .on_stop = on_stop };
