/* What is common to the requests of callers: keys, deadlines, refusals, and
   what happens when the caller goes away.  */
#include "entry/callers.h"

#include <stdlib.h>
#include <string.h>

#include "entry/problem.h"
#include "entry/request.h"
#include "entry/status.h"

enum
{
  DEADLINE_MAX_MS = 3600 * WY_MS_PER_S,
  /* Ten thousand tokens; what the sockets hold comes on top.  */
  UNREAD_MAX_BYTES = 1 << 20
};

static void
on_abort (struct wy_http_exchange *ex, void *ctx)
{
  struct wy_caller *c = ctx;
  struct wy_request *r = c->request;

  wy_request_abandon (r, &c->sink);
  g_free (c);
}

/* Tell the caller of EX that its request makes no sense, as DETAIL says.  */
void
wy_caller_bad (struct wy_http_exchange *ex, const char *detail)
{
  struct wy_problem p = { .reason = WY_REASON_BAD_REQUEST, .detail = detail };

  wy_problem_send (ex, &p);
}

static bool
key_allowed (const char *key)
{
  size_t n = strlen (key);

  if (n == 0 || n > WY_ENTRY_KEY_LIMIT_BYTES)
    return false;
  return strspn (key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                      "0123456789-_.~:")
         == n;
}

/* The key in HEADER; the standard's form has it in quotes.  */
static char *
bare_key (const char *header)
{
  size_t n = strlen (header);

  if (n >= 2 && header[0] == '"' && header[n - 1] == '"')
    return g_strndup (header + 1, n - 2);
  return g_strdup (header);
}

static bool
number (const char *text, int64_t max, int64_t *out)
{
  char *end;

  *out = strtoll (text, &end, 10);
  return end != text && *end == 0 && *out > 0 && *out <= max;
}

/* The issue time of a request with KEY: what the caller says, else what the
   key itself tells; 0 when neither does.  */
static bool
issue_time (struct wy_http_exchange *ex, const char *key, int64_t *out)
{
  const char *said = wy_http_header (ex, "waxwing-issued-at");

  *out = 0;
  if (said)
    return number (said, INT64_MAX, out);
  if (!wy_id_issue_time_ms (key, out))
    *out = 0;
  return true;
}

/* Whether E may serve the caller of EX; else the caller is answered: an entry
   that has just started knows neither names nor targets for certain.  */
bool
wy_caller_admitted (struct wy_entry *e, struct wy_http_exchange *ex)
{
  struct wy_problem p = { .reason = WY_REASON_NO_CONFIG, .ran = WY_RAN_NO };

  if (e->stopping || wy_entry_ready (e))
    {
      wy_entry_tell_ready (e);
      return true;
    }
  wy_problem_send (ex, &p);
  return false;
}

/* Take from the headers of EX what says how R is to be treated.  Answers EX
   and returns false when they make no sense; R is then still the
   caller's.  */
bool
wy_caller_head (struct wy_request *r, struct wy_http_exchange *ex)
{
  const char *header = wy_http_header (ex, "idempotency-key");
  const char *mark = wy_http_header (ex, "waxwing-idempotent");
  const char *deadline = wy_http_header (ex, "waxwing-deadline-ms");
  int64_t ms;
  char *key;
  bool ok;

  r->non_idempotent = mark && !g_ascii_strcasecmp (mark, "no");
  if (deadline)
    {
      if (!number (deadline, DEADLINE_MAX_MS, &ms))
        {
          wy_caller_bad (ex, "Waxwing-Deadline-Ms is not a number of ms.");
          return false;
        }
      r->deadline_mono_ms = wy_clock_mono_ms (r->entry->clock) + ms;
    }
  if (!header)
    return true;
  key = bare_key (header);
  ok = key_allowed (key) && issue_time (ex, key, &ms);
  if (ok)
    wy_request_identify (r, key, ms);
  else
    wy_caller_bad (ex, "Idempotency-Key has up to 128 letters, digits and "
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

/* The same non-idempotent request is in progress already: wait for its answer
   too, instead of running it again.  */
static void
join (struct wy_request *first, struct wy_request *r,
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

/* Put R in progress for the caller of EX, who gets the answer by SINK.  */
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
      join (first, r, ex, sink);
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

/* Pass N bytes at P of a streamed answer on.  A caller that reads too slowly
   is given up: its bytes would pile up here and take the memory of all.  */
void
wy_caller_data (struct wy_sink *s, struct wy_request *r, const char *p,
                size_t n)
{
  struct wy_http_exchange *ex = ((struct wy_caller *)s)->ex;

  wy_http_stream_write (ex, p, n);
  if (wy_http_stream_pending_bytes (ex) > UNREAD_MAX_BYTES)
    r->cancelled = true;
}

/* The answer behind S comes now: free S and return the exchange, which is
   still to be answered or ended.  */
struct wy_http_exchange *
wy_caller_end (struct wy_sink *s)
{
  struct wy_caller *c = (struct wy_caller *)s;
  struct wy_http_exchange *ex = c->ex;

  wy_http_on_abort (ex, NULL, NULL);
  g_free (c);
  return ex;
}

/* R won't be answered: tell the caller behind S.  */
void
wy_caller_refused (struct wy_sink *s, struct wy_request *r, enum wy_ran ran,
                   enum wy_entry_reason reason, uint32_t retry_after_ms)
{
  struct wy_problem p = { .reason = reason,
                          .ran = ran,
                          .request = r->id,
                          .retry_after_ms = retry_after_ms };
  bool begun = s->streams;
  struct wy_http_exchange *ex = wy_caller_end (s);
  GString *event;
  char *text;

  if (!begun)
    {
      wy_http_add_header (ex, "waxwing-request-id", r->id);
      wy_problem_send (ex, &p);
      return;
    }
  if (wy_http_stream_pending_bytes (ex) > UNREAD_MAX_BYTES)
    {
      /* The event would wait behind what is not read either.  */
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
