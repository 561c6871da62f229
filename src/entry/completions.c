/* Callers' completion requests, streamed and not.  */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "entry/callers.h"
#include "entry/completion_text.h"
#include "entry/pool.h"
#include "entry/problem.h"
#include "entry/request.h"

enum
{
  MAX_TOKENS_DEFAULT = 16, /* as in the completions API followed here */
  MAX_TOKENS_LIMIT = 1000000,
  TOKEN_BYTES = 4,
  STATUS_OK = 200
};

static void
on_stream_head (struct wy_sink *s, struct wy_request *r)
{
  struct wy_caller *c = (struct wy_caller *)s;

  /* An error is not streamed; it becomes an error response.  */
  if (r->status != STATUS_OK)
    return;
  s->streams = true;
  wy_http_add_header (c->ex, "waxwing-request-id", r->id);
  wy_http_add_header (c->ex, "cache-control", "no-store");
  wy_http_stream_begin (c->ex, STATUS_OK, "text/event-stream");
}

static json_t *
segments (const struct wy_request *r)
{
  json_t *a = json_array ();

  for (size_t i = 0; i < r->n_segments; i++)
    json_array_append_new (a, json_pack ("{s:I, s:i, s:i}", "version",
                                         (json_int_t)r->segments[i].version,
                                         "from", (int)r->segments[i].from,
                                         "to", (int)r->segments[i].to));
  return a;
}

static char *
response_json (const struct wy_request *r, const char *text)
{
  json_t *j = json_pack (
      "{s:s, s:s, s:I, s:s, s:[{s:i, s:s, s:s}], s:{s:i, s:i, s:i},"
      " s:{s:s, s:o}}",
      "id", r->id, "object", "text_completion", "created",
      (json_int_t)(wy_clock_wall_ms (r->entry->clock) / WY_MS_PER_S), "model",
      r->name, "choices", "index", 0, "text", text, "finish_reason",
      r->finish_reason ? r->finish_reason : "", "usage", "prompt_tokens",
      (int)r->prompt_tokens, "completion_tokens", (int)r->tokens,
      "total_tokens", (int)(r->prompt_tokens + r->tokens), "waxwing", "run",
      r->run ? r->run : "", "segments", segments (r));
  char *out = j ? json_dumps (j, JSON_COMPACT) : NULL;

  json_decref (j);
  return out;
}

static void
on_done (struct wy_sink *s, struct wy_request *r)
{
  struct wy_problem failed
      = { .reason = WY_REASON_FAILED, .ran = WY_RAN_YES, .request = r->id };
  bool streamed = s->streams;
  struct wy_http_exchange *ex = wy_caller_detach (s);
  GString *text;
  char *body = NULL;

  if (streamed)
    {
      wy_http_stream_end (ex);
      return;
    }
  text = g_string_new (NULL);
  wy_http_add_header (ex, "waxwing-request-id", r->id);
  if (r->status == STATUS_OK && !wy_completion_text (r->response, text))
    body = response_json (r, text->str);
  if (body)
    r->sent_digest = wy_hash64 (body, strlen (body), 0);
  if (body)
    wy_http_respond (ex, STATUS_OK, "application/json", body, strlen (body));
  else
    wy_problem_send (ex, &failed);
  free (body);
  g_string_free (text, TRUE);
}

static const struct wy_sink unstreamed_sink
    = { .done = on_done, .rejected = wy_caller_reject };
static const struct wy_sink stream_sink = { .head = on_stream_head,
                                            .data = wy_caller_stream_data,
                                            .done = on_done,
                                            .rejected = wy_caller_reject };

static struct wy_request *
make_request (struct wy_entry *e, struct wy_http_exchange *ex,
              const struct wy_completion_params *c)
{
  struct wy_pool *l = wy_pool_get (e, c->model);
  struct wy_problem unknown = { .reason = WY_REASON_UNKNOWN_NAME };
  struct wy_request *r;

  if (!wy_caller_check_ready (e, ex))
    return NULL;
  if (!l || !l->is_model)
    {
      wy_problem_send (ex, &unknown);
      return NULL;
    }
  r = wy_request_new (e, c->model, l);
  if (!wy_caller_read_headers (r, ex))
    {
      wy_request_free (r);
      return NULL;
    }
  r->max_tokens = c->max_tokens;
  r->predicted_tokens = c->max_tokens;
  r->prompt_tokens
      = (uint32_t)((strlen (c->prompt) + TOKEN_BYTES - 1) / TOKEN_BYTES);
  r->prefix = wy_completion_prefix (c->prompt);
  r->method = g_strdup ("POST");
  r->path = g_strdup ("/v1/completions");
  wy_completion_body (c, r->id, r->body);
  return r;
}

static bool
read_params (const json_t *j, struct wy_completion_params *c)
{
  const json_t *max = json_object_get (j, "max_tokens");

  c->model = json_string_value (json_object_get (j, "model"));
  c->prompt = json_string_value (json_object_get (j, "prompt"));
  c->max_tokens = MAX_TOKENS_DEFAULT;
  if (max
      && (!json_is_integer (max) || json_integer_value (max) < 1
          || json_integer_value (max) > MAX_TOKENS_LIMIT))
    return false;
  if (max)
    c->max_tokens = (uint32_t)json_integer_value (max);
  return c->model && c->prompt;
}

/* Run the completion that EX requests.  */
void
wy_completions_http (struct wy_entry *e, struct wy_http_exchange *ex)
{
  struct wy_completion_params c = { 0 };
  struct wy_request *r;
  size_t n;
  const char *body = wy_http_body (ex, &n);
  json_t *j = json_loadb (body, n, 0, NULL);

  if (!read_params (j, &c))
    {
      wy_caller_respond_bad_request (
          ex, "The body is JSON with \"model\", \"prompt\", and "
              "if wanted \"max_tokens\" from 1 to 1000000 and "
              "\"stream\".");
      json_decref (j);
      return;
    }
  r = make_request (e, ex, &c);
  if (r)
    {
      /* From the prompt only: the same prompt under a new key must have the
         same fingerprint.  */
      r->fingerprint = wy_fingerprint (NULL, c.prompt, strlen (c.prompt));
      wy_caller_open (r, ex,
                      json_is_true (json_object_get (j, "stream"))
                          ? &stream_sink
                          : &unstreamed_sink);
    }
  json_decref (j);
}
