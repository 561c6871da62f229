/* Runs on a plain service: method, path, headers and body of the request and
   the response are forwarded unchanged.  */
#include "agent/run_service.h"

#include <string.h>

#include "agent/run.h"
#include "agent/target.h"
#include "http/error.h"

enum
{
  SERVER_ERROR = 500,
  METHOD_LIMIT_BYTES = 32,
  PATH_LIMIT_BYTES = 8192,
  HEADERS_MAX = 128
};

/* Headers that apply to one connection or are set by this hop.  */
static const char *const connection_headers[]
    = { "connection",     "keep-alive", "te",   "trailer",
        "upgrade",        "expect",     "host", "transfer-encoding",
        "content-length", NULL };

static bool
is_connection_header (const char *name)
{
  for (size_t i = 0; connection_headers[i]; i++)
    if (!g_ascii_strcasecmp (name, connection_headers[i]))
      return true;
  return false;
}

/* Whether B contains no line break or other control character, and no space
   unless SPACES.  A line break in a value would let a caller inject headers or
   a second request.  */
static bool
is_single_line (struct wy_bytes b, bool spaces)
{
  for (uint32_t i = 0; i < b.n; i++)
    {
      unsigned char ch = (unsigned char)b.p[i];

      if (ch < ' ' ? !(spaces && ch == '\t') : ch == 0x7f)
        return false;
      if (ch == ' ' && !spaces)
        return false;
    }
  return true;
}

static bool
is_token (struct wy_bytes b)
{
  for (uint32_t i = 0; i < b.n; i++)
    if (!g_ascii_isalnum (b.p[i]) && !strchr ("!#$%&'*+-.^_`|~", b.p[i]))
      return false;
  return b.n > 0;
}

/* Whether S can be sent as a valid HTTP request.  */
bool
wy_agent_service_check (const struct wy_frame_submit *s)
{
  if (!is_token (s->method) || s->method.n > METHOD_LIMIT_BYTES)
    return false;
  if (s->path.n == 0 || s->path.p[0] != '/' || !is_single_line (s->path, false)
      || s->path.n > PATH_LIMIT_BYTES || s->n_headers > HEADERS_MAX)
    return false;
  for (uint32_t i = 0; i < s->n_headers; i++)
    if (!is_token (s->headers[i].name)
        || !is_single_line (s->headers[i].value, true))
      return false;
  return true;
}

static void
on_sending (void *ctx)
{
  wy_agent_run_sent (ctx);
}

static void
on_head (void *ctx, int status, const struct wy_http_header_field *headers,
         size_t n)
{
  wy_agent_run_head (ctx, status, headers, n);
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  wy_agent_run_output (ctx, p, n);
}

/* End R as crashed: the service failed or stopped responding.  R may have
   run.  */
void
wy_agent_service_crashed (struct wy_run *r)
{
  struct wy_agent *a = r->agent;

  if (r->call)
    wy_http_call_cancel (r->call);
  r->call = NULL;
  wy_agent_run_end (r, WY_RUN_CRASHED, WY_RAN_UNKNOWN);
  wy_agent_target_recheck (a);
}

static void
on_end (void *ctx, int err)
{
  struct wy_run *r = ctx;
  struct wy_agent *a = r->agent;

  r->call = NULL;
  if (!err && r->status)
    wy_agent_run_end (
        r, r->status < SERVER_ERROR ? WY_RUN_DONE : WY_RUN_FAILED, WY_RAN_YES);
  else if (err == WY_HTTP_ECONNECT && !r->sent)
    {
      wy_agent_run_reject (r, WY_REFUSED_BUSY, WY_AGENT_RETRY_MS);
      wy_agent_target_recheck (a);
    }
  else
    wy_agent_service_crashed (r);
}

/* Send R to the service.  */
void
wy_agent_service_start (struct wy_run *r)
{
  const struct wy_agent_settings *s = r->agent->s;
  struct wy_http_header_field pairs[HEADERS_MAX + 1];
  struct wy_http_call_options o = { .method = r->method,
                                    .host = s->target_host,
                                    .port = (uint16_t)s->target_port,
                                    .path = r->path,
                                    .headers = pairs,
                                    .body = r->body->data,
                                    .body_size_bytes = r->body->len,
                                    .on_sending = on_sending,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .ctx = r };

  for (guint i = 0; i + 1 < r->headers->len; i += 2)
    {
      const char *name = r->headers->pdata[i];

      if (is_connection_header (name)
          || !g_ascii_strcasecmp (name, "waxwing-request-id"))
        continue;
      pairs[o.n_headers].name = name;
      pairs[o.n_headers++].value = r->headers->pdata[i + 1];
    }
  pairs[o.n_headers].name = "Waxwing-Request-Id";
  pairs[o.n_headers++].value = r->id;
  r->last_received_ms = wy_agent_now_ms (r->agent);
  r->call = wy_http_call_start (r->agent->client, &o);
}
