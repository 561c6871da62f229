/* Trainer of the platform stand-in: submits a step, reads its results, ends
   the step and announces the next version.  At the end it reads the results of
   all steps again.  */
#include "standin/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The id of an item's scorer is this and the item's id.  */
#define SCORER_PREFIX "score-"
/* Of the id of the item whose text can't be scored.  */
#define FAILING_SUFFIX "-5"

enum
{
  GROUPS = 6,
  GROUP_SIZE = 4,
  ITEMS = GROUPS * GROUP_SIZE,
  FAILING_ITEM = 5, /* its text can't be scored */
  STEPS_MAX = 256,
  PAUSE_MS = 100,
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  STATUS_UNAVAILABLE = 503
};

/* A step and its results by position, as read.  */
struct step
{
  char id[32];
  GPtrArray *results; /* char *, the JSON of each */
  GHashTable *items;
};

static struct
{
  struct wy_platform *platform;
  struct step steps[STEPS_MAX];
  uint32_t current;         /* step in progress */
  uint32_t steps_rechecked; /* steps read again at the end */
  uint32_t check_position;
  bool checking;
  uint64_t started_at_ms;
  uv_timer_t timer;
  void (*next) (void);
} trainer;

static void submit (void);
static void read_results (void);
static void end_step (void);
static void check_next (void);

static void
on_timer (uv_timer_t *t)
{
  trainer.next ();
}

static void
schedule (void (*next) (void))
{
  trainer.next = next;
  uv_timer_start (&trainer.timer, on_timer, PAUSE_MS, 0);
}

static struct step *
current_step (void)
{
  return &trainer.steps[trainer.current];
}

static char *
job_text (void)
{
  GString *s = g_string_new (NULL);

  g_string_append_printf (s,
                          "{\"step\":%u,\"model\":\"%s\","
                          "\"minimumVersion\":%u,\"desiredCount\":%d,"
                          "\"items\":[",
                          trainer.current, WY_PLATFORM_MODEL,
                          MAX (trainer.current, 1), GROUPS);
  for (int i = 0; i < ITEMS; i++)
    g_string_append_printf (
        s,
        "%s{\"id\":\"s%u-%d\",\"path\":\"%s%d\",\"headers\":{\"Model\":"
        "\"%s\"},\"body\":\"aGVsbG8=\",\"tokens\":9,\"group\":\"s%u-g%d\","
        "\"scorer\":{\"id\":\"" SCORER_PREFIX "s%u-%d\",\"host\":\"%s\","
        "\"path\":\"%sscore\",\"body\":\"%s\"}}",
        i ? "," : "", trainer.current, i, WY_PLATFORM_JOBS, i,
        WY_PLATFORM_MODEL, trainer.current, i / GROUP_SIZE, trainer.current, i,
        WY_PLATFORM_HOST, WY_PLATFORM_CALLS,
        i == FAILING_ITEM ? "ZmFpbA==" : "c2NvcmU=");
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

static void
on_submitted (struct wy_platform_call *c, int err)
{
  if (!err && c->status == STATUS_ACCEPTED)
    {
      wy_trace_event (c->platform->standin->trace, "job.accepted",
                      "{s:s, s:i}", "job", current_step ()->id, "items",
                      (int)ITEMS);
      read_results ();
    }
  else
    {
      c->platform->stats.retries++;
      schedule (submit);
    }
}

static void
submit (void)
{
  char *body = job_text ();
  struct wy_platform_call *c;

  c = wy_platform_call (trainer.platform, "POST", WY_PLATFORM_JOBS "step",
                        current_step ()->id, body);
  c->on_done = on_submitted;
  g_free (body);
}

static void
begin_step (void)
{
  struct step *s = current_step ();

  snprintf (s->id, sizeof s->id, "step-%u", trainer.current);
  s->results = g_ptr_array_new_with_free_func (g_free);
  s->items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  trainer.started_at_ms = uv_now (trainer.platform->standin->loop);
  submit ();
}

static char *
complete_text (void)
{
  GString *s = g_string_new (NULL);
  char piece[64];

  for (uint32_t i = 1; i <= WY_PLATFORM_EVENTS; i++)
    g_string_append_printf (
        s, "%s%s", i > 1 ? "\n" : "",
        wy_platform_replica_event_data (i, piece, sizeof piece));
  return g_string_free (s, FALSE);
}

static const char *
string_member (const json_t *r, const char *key)
{
  const char *v = json_string_value (json_object_get (r, key));

  return v ? v : "";
}

/* Check one new result of the step S against what was submitted.  */
static void
check_result (struct step *s, json_t *r)
{
  struct wy_platform *p = trainer.platform;
  const char *id = string_member (r, "id");
  const char *state = string_member (r, "state");
  char *expected = complete_text ();
  json_t *v;
  size_t i;

  if (!*id || !g_hash_table_add (s->items, g_strdup (id)))
    wy_platform_violation (p, "%s: item %s listed twice", s->id, id);
  if (!strcmp (state, "abandoned"))
    {
      if (!g_str_has_suffix (id, FAILING_SUFFIX))
        wy_platform_violation (p, "%s: item %s is abandoned", s->id, id);
    }
  else if (strcmp (state, "completed") != 0
           || strcmp (string_member (r, "text"), expected) != 0)
    wy_platform_violation (p, "%s: item %s is incomplete", s->id, id);
  json_array_foreach (json_object_get (r, "versions"), i,
                      v) if (json_integer_value (v) < MAX (trainer.current, 1))
      wy_platform_violation (p, "%s: item %s made with weights version %lld",
                             s->id, id, (long long)json_integer_value (v));
  p->stats.results++;
  g_free (expected);
}

static void
log_result (const struct step *s, size_t position, const json_t *r,
            const char *text)
{
  const char *id = string_member (r, "id");
  const char *state = string_member (r, "state");
  const char *score = string_member (r, "score");
  char *scorer;
  char digest[WY_PLATFORM_DIGEST_SIZE_BYTES];

  wy_platform_digest (text, strlen (text), digest);
  scorer = g_strconcat (SCORER_PREFIX, id, NULL);
  wy_trace_event (trainer.platform->standin->trace, "result.read",
                  "{s:s, s:I, s:s, s:s, s:s, s:s, s:s, s:i}", "job", s->id,
                  "position", (json_int_t)position, "item", id, "digest",
                  digest, "state", state, "score", score, "scorer", scorer,
                  "allowed_failures", WY_PLATFORM_STEP_ATTEMPTS);
  g_free (scorer);
}

/* Check and record the results in DOC, which begin at position AT.  Those read
   before must not have changed.  */
static void
process_results (struct step *s, uint32_t at, json_t *doc)
{
  json_t *r;
  size_t i;

  json_array_foreach (json_object_get (doc, "results"), i, r)
  {
    char *text = json_dumps (r, JSON_COMPACT | JSON_SORT_KEYS);

    log_result (s, at + i, r, text);
    if (at + i < s->results->len)
      {
        if (strcmp (g_ptr_array_index (s->results, at + i), text) != 0)
          wy_platform_violation (trainer.platform, "%s: position %zu changed",
                                 s->id, at + i);
      }
    else
      {
        check_result (s, r);
        g_ptr_array_add (s->results, g_strdup (text));
      }
    free (text);
  }
}

static void
on_results (struct wy_platform_call *c, int err)
{
  struct step *s = current_step ();
  uint64_t age_ms
      = uv_now (trainer.platform->standin->loop) - trainer.started_at_ms;

  if (!err && c->status == STATUS_OK)
    {
      json_t *doc = json_loads (c->body->str, 0, NULL);

      process_results (s, c->number, doc);
      json_decref (doc);
    }
  else if (!err && c->status != STATUS_UNAVAILABLE)
    wy_platform_violation (c->platform, "%s: read returned status %d", s->id,
                           c->status);
  if (s->results->len == ITEMS)
    end_step ();
  else if (age_ms > trainer.platform->step_limit_ms)
    {
      wy_platform_violation (c->platform, "%s: only %u of %d results in time",
                             s->id, s->results->len, ITEMS);
      end_step ();
    }
  else
    schedule (read_results);
}

static void
read_results (void)
{
  struct step *s = current_step ();
  char target[96];
  struct wy_platform_call *c;

  snprintf (target, sizeof target, "/api/lots/%s?after=%u", s->id,
            s->results->len);
  c = wy_platform_call (trainer.platform, "GET", target, NULL, NULL);
  c->number = s->results->len;
  c->on_done = on_results;
}

static void
on_ended (struct wy_platform_call *c, int err)
{
  struct wy_platform *p = c->platform;

  if (err || c->status != STATUS_OK)
    {
      p->stats.retries++;
      schedule (end_step);
      return;
    }
  p->stats.steps++;
  if (p->ending || trainer.current + 1 == STEPS_MAX)
    {
      check_next ();
      return;
    }
  trainer.current++;
  wy_platform_announce_version (p, (int64_t)trainer.current + 1);
  schedule (begin_step);
}

static void
end_step (void)
{
  char target[96];

  snprintf (target, sizeof target, "/api/lots/%s", current_step ()->id);
  wy_platform_call (trainer.platform, "DELETE", target, NULL, NULL)->on_done
      = on_ended;
}

static void
on_checked (struct wy_platform_call *c, int err)
{
  struct step *s = &trainer.steps[trainer.steps_rechecked];
  json_t *doc;
  size_t n;

  if (err || c->status != STATUS_OK)
    {
      schedule (check_next);
      return;
    }
  doc = json_loads (c->body->str, 0, NULL);
  n = json_array_size (json_object_get (doc, "results"));
  process_results (s, trainer.check_position, doc);
  json_decref (doc);
  trainer.check_position += (uint32_t)n;
  if (n == 0 && trainer.check_position < s->results->len)
    wy_platform_violation (c->platform, "%s: results lost from position %u",
                           s->id, trainer.check_position);
  if (n == 0 || trainer.check_position >= s->results->len)
    {
      wy_trace_event (c->platform->standin->trace, "job.checked", "{s:s, s:I}",
                      "job", s->id, "results",
                      (json_int_t)trainer.check_position);
      trainer.steps_rechecked++;
      trainer.check_position = 0;
    }
  check_next ();
}

/* Read the results of all steps again from position 0; those listed before
   must still be there.  */
static void
check_next (void)
{
  char target[96];

  if (trainer.steps_rechecked > trainer.current)
    {
      wy_platform_finish (trainer.platform);
      return;
    }
  snprintf (target, sizeof target, "/api/lots/%s?after=%u",
            trainer.steps[trainer.steps_rechecked].id, trainer.check_position);
  wy_platform_call (trainer.platform, "GET", target, NULL, NULL)->on_done
      = on_checked;
}

/* Start the trainer, which runs steps until the platform ends.  */
void
wy_platform_trainer_start (struct wy_platform *p)
{
  trainer.platform = p;
  uv_timer_init (p->standin->loop, &trainer.timer);
  schedule (begin_step);
}
