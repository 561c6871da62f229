/* Requests to a stand-in and the faults that affect their responses.  */
#include "standin/standin.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  CRASH_EXIT_CODE = 86
};

/* A response delayed by the fault "slow".  */
struct delayed_response
{
  uv_timer_t timer; /* must stay first */
  struct wy_standin_call *call;
  int status;
  char *content_type;
  GString *body;
};

static void
release (struct wy_standin_call *c)
{
  g_hash_table_remove (c->standin->calls, c);
  g_free (c);
}

static void
on_abort (struct wy_http_exchange *ex, void *ctx)
{
  struct wy_standin_call *c = ctx;

  c->disconnected = true;
  if (c->ended && c->silent)
    {
      release (c);
      return;
    }
  if (c->on_disconnect && !c->ended)
    c->on_disconnect (c, c->disconnect_ctx);
}

/* Set the fault described in the body of EX.  */
static void
set_fault (struct wy_standin *s, struct wy_http_exchange *ex)
{
  size_t n;
  const char *p = wy_http_body (ex, &n);
  json_t *doc = json_loadb (p, n, 0, NULL);
  int kind = wy_standin_faults_set (&s->faults, doc, wy_standin_now_ms (s));
  GHashTableIter it;
  gpointer open;

  json_decref (doc);
  if (kind == WY_FAULT_SILENT)
    {
      g_hash_table_iter_init (&it, s->calls);
      while (g_hash_table_iter_next (&it, &open, NULL))
        ((struct wy_standin_call *)open)->silent = true;
      s->faults.fault[WY_FAULT_SILENT].on = false;
    }
  if (kind < 0)
    wy_http_respond (ex, 400, "text/plain", "unknown fault\n", 14);
  else
    wy_http_respond (ex, 200, "application/json", "{}", 2);
}

static bool
body_contains (const struct wy_http_exchange *ex, const char *text)
{
  size_t n;
  const char *p = wy_http_body (ex, &n);

  return text && *text && memmem (p, n, text, strlen (text));
}

/* Handle one request of the server of the stand-in CTX.  */
void
wy_standin_on_request (struct wy_http_exchange *ex, void *ctx)
{
  struct wy_standin *s = ctx;
  struct wy_standin_fault *f;
  struct wy_standin_call *c;

  if (!strcmp (wy_http_path (ex), "/fault"))
    {
      set_fault (s, ex);
      return;
    }
  f = wy_standin_active_fault (s, WY_FAULT_CRASH_ON);
  if (f && body_contains (ex, f->text))
    _exit (CRASH_EXIT_CODE);
  f = wy_standin_active_fault (s, WY_FAULT_DOWN);
  if (f && f->text && !strcmp (f->text, "refuse"))
    {
      wy_http_close_connection (ex);
      return;
    }
  if (f)
    {
      wy_http_respond (ex, 503, "application/json", "{\"error\":\"down\"}",
                       16);
      return;
    }
  c = g_malloc0 (sizeof *c);
  c->standin = s;
  c->ex = ex;
  g_hash_table_add (s->calls, c);
  wy_http_on_abort (ex, on_abort, c);
  if (s->kind->on_request)
    s->kind->on_request (s, c);
  else
    wy_standin_respond_json (c, 404, NULL);
}

/* Return whether the request C has METHOD and exactly PATH.  */
bool
wy_standin_matches (const struct wy_standin_call *c, const char *method,
                    const char *path)
{
  return !strcmp (wy_http_method (c->ex), method)
         && !strcmp (wy_http_path (c->ex), path);
}

/* Return the path of C after PREFIX, or NULL if it does not begin with it.  */
const char *
wy_standin_path_after (const struct wy_standin_call *c, const char *prefix)
{
  const char *path = wy_http_path (c->ex);

  return g_str_has_prefix (path, prefix) ? path + strlen (prefix) : NULL;
}

/* Return the number KEY of the query of C, or FALLBACK if it is missing.  */
int64_t
wy_standin_query_number (const struct wy_standin_call *c, const char *key,
                         int64_t fallback)
{
  char **parts = g_strsplit (wy_http_query (c->ex), "&", -1);
  size_t n = strlen (key);
  int64_t v = fallback;

  for (char **p = parts; *p; p++)
    if (!strncmp (*p, key, n) && (*p)[n] == '=')
      v = strtoll (*p + n + 1, NULL, 10);
  g_strfreev (parts);
  return v;
}

/* Return the JSON object in the body of C, or an empty object if the body is
   anything else.  The caller owns it.  */
json_t *
wy_standin_body_json (const struct wy_standin_call *c)
{
  size_t n;
  const char *p = wy_http_body (c->ex, &n);
  json_t *j = json_loadb (p, n, 0, NULL);

  if (json_is_object (j))
    return j;
  json_decref (j);
  return json_object ();
}

static void
send_response (struct wy_standin_call *c, int status, const char *content_type,
               const void *p, size_t n)
{
  struct wy_standin *s = c->standin;
  struct wy_standin_fault *lose
      = wy_standin_active_fault (s, WY_FAULT_LOSE_RESPONSE);

  c->ended = true;
  if (!c->disconnected && c->silent)
    return;
  if (!c->disconnected && lose && wy_rng_unit (&s->rng) < lose->value)
    wy_http_close_connection (c->ex);
  else if (!c->disconnected)
    {
      wy_http_on_abort (c->ex, NULL, NULL);
      wy_http_respond (c->ex, status, content_type, p, n);
    }
  release (c);
}

static void
on_delay_closed (uv_handle_t *h)
{
  g_free (h);
}

static void
on_delay_end (uv_timer_t *t)
{
  struct delayed_response *h = (struct delayed_response *)t;

  send_response (h->call, h->status, h->content_type, h->body->str,
                 h->body->len);
  g_free (h->content_type);
  g_string_free (h->body, TRUE);
  uv_close ((uv_handle_t *)t, on_delay_closed);
}

/* Send a response with the N bytes at P as its body and end C.  */
void
wy_standin_respond (struct wy_standin_call *c, int status,
                    const char *content_type, const void *p, size_t n)
{
  struct wy_standin_fault *slow
      = wy_standin_active_fault (c->standin, WY_FAULT_SLOW);
  struct delayed_response *h;

  if (!slow || slow->value < 1)
    {
      send_response (c, status, content_type, p, n);
      return;
    }
  h = g_malloc0 (sizeof *h);
  h->call = c;
  h->status = status;
  h->content_type = g_strdup (content_type);
  h->body = g_string_new_len (n ? p : "", (gssize)n);
  uv_timer_init (c->standin->loop, &h->timer);
  uv_timer_start (&h->timer, on_delay_end, (uint64_t)slow->value, 0);
}

/* Respond to C with BODY ("{}" if NULL), whose reference is consumed, and end
   C.  */
void
wy_standin_respond_json (struct wy_standin_call *c, int status, json_t *body)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : g_strdup ("{}");

  json_decref (body);
  wy_standin_respond (c, status, "application/json", text, strlen (text));
  g_free (text);
}

/* Reject C with 429 because a rate limit is reached.  */
void
wy_standin_reject_rate (struct wy_standin_call *c)
{
  if (!c->disconnected)
    wy_http_add_header (c->ex, "retry-after", "1");
  wy_standin_respond_json (c, 429, json_pack ("{s:s}", "error", "rate"));
}

/* Begin a streamed response.  */
void
wy_standin_stream_begin (struct wy_standin_call *c, int status,
                         const char *content_type)
{
  c->streaming = true;
  if (!c->disconnected && !c->silent)
    wy_http_stream_begin (c->ex, status, content_type);
}

/* Append N bytes at P to a streamed response.  */
void
wy_standin_stream_write (struct wy_standin_call *c, const char *p, size_t n)
{
  if (!c->disconnected && !c->silent)
    wy_http_stream_write (c->ex, p, n);
}

/* End a streamed response and C.  */
void
wy_standin_stream_end (struct wy_standin_call *c)
{
  c->ended = true;
  if (!c->disconnected && c->silent)
    return;
  if (!c->disconnected)
    {
      wy_http_on_abort (c->ex, NULL, NULL);
      wy_http_stream_end (c->ex);
    }
  release (c);
}
