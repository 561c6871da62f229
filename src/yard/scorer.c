/* Calls to one scoring service.

   When the service fails, the calls are retried, so that no generated samples
   are lost.  A retry budget and a limit on concurrent calls keep the retries
   from overloading the service when it is back.  */
#include "yard/scorer.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

enum
{
  IN_FLIGHT_MAX = 32,
  CALL_TIMEOUT_MS = 5000,
  /* About a minute in total.  Then the sample is replaced by another one, so
     that one text that the service can't score doesn't block the step.  */
  ATTEMPTS_MAX = 16,
  BACKOFF_MIN_MS = 100,
  BACKOFF_MAX_MS = 5000,
  STATUS_OK = 200,
  RETRY_PERCENT = 100,
  RETRY_BURST = 64,
  PORT_BASE = 10
};

struct wy_scorer
{
  struct wy_yard_env *env;
  char *host;
  uint16_t port;
  struct wy_retry_budget retry_budget;
  GQueue waiting; /* struct wy_score_job */
  GQueue in_flight;
};

struct wy_score_job
{
  struct wy_scorer *scorer;
  GList link;
  char *body;
  uint32_t attempts;
  int64_t due_ms;
  struct wy_http_call *call;
  void (*on_done) (void *ctx, int err, double score);
  void *ctx;
};

/* Create a client of the scoring service at ADDRESS, "host:port".  If ADDRESS
   is empty, the yard has no scoring service and all scores are 0.  */
struct wy_scorer *
wy_scorer_new (struct wy_yard_env *env, const char *address)
{
  struct wy_scorer *s = g_malloc0 (sizeof *s);
  const struct wy_retry_options retry = { RETRY_PERCENT, RETRY_BURST };

  s->env = env;
  wy_retry_init (&s->retry_budget, &retry);
  wy_scorer_configure (s, address);
  return s;
}

/* Use the scoring service at ADDRESS from now on.  */
void
wy_scorer_configure (struct wy_scorer *s, const char *address)
{
  const char *colon = strrchr (address, ':');

  g_free (s->host);
  s->host = colon ? g_strndup (address, (gsize)(colon - address)) : NULL;
  s->port = colon ? (uint16_t)strtoul (colon + 1, NULL, PORT_BASE) : 0;
}

static void
job_free (struct wy_score_job *j)
{
  g_free (j->body);
  g_free (j);
}

/* Free S, whose jobs must have ended or been cancelled.  */
void
wy_scorer_free (struct wy_scorer *s)
{
  if (!s)
    return;
  g_free (s->host);
  g_free (s);
}

static void
finish (struct wy_score_job *j, int err, double score)
{
  j->on_done (j->ctx, err, score);
  job_free (j);
}

static int64_t
backoff_ms (struct wy_score_job *j)
{
  uint32_t wait = BACKOFF_MIN_MS;

  for (uint32_t i = 1; i < j->attempts && wait < BACKOFF_MAX_MS; i++)
    wait *= 2;
  return wait / 2 + wy_rng_below (&j->scorer->env->rng, wait);
}

static void
on_response (void *ctx, const struct wy_http_response *r)
{
  struct wy_score_job *j = ctx;
  struct wy_scorer *s = j->scorer;
  json_t *body = NULL;
  const json_t *score = NULL;

  j->call = NULL;
  g_queue_unlink (&s->in_flight, &j->link);
  if (!r->err && r->status == STATUS_OK)
    {
      body = json_loadb (r->body, r->size_bytes, 0, NULL);
      score = json_object_get (body, "score");
    }
  if (json_is_number (score))
    {
      double value = json_number_value (score);

      json_decref (body);
      finish (j, 0, value);
      return;
    }
  json_decref (body);
  if (s->env->n.scoring_failures)
    ++*s->env->n.scoring_failures;
  if (j->attempts >= ATTEMPTS_MAX)
    {
      finish (j, WY_YARD_ESCORE, 0);
      return;
    }
  j->due_ms = wy_clock_mono_ms (s->env->o.clock) + backoff_ms (j);
  g_queue_push_tail_link (&s->waiting, &j->link);
}

static void
call_service (struct wy_score_job *j)
{
  struct wy_scorer *s = j->scorer;
  const struct wy_http_header_field type
      = { "content-type", "application/json" };
  const struct wy_http_call_options o = { .method = "POST",
                                          .host = s->host,
                                          .port = s->port,
                                          .path = "/score",
                                          .headers = &type,
                                          .n_headers = 1,
                                          .body = j->body,
                                          .body_size_bytes = strlen (j->body),
                                          .timeout_ms = CALL_TIMEOUT_MS };

  j->attempts++;
  g_queue_push_tail_link (&s->in_flight, &j->link);
  j->call = wy_http_fetch (s->env->o.http, &o, on_response, j);
}

/* Score the sample in R, whose texts are copied.  */
struct wy_score_job *
wy_scorer_start (struct wy_scorer *s, const struct wy_score_request *r)
{
  struct wy_score_job *j = g_malloc0 (sizeof *j);
  json_t *body = json_pack ("{s:s, s:s, s:s}", "sample", r->sample, "prompt",
                            r->prompt, "completion", r->completion);

  j->scorer = s;
  j->link.data = j;
  j->body = json_dumps (body, JSON_COMPACT);
  j->on_done = r->on_done;
  j->ctx = r->ctx;
  json_decref (body);
  wy_retry_request (&s->retry_budget);
  g_queue_push_tail_link (&s->waiting, &j->link);
  return j;
}

/* Cancel J without calling its callback.  */
void
wy_score_job_cancel (struct wy_score_job *j)
{
  if (j->call)
    {
      wy_http_call_cancel (j->call);
      g_queue_unlink (&j->scorer->in_flight, &j->link);
    }
  else
    g_queue_unlink (&j->scorer->waiting, &j->link);
  job_free (j);
}

/* Send the calls that are due; called at each tick of the yards.  */
void
wy_scorer_run (struct wy_scorer *s)
{
  int64_t now = wy_clock_mono_ms (s->env->o.clock);
  guint n = s->waiting.length;

  while (n-- > 0 && s->in_flight.length < IN_FLIGHT_MAX)
    {
      struct wy_score_job *j = g_queue_pop_head_link (&s->waiting)->data;

      if (!s->host)
        finish (j, 0, 0);
      else if (j->due_ms > now
               || (j->attempts > 0 && wy_retry_take (&s->retry_budget)))
        g_queue_push_tail_link (&s->waiting, &j->link);
      else
        call_service (j);
    }
}
