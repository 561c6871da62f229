/* Trainer: submits steps, reads the batch of the oldest one, trains for a
   while, acknowledges it and publishes new weights.  Every call is repeated
   through the next entry until it is settled, so each must be idempotent.  */
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
  struct wy_entries entries;
  char *weights_host;
  uint16_t weights_port;
  enum action action;
  uv_timer_t timer;
  int64_t step;      /* being waited for or trained */
  int64_t submitted; /* steps up to this one are submitted */
  int64_t version;   /* newest it has published */
  json_t *batch;
  struct wy_trainer_books books;
};

static void act (struct trainer *t);

static int64_t
now_us (const struct trainer *t)
{
  return wy_clock_mono_us (t->standin->clock);
}

static void
quit (struct trainer *t)
{
  t->books.ended_us = now_us (t);
  if (t->books.wanted_us)
    t->books.idle_us += t->books.ended_us - t->books.wanted_us;
  wy_trainer_books_write (&t->books, t->o, t->version);
  wy_standin_quit (t->standin);
}

static void
on_timer (uv_timer_t *timer)
{
  act (timer->data);
}

static void
act_later (struct trainer *t, int64_t ms)
{
  uv_timer_start (&t->timer, on_timer, (uint64_t)ms, 0);
}

/* The next thing to do between two steps.  */
static void
plan (struct trainer *t)
{
  int64_t last = t->step + t->o->ahead;

  if (t->o->steps && last > t->o->steps)
    last = t->o->steps;
  t->action = t->submitted < last ? SUBMIT : POLL;
  act (t);
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
  t->books.wanted_us = now_us (t);
  plan (t);
}

static void
note_trained (struct trainer *t)
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
  wy_trainer_books_batch (&t->books, samples, t->version - oldest);
}

static void
take_batch (struct trainer *t, const struct wy_http_response *a)
{
  json_decref (t->batch);
  t->batch = json_loadb (a->body, a->size_bytes, 0, NULL);
  t->books.idle_us += now_us (t) - t->books.wanted_us;
  t->books.wanted_us = 0;
  note_trained (t);
  t->action = TRAIN;
  act_later (t, t->o->train_ms);
}

static void
on_polled (struct trainer *t, const struct wy_http_response *a)
{
  if (a->status == 200)
    take_batch (t, a);
  else if (a->status == STATUS_CONFLICT || a->status == STATUS_GONE)
    {
      /* Handed out before, to an answer that was lost, and too old now.  */
      t->books.steps_lost++;
      t->books.idle_us += now_us (t) - t->books.wanted_us;
      t->books.wanted_us = 0;
      t->action = ACK;
      act (t);
    }
  else
    act_later (t, t->o->poll_ms);
}

/* The call of the current action has succeeded; go on with the next.  */
static void
advance (struct trainer *t, const struct wy_http_response *a)
{
  switch (t->action)
    {
    case SUBMIT:
      t->submitted++;
      plan (t);
      return;
    case POLL:
      on_polled (t, a);
      return;
    case TRAIN:
      return;
    case ACK:
      /* A step that was lost has trained nothing new.  */
      if (!t->batch)
        {
          end_step (t);
          return;
        }
      json_decref (t->batch);
      t->batch = NULL;
      t->action = STORE_WEIGHTS;
      act (t);
      return;
    case STORE_WEIGHTS:
      t->action = PUBLISH;
      act (t);
      return;
    case PUBLISH:
      t->version++;
      end_step (t);
      return;
    }
}

/* Whether the answer settles the call, well or not.  */
static bool
settled (const struct trainer *t, const struct wy_http_response *a)
{
  if (a->err)
    return false;
  if (a->status >= 200 && a->status < 300)
    return true;
  return t->action != STORE_WEIGHTS
         && (a->status == STATUS_CONFLICT || a->status == STATUS_GONE);
}

static void
on_answer (void *ctx, const struct wy_http_response *a)
{
  struct trainer *t = ctx;

  if (t->standin->stopping && t->action == POLL
      && (a->err || a->status != 200))
    {
      quit (t);
      return;
    }
  if (settled (t, a))
    {
      advance (t, a);
      return;
    }
  t->books.failures++;
  if (t->action != STORE_WEIGHTS)
    wy_entries_next (&t->entries);
  act_later (t, RETRY_MS);
}

static json_t *
groups_of (const struct trainer *t)
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

  wy_entries_target (&t->entries, &o);
  if (t->action == STORE_WEIGHTS)
    {
      o.host = t->weights_host;
      o.port = t->weights_port;
    }
  wy_http_fetch (t->standin->client, &o, on_answer, t);
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

/* Do the current action.  */
static void
act (struct trainer *t)
{
  switch (t->action)
    {
    case SUBMIT:
      call (t, "POST", step_path (t, t->submitted + 1, "groups"),
            json_pack ("{s:o, s:I, s:f}", "groups", groups_of (t),
                       "max_staleness", (json_int_t)t->o->max_staleness,
                       "worth", 1.0));
      return;
    case POLL:
      call (t, "GET", step_path (t, t->step, "batch"), NULL);
      return;
    case TRAIN:
      t->action = ACK;
      act (t);
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
  if (wy_entries_init (&t->entries, t->o->entries)
      || !wy_standin_address (t->o->weights, &t->weights_host,
                              &t->weights_port))
    return -1;
  t->step = 1;
  t->version = t->o->initial_version;
  t->books.seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->books.began_us = t->books.wanted_us = now_us (t);
  uv_timer_init (s->loop, &t->timer);
  t->timer.data = t;
  plan (t);
  return 0;
}

/* Finishes the step it has a batch of; one it only waits for is left.  */
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
