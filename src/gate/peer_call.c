/* Short calls to other entries, with JSON bodies.  A connection that has been
   idle may lead to a process that has ended, so a call that fails on one is
   repeated once on a new one; handlers must be idempotent.  */
#include "gate/peer_call.h"

#include <stdlib.h>
#include <string.h>

enum
{
  STATUS_OK = 200,
  /* Responses are a few hundred bytes long.  */
  RESPONSE_LIMIT_BYTES = 65536
};

struct wy_peer_call
{
  struct wy_peer_call_options o;
  char *body;
  struct wy_h1_call *call;
  uv_timer_t timer;
  GString *response;
  int status;
  bool repeated;
};

static void start (struct wy_peer_call *c);

static void
on_closed (uv_handle_t *h)
{
  struct wy_peer_call *c = h->data;

  g_string_free (c->response, TRUE);
  free (c->body);
  g_free (c);
}

static void
end (struct wy_peer_call *c, bool complete)
{
  json_t *doc = complete && c->status == STATUS_OK
                    ? json_loadb (c->response->str, c->response->len, 0, NULL)
                    : NULL;

  c->call = NULL;
  uv_close ((uv_handle_t *)&c->timer, on_closed);
  if (c->o.on_end)
    c->o.on_end (c->o.ctx, doc);
  json_decref (doc);
}

static void
on_head (void *ctx, const struct wy_h1_response *r)
{
  ((struct wy_peer_call *)ctx)->status = r->status;
}

static void
on_data (void *ctx, const char *p, size_t n)
{
  g_string_append_len (((struct wy_peer_call *)ctx)->response, p, (gssize)n);
}

static void
on_end (void *ctx, int err)
{
  struct wy_peer_call *c = ctx;

  if (err && err != WY_H1_ECONNECT && !c->repeated)
    {
      c->repeated = true;
      start (c);
      return;
    }
  end (c, err == 0);
}

static void
on_timeout (uv_timer_t *t)
{
  struct wy_peer_call *c = t->data;

  wy_h1_call_cancel (c->call);
  end (c, false);
}

static void
start (struct wy_peer_call *c)
{
  struct wy_h1_header fields[]
      = { { "Host", "entry" }, { "Content-Type", "application/json" } };
  struct wy_h1_call_options o = { .address = c->o.address,
                                  .method = "POST",
                                  .target = c->o.target,
                                  .fields = fields,
                                  .n_fields = G_N_ELEMENTS (fields),
                                  .body = c->body,
                                  .body_size_bytes = strlen (c->body),
                                  .has_body = true,
                                  .new_connection = c->repeated,
                                  .response_limit_bytes = RESPONSE_LIMIT_BYTES,
                                  .on_head = on_head,
                                  .on_data = on_data,
                                  .on_end = on_end,
                                  .ctx = c };

  c->status = 0;
  g_string_truncate (c->response, 0);
  c->call = wy_h1_call_start (c->o.env->http, &o);
}

/* Start a call with the options O.  */
struct wy_peer_call *
wy_peer_call_start (const struct wy_peer_call_options *o)
{
  struct wy_peer_call *c = g_new0 (struct wy_peer_call, 1);

  c->o = *o;
  c->body = json_dumps (o->doc, JSON_COMPACT);
  c->o.doc = NULL;
  c->response = g_string_new (NULL);
  uv_timer_init (o->env->loop, &c->timer);
  c->timer.data = c;
  uv_timer_start (&c->timer, on_timeout, o->timeout_ms, 0);
  start (c);
  return c;
}

/* End C without a call to its on_end.  */
void
wy_peer_call_cancel (struct wy_peer_call *c)
{
  wy_h1_call_cancel (c->call);
  c->call = NULL;
  uv_close ((uv_handle_t *)&c->timer, on_closed);
}
