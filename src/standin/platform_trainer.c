/* Trainer of the platform stand-in: submits a step, reads its results, ends
   it, names the next version, and in the end reads all steps once more.  */
#include "standin/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The scorer of an item has this and the item's id for its own.  */
#define SCORER_PREFIX "score-"
/* Of the item whose text can't be scored.  */
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
  STATUS_REFUSED = 503
};

/* Results of a step as read, by position.  */
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
  uint32_t n;       /* the step at hand */
  uint32_t checked; /* in the end */
  uint32_t check_at;
  bool checking;
  uint64_t began_ms;
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
later (void (*next) (void))
{
  trainer.next = next;
  uv_timer_start (&trainer.timer, on_timer, PAUSE_MS, 0);
}

static struct step *
step_at_hand (void)
{
  return &trainer.steps[trainer.n];
}

static char *
job_text (void)
{
  GString *s = g_string_new (NULL);

  g_string_append_printf (s,
                          "{\"step\":%u,\"model\":\"%s\","
                          "\"minimumVersion\":%u,\"desiredCount\":%d,"
                          "\"items\":[",
                          trainer.n, WY_PLATFORM_MODEL, MAX (trainer.n, 1),
                          GROUPS);
  for (int i = 0; i < ITEMS; i++)
    g_string_append_printf (
        s,
        "%s{\"id\":\"s%u-%d\",\"path\":\"%s%d\",\"headers\":{\"Model\":"
        "\"%s\"},\"body\":\"aGVsbG8=\",\"tokens\":9,\"group\":\"s%u-g%d\","
        "\"scorer\":{\"id\":\"" SCORER_PREFIX "s%u-%d\",\"host\":\"%s\","
        "\"path\":\"%sscore\",\"body\":\"%s\"}}",
        i ? "," : "", trainer.n, i, WY_PLATFORM_JOBS, i, WY_PLATFORM_MODEL,
        trainer.n, i / GROUP_SIZE, trainer.n, i, WY_PLATFORM_HOST,
        WY_PLATFORM_CALLS, i == FAILING_ITEM ? "ZmFpbA==" : "c2NvcmU=");
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

static void
on_submitted (struct wy_platform_call *c, int err)
{
  if (!err && c->status == STATUS_ACCEPTED)
    {
      wy_trace_event (c->platform->standin->trace, "job.accepted",
                      "{s:s, s:i}", "job", step_at_hand ()->id, "items",
                      (int)ITEMS);
      read_results ();
    }
  else
    {
      c->platform->books.retries++;
      later (submit);
    }
}

static void
submit (void)
{
  char *body = job_text ();
  struct wy_platform_call *c;

  c = wy_platform_call (trainer.platform, "POST", WY_PLATFORM_JOBS "step",
                        step_at_hand ()->id, body);
  c->on_done = on_submitted;
  g_free (body);
}

static void
begin_step (void)
{
  struct step *s = step_at_hand ();

  snprintf (s->id, sizeof s->id, "step-%u", trainer.n);
  s->results = g_ptr_array_new_with_free_func (g_free);
  s->items = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  trainer.began_ms = uv_now (trainer.platform->standin->loop);
  submit ();
}

static char *
whole_text (void)
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
text_of (const json_t *r, const char *key)
{
  const char *v = json_string_value (json_object_get (r, key));

  return v ? v : "";
}

/* Check one new result of the step at hand against what was sent.  */
static void
check_result (struct step *s, json_t *r)
{
  struct wy_platform *p = trainer.platform;
  const char *id = text_of (r, "id");
  const char *state = text_of (r, "state");
  char *want = whole_text ();
  json_t *v;
  size_t i;

  if (!*id || !g_hash_table_add (s->items, g_strdup (id)))
    wy_platform_violation (p, "%s: item %s listed twice", s->id, id);
  if (!strcmp (state, "abandoned"))
    {
      if (!g_str_has_suffix (id, FAILING_SUFFIX))
        wy_platform_violation (p, "%s: item %s is given up", s->id, id);
    }
  else if (strcmp (state, "completed") != 0
           || strcmp (text_of (r, "text"), want) != 0)
    wy_platform_violation (p, "%s: item %s is not whole", s->id, id);
  json_array_foreach (json_object_get (r, "versions"), i,
                      v) if (json_integer_value (v) < MAX (trainer.n, 1))
      wy_platform_violation (p, "%s: item %s made under version %lld", s->id,
                             id, (long long)json_integer_value (v));
  p->books.results++;
  g_free (want);
}

static void
note_result (const struct step *s, size_t position, const json_t *r,
             const char *text)
{
  const char *id = text_of (r, "id");
  const char *state = text_of (r, "state");
  const char *score = text_of (r, "score");
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

/* Take in the results from position AT on.  */
static void
take_results (struct step *s, uint32_t at, json_t *doc)
{
  json_t *r;
  size_t i;

  json_array_foreach (json_object_get (doc, "results"), i, r)
  {
    char *text = json_dumps (r, JSON_COMPACT | JSON_SORT_KEYS);

    note_result (s, at + i, r, text);
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
  struct step *s = step_at_hand ();
  uint64_t age_ms
      = uv_now (trainer.platform->standin->loop) - trainer.began_ms;

  if (!err && c->status == STATUS_OK)
    {
      json_t *doc = json_loads (c->body->str, 0, NULL);

      take_results (s, c->number, doc);
      json_decref (doc);
    }
  else if (!err && c->status != STATUS_REFUSED)
    wy_platform_violation (c->platform, "%s: read answered %d", s->id,
                           c->status);
  if (s->results->len == ITEMS)
    end_step ();
  else if (age_ms > trainer.platform->step_limit_ms)
    {
      wy_platform_violation (c->platform, "%s: %u of %d results in time",
                             s->id, s->results->len, ITEMS);
      end_step ();
    }
  else
    later (read_results);
}

static void
read_results (void)
{
  struct step *s = step_at_hand ();
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
      p->books.retries++;
      later (end_step);
      return;
    }
  p->books.steps++;
  if (p->ending || trainer.n + 1 == STEPS_MAX)
    {
      check_next ();
      return;
    }
  trainer.n++;
  wy_platform_name_version (p, (int64_t)trainer.n + 1);
  later (begin_step);
}

static void
end_step (void)
{
  char target[96];

  snprintf (target, sizeof target, "/api/lots/%s", step_at_hand ()->id);
  wy_platform_call (trainer.platform, "DELETE", target, NULL, NULL)->on_done
      = on_ended;
}

static void
on_checked (struct wy_platform_call *c, int err)
{
  struct step *s = &trainer.steps[trainer.checked];
  json_t *doc;
  size_t n;

  if (err || c->status != STATUS_OK)
    {
      later (check_next);
      return;
    }
  doc = json_loads (c->body->str, 0, NULL);
  n = json_array_size (json_object_get (doc, "results"));
  take_results (s, trainer.check_at, doc);
  json_decref (doc);
  trainer.check_at += (uint32_t)n;
  if (n == 0 && trainer.check_at < s->results->len)
    wy_platform_violation (c->platform, "%s: lost results from %u on", s->id,
                           trainer.check_at);
  if (n == 0 || trainer.check_at >= s->results->len)
    {
      wy_trace_event (c->platform->standin->trace, "job.checked", "{s:s, s:I}",
                      "job", s->id, "results", (json_int_t)trainer.check_at);
      trainer.checked++;
      trainer.check_at = 0;
    }
  check_next ();
}

/* Read the steps from their starts again; what was listed must be there.  */
static void
check_next (void)
{
  char target[96];

  if (trainer.checked > trainer.n)
    {
      wy_platform_finish (trainer.platform);
      return;
    }
  snprintf (target, sizeof target, "/api/lots/%s?after=%u",
            trainer.steps[trainer.checked].id, trainer.check_at);
  wy_platform_call (trainer.platform, "GET", target, NULL, NULL)->on_done
      = on_checked;
}

/* Train until the platform ends.  */
void
wy_platform_trainer_start (struct wy_platform *p)
{
  trainer.platform = p;
  uv_timer_init (p->standin->loop, &trainer.timer);
  later (begin_step);
}
