/* Orders from entries to the target.

   Engines accept orders from anyone who can reach them.  Only the agent on the
   same host should, and it forwards orders only from entries that have
   authenticated.  An order under a lease carries the lease's fencing token,
   see agent/fence.c.  */
#include "agent/orders.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "agent/drain.h"
#include "agent/target.h"
#include "agent/weight_relay.h"
#include "http/error.h"
#include "trace/log.h"

enum
{
  /* Fetching a weight version is limited by the weight store's rate.  */
  ORDER_TIMEOUT_MS = 60000,
  STATUS_OK = 200,
  STATUS_CONFLICT = 409
};

struct order
{
  struct wy_agent *agent;
  struct wy_link *link; /* NULL: the connection is closed */
  char *id;
  char *lease;
  GList list_link;
};

static const char *const kind_names[]
    = { "", "stage", "activate", "drain", "undrain", "unblock" };

static void
send_result (struct wy_agent *a, struct wy_link *l, const char *id,
             const char *lease, int32_t result)
{
  struct wy_frame f = { .kind = WY_FRAME_ORDERED };

  f.u.ordered.order = wy_bytes_of (id);
  f.u.ordered.result = result;
  f.u.ordered.version = a->target.version;
  f.u.ordered.highest_fence = wy_fences_highest (a->fences, lease);
  if (l)
    wy_conn_send (l->conn, &f);
}

static void
order_free (struct order *o)
{
  g_queue_unlink (&o->agent->orders, &o->list_link);
  g_free (o->id);
  g_free (o->lease);
  g_free (o);
}

static int64_t
number (const json_t *body, const char *key)
{
  return json_integer_value (json_object_get (body, key));
}

/* Return the order result for the engine's RESPONSE.  After a failed swap the
   old version stays in force and is named in the response.  */
static int32_t
result_of (struct order *o, const struct wy_http_response *response,
           const json_t *body)
{
  struct wy_agent *a = o->agent;

  if (response->err)
    return response->err == WY_HTTP_ECONNECT ? WY_ORDER_EUNREACHABLE
                                             : WY_ORDER_ETARGET;
  if (response->status == STATUS_CONFLICT)
    {
      wy_fences_raise (a->fences, o->lease, number (body, "highest"));
      return WY_ORDER_EFENCE;
    }
  if (response->status != STATUS_OK)
    return WY_ORDER_ETARGET;
  a->target.ordered_ms = wy_clock_wall_ms (a->clock);
  wy_agent_target_set_version (a, number (body, "version"),
                               number (body, "staged"));
  return WY_ORDER_OK;
}

static void
on_response (void *ctx, const struct wy_http_response *response)
{
  struct order *o = ctx;
  json_t *body = response->err ? NULL
                               : json_loadb (response->body,
                                             response->size_bytes, 0, NULL);
  int32_t result = result_of (o, response, body);

  if (result)
    wy_log (WY_LOG_WARN, "order.failed", "order=%s result=%d status=%d", o->id,
            result, response->status);
  send_result (o->agent, o->link, o->id, o->lease, result);
  json_decref (body);
  order_free (o);
}

static void
forward_to_engine (struct wy_link *l, const struct wy_frame_order *f)
{
  struct wy_agent *a = l->agent;
  struct order *o = g_new0 (struct order, 1);
  char *model = wy_bytes_dup (f->model);
  char *source = wy_agent_weight_relay_source (a, f);
  json_t *body = json_pack (
      "{s:s, s:s, s:I, s:I}", "order", kind_names[f->kind], "model", model,
      "version", (json_int_t)f->version, "fence", (json_int_t)f->fence);
  char *text;
  struct wy_http_call_options call = { .method = "POST",
                                       .host = a->s->target_host,
                                       .port = (uint16_t)a->s->target_port,
                                       .path = "/control/order",
                                       .timeout_ms = ORDER_TIMEOUT_MS };

  if (source)
    json_object_set_new (body, "source", json_string (source));
  text = json_dumps (body, JSON_COMPACT);
  call.body = text;
  call.body_size_bytes = strlen (text);
  o->agent = a;
  o->link = l;
  o->id = wy_bytes_dup (f->order);
  o->lease = wy_bytes_dup (f->lease);
  o->list_link.data = o;
  g_queue_push_tail_link (&a->orders, &o->list_link);
  wy_http_fetch (a->client, &call, on_response, o);
  free (text);
  json_decref (body);
  g_free (source);
  g_free (model);
}

/* Check the fencing token of F.  Returns 0 or an enum wy_order_result.  */
static int32_t
check_fence (struct wy_link *l, const struct wy_frame_order *f,
             const char *lease)
{
  struct wy_agent *a = l->agent;

  /* Orders from operators have no lease.  */
  if (!*lease)
    return 0;
  switch (wy_fences_check (a->fences, lease, f->fence, l->number,
                           l->last_pong_seq, wy_conn_ping_seq (l->conn)))
    {
    case WY_FENCE_STALE:
      ++*a->n.orders_stale;
      return WY_ORDER_EFENCE;
    case WY_FENCE_CONFIRM:
      return WY_ORDER_ECONFIRM;
    case WY_FENCE_ACCEPT:
      break;
    }
  wy_trace_event (a->trace, "fence.accepted", "{s:s, s:I, s:s, s:s}", "lease",
                  lease, "fence", (json_int_t)f->fence, "what",
                  kind_names[f->kind], "at", a->s->name);
  return 0;
}

static int32_t
execute (struct wy_link *l, const struct wy_frame_order *f, bool *deferred)
{
  struct wy_agent *a = l->agent;

  switch (f->kind)
    {
    case WY_ORDER_STAGE:
    case WY_ORDER_ACTIVATE:
      if (a->s->target_kind != WY_TARGET_MODEL
          || !wy_bytes_equal (f->model, a->s->target_name))
        return WY_ORDER_EINVALID;
      *deferred = true;
      forward_to_engine (l, f);
      return 0;
    case WY_ORDER_DRAIN:
      wy_agent_drain_order (a, true);
      return 0;
    case WY_ORDER_UNDRAIN:
      wy_agent_drain_order (a, false);
      return 0;
    case WY_ORDER_UNBLOCK:
      /* The list of suspects is kept by the entries.  */
      return 0;
    }
  return WY_ORDER_EINVALID;
}

/* Execute the order F and send its result to L.  */
void
wy_agent_order (struct wy_link *l, const struct wy_frame_order *f)
{
  struct wy_agent *a = l->agent;
  char *lease = wy_bytes_dup (f->lease);
  char *id = wy_bytes_dup (f->order);
  bool deferred = false;
  int32_t result = check_fence (l, f, lease);

  ++*a->n.orders;
  if (!result)
    result = execute (l, f, &deferred);
  if (!deferred)
    send_result (a, l, id, lease, result);
  /* The PONG to this PING shows that the result has arrived.  */
  if (result == WY_ORDER_ECONFIRM)
    wy_conn_ping (l->conn);
  g_free (id);
  g_free (lease);
}

/* Handle the close of L.  Orders from it that are being executed continue.  */
void
wy_agent_orders_link_closed (struct wy_link *l)
{
  for (GList *i = l->agent->orders.head; i; i = i->next)
    {
      struct order *o = i->data;

      if (o->link == l)
        o->link = NULL;
    }
}
