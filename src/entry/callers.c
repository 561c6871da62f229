/* Handling common to all requests of callers: headers, error responses and
   callers that disconnect.  */
#include "entry/callers.h"

#include <stdlib.h>
#include <string.h>

#include "entry/problem.h"
#include "entry/request.h"
#include "entry/status.h"

enum
{
  DEADLINE_MAX_MS = 3600 * WY_MS_PER_S,
  /* About 10000 tokens of a stream.  Bytes in socket buffers are not
     counted.  */
  PENDING_MAX_BYTES = 1 << 20
};

static void
on_abort (struct wy_http_exchange *ex, void *ctx)
{
  struct wy_caller *c = ctx;
  struct wy_request *r = c->request;

  wy_request_abandon (r, &c->sink);
  g_free (c);
}

/* Respond to EX with 400 and DETAIL.  */
void
wy_caller_respond_bad_request (struct wy_http_exchange *ex, const char *detail)
{
  struct wy_problem p = { .reason = WY_REASON_BAD_REQUEST, .detail = detail };

  wy_problem_send (ex, &p);
}

static bool
key_is_valid (const char *key)
{
  size_t n = strlen (key);

  if (n == 0 || n > WY_ENTRY_KEY_LIMIT_BYTES)
    return false;
  return strspn (key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                      "0123456789-_.~:")
         == n;
}

/* The key in HEADER, without the quotes of the standard form.  */
static char *
unquote_key (const char *header)
{
  size_t n = strlen (header);

  if (n >= 2 && header[0] == '"' && header[n - 1] == '"')
    return g_strndup (header + 1, n - 2);
  return g_strdup (header);
}

static bool
parse_positive (const char *text, int64_t max, int64_t *out)
{
  char *end;

  *out = strtoll (text, &end, 10);
  return end != text && *end == 0 && *out > 0 && *out <= max;
}

/* Store in OUT the issue time (wall clock, ms) of a request with KEY: the
   caller's header, else the time encoded in the key, else 0.  Returns false
   when the header is malformed.  */
static bool
issue_time (struct wy_http_exchange *ex, const char *key, int64_t *out)
{
  const char *issued_at = wy_http_header (ex, "waxwing-issued-at");

  *out = 0;
  if (issued_at)
    return parse_positive (issued_at, INT64_MAX, out);
  if (!wy_id_issue_time_ms (key, out))
    *out = 0;
  return true;
}

/* Whether E may serve the request of EX.  An entry that has just started
   doesn't know all models, services and targets yet; it responds with 503 and
   returns false.  */
bool
wy_caller_check_ready (struct wy_entry *e, struct wy_http_exchange *ex)
{
  struct wy_problem p = { .reason = WY_REASON_NO_CONFIG, .ran = WY_RAN_NO };

  if (e->stopping || wy_entry_ready (e))
    {
      wy_entry_announce_ready (e);
      return true;
    }
  wy_problem_send (ex, &p);
  return false;
}

/* Set key, deadline and idempotency of R from the headers of EX.  When one is
   malformed, responds to EX and returns false; R still belongs to the caller
   of this function.  */
bool
wy_caller_read_headers (struct wy_request *r, struct wy_http_exchange *ex)
{
  const char *header = wy_http_header (ex, "idempotency-key");
  const char *idempotent = wy_http_header (ex, "waxwing-idempotent");
  const char *deadline = wy_http_header (ex, "waxwing-deadline-ms");
  int64_t ms;
  char *key;
  bool ok;

  r->non_idempotent = idempotent && !g_ascii_strcasecmp (idempotent, "no");
  if (deadline)
    {
      if (!parse_positive (deadline, DEADLINE_MAX_MS, &ms))
        {
          wy_caller_respond_bad_request (
              ex, "Waxwing-Deadline-Ms is not a number of ms.");
          return false;
        }
      r->deadline_mono_ms = wy_clock_mono_ms (r->entry->clock) + ms;
    }
  if (!header)
    return true;
  key = unquote_key (header);
  ok = key_is_valid (key) && issue_time (ex, key, &ms);
  if (ok)
    wy_request_set_key (r, key, ms);
  else
    wy_caller_respond_bad_request (
        ex, "Idempotency-Key has up to 128 letters, digits and "
            "-_.~: and Waxwing-Issued-At is a number of ms.");
  g_free (key);
  return ok;
}

static struct wy_caller *
caller_new (struct wy_http_exchange *ex, const struct wy_sink *sink)
{
  struct wy_caller *c = g_malloc0 (sizeof *c);

  c->sink = *sink;
  c->ex = ex;
  return c;
}

/* R is a duplicate of FIRST, a non-idempotent request in progress: wait for
   its response instead of running it again.  */
static void
join_request (struct wy_request *first, struct wy_request *r,
              struct wy_http_exchange *ex, const struct wy_sink *sink)
{
  struct wy_problem p = { .reason = WY_REASON_KEY_REUSED, .request = r->id };
  struct wy_caller *c;

  if (first->body_hash != r->body_hash)
    {
      wy_problem_send (ex, &p);
      wy_request_free (r);
      return;
    }
  c = caller_new (ex, sink);
  c->request = first;
  g_ptr_array_add (first->sinks, &c->sink);
  wy_http_on_abort (ex, on_abort, c);
  wy_request_free (r);
}

/* Start R for EX; SINK receives the response.  Takes R over.  */
void
wy_caller_open (struct wy_request *r, struct wy_http_exchange *ex,
                const struct wy_sink *sink)
{
  struct wy_entry *e = r->entry;
  struct wy_request *first = g_hash_table_lookup (e->requests, r->id);
  struct wy_problem full = { .reason = WY_REASON_TOO_MANY_REQUESTS };
  struct wy_caller *c;

  r->body_hash = wy_hash64 (r->body->str, r->body->len, 0);
  if (first)
    {
      join_request (first, r, ex, sink);
      return;
    }
  if (e->open.length >= e->s->request_limit)
    {
      if (r->non_idempotent && r->key[0])
        full.ran = WY_RAN_UNKNOWN;
      wy_problem_send (ex, &full);
      wy_request_free (r);
      return;
    }
  c = caller_new (ex, sink);
  c->request = r;
  wy_http_on_abort (ex, on_abort, c);
  wy_request_open (r, &c->sink);
}

/* Forward N bytes at P of a streamed response.  A request is cancelled when
   its caller reads too slowly, since the pending bytes would use up the memory
   of the process.  */
void
wy_caller_stream_data (struct wy_sink *s, struct wy_request *r, const char *p,
                       size_t n)
{
  struct wy_http_exchange *ex = ((struct wy_caller *)s)->ex;

  wy_http_stream_write (ex, p, n);
  if (wy_http_stream_pending_bytes (ex) > PENDING_MAX_BYTES)
    r->cancelled = true;
}

/* Free S and return its exchange, to which the caller of this function
   responds.  */
struct wy_http_exchange *
wy_caller_detach (struct wy_sink *s)
{
  struct wy_caller *c = (struct wy_caller *)s;
  struct wy_http_exchange *ex = c->ex;

  wy_http_on_abort (ex, NULL, NULL);
  g_free (c);
  return ex;
}

/* Report to the caller behind S that R failed: by an error response, or, once
   a stream has begun, by an error event and a broken connection.  */
void
wy_caller_reject (struct wy_sink *s, struct wy_request *r, enum wy_ran ran,
                  enum wy_entry_reason reason, uint32_t retry_after_ms)
{
  struct wy_problem p = { .reason = reason,
                          .ran = ran,
                          .request = r->id,
                          .retry_after_ms = retry_after_ms };
  bool streaming = s->streams;
  struct wy_http_exchange *ex = wy_caller_detach (s);
  GString *event;
  char *text;

  if (!streaming)
    {
      wy_http_add_header (ex, "waxwing-request-id", r->id);
      wy_problem_send (ex, &p);
      return;
    }
  if (wy_http_stream_pending_bytes (ex) > PENDING_MAX_BYTES)
    {
      /* The event would only queue up behind the unread bytes.  */
      wy_http_close_connection (ex);
      return;
    }
  text = wy_problem_text (&p);
  event = g_string_new ("event: error\ndata: ");
  g_string_append (event, text);
  g_string_append (event, "\n\n");
  wy_http_stream_write (ex, event->str, event->len);
  wy_http_stream_abort (ex);
  g_string_free (event, TRUE);
  free (text);
}
