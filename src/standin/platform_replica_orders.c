/* Stand-in of a replica: its report, its row in the store and its orders.  */
#include "standin/platform_replica_state.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

/* Return whether a fault is to be injected, and if so decrement its COUNT.  */
bool
wy_platform_take_fault (uint32_t *count)
{
  if (*count == 0)
    return false;
  (*count)--;
  return true;
}

/* Respond to Q with the report of R.  */
void
wy_platform_replica_report (struct wy_platform_replica *r,
                            struct wy_h1_request *q)
{
  json_t *doc = json_pack (
      "{s:[{s:s, s:I}], s:b, s:I, s:I}", "models", "name",
      r->o.model ? r->o.model : "", "version", (json_int_t)r->version, "busy",
      r->loading_version != 0, "sequence", (json_int_t)r->orders, "born",
      (json_int_t)r->started_ms);
  char *text = json_dumps (doc, JSON_COMPACT);

  if (wy_platform_take_fault (&r->faults.respond_malformed))
    wy_platform_replica_respond_malformed (r, q, NULL);
  else
    wy_h1_respond (q, 200, NULL, 0, text, strlen (text));
  free (text);
  json_decref (doc);
}

static void
on_loaded (uv_timer_t *t)
{
  struct wy_platform_replica *r = t->data;

  r->version = r->loading_version;
  r->loading_version = 0;
}

static int
accept_order (struct wy_platform_replica *r, json_t *doc)
{
  int64_t version = json_integer_value (json_object_get (doc, "version"));
  json_t *expected = json_object_get (doc, "expectedRevision");

  if (!json_is_string (json_object_get (doc, "holder"))
      || !json_is_integer (json_object_get (doc, "fencingToken")))
    return 400;
  if (r->loading_version
      || (json_is_integer (expected)
          && json_integer_value (expected) != r->orders))
    return 409;
  if (r->version == version)
    return 200;
  r->orders++;
  r->loading_version = version;
  uv_timer_start (&r->load_timer, on_loaded, r->faults.order_load_ms, 0);
  return 202;
}

/* Handle the order Q and respond to it.  */
void
wy_platform_replica_order (struct wy_platform_replica *r,
                           struct wy_h1_request *q)
{
  size_t n;
  const char *body = wy_h1_body (q, &n);
  json_t *doc = json_loadb (body, n, 0, NULL);
  int status = accept_order (r, doc);

  json_decref (doc);
  if (wy_platform_take_fault (&r->faults.lose_order_response))
    wy_h1_abort (q);
  else if (wy_platform_take_fault (&r->faults.respond_malformed))
    wy_platform_replica_respond_malformed (r, q, NULL);
  else
    wy_h1_respond (q, status, NULL, 0, "", 0);
}

/* Return the value of the row of R in the table of replicas, which the caller
   frees.  If ADDRESS is NULL, it is the one R listens on.  */
char *
wy_platform_replica_row_value (const struct wy_platform_replica *r,
                               const char *service, const char *state,
                               const char *address)
{
  char *own = g_strdup_printf ("127.0.0.1:%u", wy_platform_replica_port (r));
  char *entry = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
      "\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\","
      "\"models\":[{\"name\":\"%s\",\"version\":%lld}],\"sequence\":1,"
      "\"born\":%lld}",
      service, address ? address : own, r->o.slots, state,
      r->o.model ? r->o.model : "", (long long)r->version,
      (long long)r->started_ms);

  g_free (own);
  return entry;
}

/* Return the number of orders accepted.  */
uint32_t
wy_platform_replica_orders (const struct wy_platform_replica *r)
{
  return (uint32_t)r->orders;
}

/* Return the version of the weights in use.  */
int64_t
wy_platform_replica_version (const struct wy_platform_replica *r)
{
  return r->version;
}

/* Use VERSION of the weights from now on.  */
void
wy_platform_replica_set_version (struct wy_platform_replica *r,
                                 int64_t version)
{
  r->version = version;
}

/* Simulate a restart of R: it keeps its id and weights, its order count starts
   again at 0 and its start time changes.  */
void
wy_platform_replica_restart (struct wy_platform_replica *r)
{
  uv_timer_stop (&r->load_timer);
  r->loading_version = 0;
  r->orders = 0;
  r->started_ms++;
}
