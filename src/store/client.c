/* Client of the table service and the object store: wait queue, rate limit
   and connections.  */
#include "store/client.h"

#include <stdlib.h>
#include <string.h>

#include "store/call.h"

enum
{
  /* The service responds after 5 s at times; a shorter timeout would treat a
     slow store as one that is down.  */
  CALL_TIMEOUT_MS = 8000,
  /* A tenth of the service's limits: at most ten entries call it.  */
  READS_PER_S = 200,
  WRITES_PER_S = 40,
  /* Six seconds of writes; a call that would wait longer fails at once.  */
  QUEUE_LIMIT = 256,
  /* Open connections to the store; enough for 12 calls per second that take
     5 s each.  */
  IN_FLIGHT_MAX = 64,
  /* One retry per call, so that a store that loses half its responses is
     still usable and the retries at most double the load.  */
  RETRY_PERCENT = 100,
  RETRY_BURST = 20,
  /* Lower limit of the Retry-After for callers.  */
  RETRY_AFTER_MIN_MS = 1000,
  /* Processes that may poll a row at the full rate.  The service handles about
     two thousand reads per second in total; a hundred entries that each poll
     several rows per second would use them all.  */
  FULL_RATE_POLLERS = 16,
  PORT_MAX = 65535
};

static int
parse_address (struct wy_store_address *a, const char *text)
{
  const char *colon = text ? strrchr (text, ':') : NULL;
  char *end;
  unsigned long port;

  if (!colon || colon == text)
    return WY_STORE_EADDRESS;
  port = strtoul (colon + 1, &end, 10);
  if (*end || port == 0 || port > PORT_MAX)
    return WY_STORE_EADDRESS;
  a->host = g_strndup (text, (gsize)(colon - text));
  a->port = (uint16_t)port;
  return 0;
}

static uint32_t
value_or_default (uint32_t given, uint32_t fallback)
{
  return given ? given : fallback;
}

static void
count_attempt (struct wy_store *s, const struct wy_store_call *c)
{
  static const char *const kinds[] = { "txn", "read", "put", "get", "probe" };
  uint64_t *n;
  char *name;

  if (!s->o.metrics)
    return;
  name = g_strdup_printf ("wy_store_calls_total{kind=\"%s\",cause=\"%s\"}",
                          kinds[c->kind], c->cause);
  n = g_hash_table_lookup (s->calls_by_cause, name);
  if (!n)
    {
      n = wy_metrics_counter (s->o.metrics, name,
                              "Attempts at calls to the store.");
      g_hash_table_insert (s->calls_by_cause, g_strdup (name), n);
    }
  ++*n;
  g_free (name);
}

static bool
is_write (const struct wy_store_call *c)
{
  return c->kind == WY_STORE_CALL_TXN || c->kind == WY_STORE_CALL_PUT;
}

static void
send_probe (struct wy_store *s)
{
  struct wy_store_call *c
      = wy_store_call_new (s, WY_STORE_CALL_PROBE, "probe");

  c->path = g_strdup ("/read");
  g_string_assign (c->body, "{\"keys\":[]}");
  count_attempt (s, c);
  wy_store_call_send (c);
}

/* Fail the calls that get no attempt.  They are taken out of the wait queue
   first because their callbacks may start new calls.  */
static void
fail_without_attempt (struct wy_store *s)
{
  GQueue failed = G_QUEUE_INIT;
  GList *next;
  GList *l;

  for (l = s->waiting.head; l; l = next)
    {
      struct wy_store_call *c = l->data;

      next = l->next;
      if (s->breaker.is_open && !c->local_err)
        c->local_err = wy_store_call_error (c);
      if (!c->local_err)
        continue;
      g_queue_unlink (&s->waiting, l);
      g_queue_push_tail_link (&failed, l);
    }
  while ((l = g_queue_pop_head_link (&failed)))
    {
      struct wy_store_call *c = l->data;

      wy_store_call_fail (c, c->local_err);
    }
}

static void start_timer (struct wy_store *s, int64_t wait_ms);

/* Send the calls that are due.  Returns the milliseconds until another call
   is due, or -1 if none waits for a point in time.  */
static int64_t
send_due (struct wy_store *s, int64_t now)
{
  int64_t wait = -1;
  GList *next;

  for (GList *l = s->waiting.head; l; l = next)
    {
      struct wy_store_call *c = l->data;
      int64_t due = c->due_ms > s->rate_limited_until_ms
                        ? c->due_ms
                        : s->rate_limited_until_ms;
      int64_t after = due - now;

      next = l->next;
      if (s->in_flight.length >= IN_FLIGHT_MAX)
        break;
      if (after <= 0)
        after = wy_rate_limiter_take (is_write (c) ? &s->writes : &s->reads,
                                      now);
      if (after > 0)
        {
          if (wait < 0 || after < wait)
            wait = after;
          continue;
        }
      g_queue_unlink (&s->waiting, l);
      count_attempt (s, c);
      wy_store_call_send (c);
    }
  return wait;
}

static void
on_timer (uv_timer_t *t)
{
  struct wy_store *s = t->data;
  int64_t now = wy_clock_mono_ms (s->o.clock);
  int64_t wait;

  fail_without_attempt (s);
  if (wy_circuit_breaker_probe (&s->breaker, now))
    send_probe (s);
  wait = send_due (s, now);
  if (s->breaker.is_open && !s->breaker.probing)
    {
      int64_t until = s->breaker.next_probe_ms - now;
      if (wait < 0 || until < wait)
        wait = until > 0 ? until : 0;
    }
  if (wait >= 0 && !uv_is_active ((uv_handle_t *)&s->timer))
    start_timer (s, wait);
}

static void
start_timer (struct wy_store *s, int64_t wait_ms)
{
  uv_update_time (s->o.loop);
  uv_timer_start (&s->timer, on_timer, (uint64_t)wait_ms, 0);
}

/* Process the wait queue in the next iteration of the event loop.  */
void
wy_store_wake (struct wy_store *s)
{
  start_timer (s, 0);
}

/* Create a client of the services in O; this makes no call.  Returns 0 or
   WY_STORE_EADDRESS.  */
int
wy_store_new (struct wy_store **out, const struct wy_store_options *o)
{
  struct wy_store *s = g_malloc0 (sizeof *s);
  struct wy_retry_options retry = { RETRY_PERCENT, RETRY_BURST };
  int64_t now = wy_clock_mono_ms (o->clock);

  s->o = *o;
  if (parse_address (&s->table, o->table)
      || parse_address (&s->objects, o->objects))
    {
      g_free (s->table.host);
      g_free (s);
      return WY_STORE_EADDRESS;
    }
  s->o.call_timeout_ms
      = value_or_default (o->call_timeout_ms, CALL_TIMEOUT_MS);
  s->o.reads_per_s = value_or_default (o->reads_per_s, READS_PER_S);
  s->o.writes_per_s = value_or_default (o->writes_per_s, WRITES_PER_S);
  s->o.queue_limit = value_or_default (o->queue_limit, QUEUE_LIMIT);
  s->http = wy_http_client_new (o->loop, s->o.call_timeout_ms);
  wy_rng_seed (&s->rng, o->seed);
  wy_rate_limiter_init (&s->reads, s->o.reads_per_s, s->o.reads_per_s, now);
  wy_rate_limiter_init (&s->writes, s->o.writes_per_s, s->o.writes_per_s, now);
  wy_retry_init (&s->retry_budget, &retry);
  s->calls_by_cause
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (o->metrics)
    {
      s->n_retries = wy_metrics_counter (o->metrics, "wy_store_retries_total",
                                         "Calls to the store sent again.");
      wy_http_client_count_malformed (
          s->http,
          wy_metrics_counter (o->metrics, "wy_store_malformed_responses_total",
                              "Responses of the store that were malformed."));
      s->n_outages = wy_metrics_counter (o->metrics, "wy_store_outages_total",
                                         "Outages of the store seen.");
    }
  uv_timer_init (o->loop, &s->timer);
  s->timer.data = s;
  *out = s;
  return 0;
}

/* Set the number of processes that poll the same rows as this one to N.  */
void
wy_store_set_pollers (struct wy_store *s, uint32_t n)
{
  s->pollers = n;
}

/* The polling interval of a row that all these processes poll; BASE_MS: the
   interval if they are few.  The interval grows with their number, so that
   the total rate stays the same; a process that reads a change passes it to
   the others through the agents.  */
uint32_t
wy_store_poll_interval_ms (const struct wy_store *s, uint32_t base_ms)
{
  if (s->pollers <= FULL_RATE_POLLERS)
    return base_ms;
  return (uint32_t)((uint64_t)base_ms * s->pollers / FULL_RATE_POLLERS);
}

static void
fail_all (GQueue *q)
{
  GList *l;

  while ((l = g_queue_pop_head_link (q)))
    {
      struct wy_store_call *c = l->data;

      if (c->http)
        wy_http_call_cancel (c->http);
      c->http = NULL;
      if (c->kind == WY_STORE_CALL_PROBE)
        wy_store_call_free (c);
      else
        wy_store_call_fail (c, c->kind == WY_STORE_CALL_TXN && c->attempts
                                   ? WY_STORE_EUNKNOWN
                                   : WY_STORE_EUNAVAILABLE);
    }
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_store *s = h->data;

  wy_http_client_free (s->http);
  g_hash_table_destroy (s->calls_by_cause);
  g_free (s->table.host);
  g_free (s->objects.host);
  g_free (s);
}

/* Fail all calls, whose callbacks must not start new ones, and free S.  */
void
wy_store_free (struct wy_store *s)
{
  fail_all (&s->in_flight);
  fail_all (&s->waiting);
  uv_close ((uv_handle_t *)&s->timer, on_timer_closed);
}

/* Whether the store is down, that is, the circuit breaker is open.  */
bool
wy_store_is_down (const struct wy_store *s)
{
  return s->breaker.is_open;
}

/* The Retry-After for a caller whose request failed because of the store.  */
uint32_t
wy_store_retry_after_ms (const struct wy_store *s)
{
  int64_t now = wy_clock_mono_ms (s->o.clock);
  int64_t at = s->breaker.is_open ? s->breaker.next_probe_ms
                                  : s->rate_limited_until_ms;

  return at - now > RETRY_AFTER_MIN_MS ? (uint32_t)(at - now)
                                       : RETRY_AFTER_MIN_MS;
}

/* Whether S has no call that waits or is in flight.  */
bool
wy_store_is_idle (const struct wy_store *s)
{
  return s->in_flight.length == 0 && s->waiting.length == 0;
}
