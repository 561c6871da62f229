/* Calls of the platform stand-in's callers, operator and trainer to the
   entries.  */
#include "standin/platform.h"

#include <string.h>

static void
on_resume_closed (uv_handle_t *h)
{
  g_free (h);
}

static void
end_pause (struct wy_platform_call *c)
{
  if (c->resume)
    uv_close ((uv_handle_t *)c->resume, on_resume_closed);
  c->resume = NULL;
}

static void
on_resume (uv_timer_t *t)
{
  struct wy_platform_call *c = t->data;

  end_pause (c);
  wy_h1_call_resume (c->call);
}

/* Stop reading the response to C for a while.  */
static void
pause_call (struct wy_platform_call *c)
{
  c->resume = g_new0 (uv_timer_t, 1);
  uv_timer_init (c->platform->standin->loop, c->resume);
  c->resume->data = c;
  uv_timer_start (c->resume, on_resume, c->pause_ms, 0);
  wy_h1_call_pause (c->call);
}

static void
on_head (void *ctx, const struct wy_h1_response *r)
{
  struct wy_platform_call *c = ctx;
  const char *after = wy_h1_head_get (r->head, "Retry-After");

  c->status = r->status;
  c->retry_after_s = after ? g_ascii_strtod (after, NULL) : 0;
  if (c->pause_ms)
    pause_call (c);
}

static void
on_data (void *ctx, const char *bytes, size_t n)
{
  g_string_append_len (((struct wy_platform_call *)ctx)->body, bytes,
                       (gssize)n);
}

static void
on_end (void *ctx, int err)
{
  struct wy_platform_call *c = ctx;

  end_pause (c);
  c->on_done (c, err);
  g_string_free (c->body, TRUE);
  g_free (c);
}

/* Call the next entry, in turn, with the access key of the organisation that
   uses TARGET.  ID is the attempt id, or NULL.  The caller sets on_done and
   ctx of the call returned.  */
struct wy_platform_call *
wy_platform_call (struct wy_platform *p, const char *method,
                  const char *target, const char *id, const char *body)
{
  bool is_trainer = g_str_has_prefix (target, WY_PLATFORM_JOBS)
                    || g_str_has_prefix (target, "/api/");

  return wy_platform_call_with_key (p, method, target, id, body,
                                    is_trainer ? WY_PLATFORM_BANK_KEY
                                               : WY_PLATFORM_OFFICE_KEY);
}

/* Like wy_platform_call, with the access key KEY.  */
struct wy_platform_call *
wy_platform_call_with_key (struct wy_platform *p, const char *method,
                           const char *target, const char *id,
                           const char *body, const char *key)
{
  struct wy_platform_call *c = g_new0 (struct wy_platform_call, 1);
  char credential[64];
  struct wy_h1_header fields[] = { { "Host", WY_PLATFORM_HOST },
                                   { "Authorization", credential },
                                   { "Wait-Milliseconds", "500" },
                                   { "Deadline-Milliseconds", "2000" },
                                   { "Attempt-Id", id } };
  struct wy_h1_call_options o
      = { .address = g_array_index (p->gates, struct sockaddr_in,
                                    p->next_gate++ % p->gates->len),
          .method = method,
          .target = target,
          .fields = fields,
          .n_fields = id ? 5 : 3,
          .body = body,
          .body_size_bytes = body ? strlen (body) : 0,
          .on_head = on_head,
          .on_data = on_data,
          .on_end = on_end,
          .ctx = c };

  g_snprintf (credential, sizeof credential, "Bearer %s", key);
  c->platform = p;
  c->body = g_string_new (NULL);
  c->call = wy_h1_call_start (p->client, &o);
  return c;
}
