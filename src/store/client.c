/* Client of the table service and the object store: queue and pacing.  */
#include "store/client.h"

#include <stdlib.h>
#include <string.h>

#include "store/call.h"

enum
{
  /* The service is known to answer after 5 s at times; a timeout below that
     would turn a slow store into one that is down.  */
  CALL_TIMEOUT_MS = 8000,
  /* A tenth of what the service gives: ten entries at most speak to it.  */
  READS_PER_S = 200,
  WRITES_PER_S = 40,
  /* Six seconds of writes; a caller whose call would wait longer is better
     told at once.  */
  QUEUE_LIMIT = 256,
  /* Connections open to the store; enough for 12 calls a second at 5 s.  */
  FLYING_MAX = 64,
  /* Each call earns one retry, so that a store that loses half its answers
     is still usable and the retries never more than double the load.  */
  RETRY_PERCENT = 100,
  RETRY_BURST = 20,
  /* A lower bound for what callers are told to wait.  */
  RETRY_AFTER_MIN_MS = 1000,
  /* Processes that may poll a row at full pace.  The platform answers about
     two thousand reads a second to all; each of some hundred entries reading
     a handful of rows a second would take them alone.  */
  FULL_PACE_POLLERS = 16,
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
or_default (uint32_t given, uint32_t fallback)
{
  return given ? given : fallback;
}

static void
count (struct wy_store *s, const struct wy_store_call *c)
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
probe (struct wy_store *s)
{
  struct wy_store_call *c
      = wy_store_call_new (s, WY_STORE_CALL_PROBE, "probe");

  c->path = g_strdup ("/read");
  g_string_assign (c->body, "{\"keys\":[]}");
  count (s, c);
  wy_store_call_send (c);
}

/* Take the calls that are to be answered without an attempt out of the queue
   first: their callers may start new ones.  */
static void
answer_refused (struct wy_store *s)
{
  GQueue refused = G_QUEUE_INIT;
  GList *next;
  GList *l;

  for (l = s->waiting.head; l; l = next)
    {
      struct wy_store_call *c = l->data;

      next = l->next;
      if (s->outage.down && !c->refused)
        c->refused = wy_store_call_failed (c);
      if (!c->refused)
        continue;
      g_queue_unlink (&s->waiting, l);
      g_queue_push_tail_link (&refused, l);
    }
  while ((l = g_queue_pop_head_link (&refused)))
    {
      struct wy_store_call *c = l->data;

      wy_store_call_finish (c, c->refused);
    }
}

static void arm (struct wy_store *s, int64_t wait_ms);

/* Send what may go now; how long until something else may.  */
static int64_t
send_due (struct wy_store *s, int64_t now)
{
  int64_t wait = -1;
  GList *next;

  for (GList *l = s->waiting.head; l; l = next)
    {
      struct wy_store_call *c = l->data;
      int64_t due = c->due_ms > s->hold_ms ? c->due_ms : s->hold_ms;
      int64_t after = due - now;

      next = l->next;
      if (s->flying.length >= FLYING_MAX)
        break;
      if (after <= 0)
        after = wy_rate_take (is_write (c) ? &s->writes : &s->reads, now);
      if (after > 0)
        {
          if (wait < 0 || after < wait)
            wait = after;
          continue;
        }
      g_queue_unlink (&s->waiting, l);
      count (s, c);
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

  answer_refused (s);
  if (wy_outage_probe (&s->outage, now))
    probe (s);
  wait = send_due (s, now);
  if (s->outage.down && !s->outage.probing)
    {
      int64_t until = s->outage.probe_ms - now;
      if (wait < 0 || until < wait)
        wait = until > 0 ? until : 0;
    }
  if (wait >= 0 && !uv_is_active ((uv_handle_t *)&s->timer))
    arm (s, wait);
}

static void
arm (struct wy_store *s, int64_t wait_ms)
{
  uv_update_time (s->o.loop);
  uv_timer_start (&s->timer, on_timer, (uint64_t)wait_ms, 0);
}

/* Look at the queue as soon as the loop comes round.  */
void
wy_store_wake (struct wy_store *s)
{
  arm (s, 0);
}

/* Connect to the services that O names; no call is made yet.  Returns 0 or
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
  s->o.call_timeout_ms = or_default (o->call_timeout_ms, CALL_TIMEOUT_MS);
  s->o.reads_per_s = or_default (o->reads_per_s, READS_PER_S);
  s->o.writes_per_s = or_default (o->writes_per_s, WRITES_PER_S);
  s->o.queue_limit = or_default (o->queue_limit, QUEUE_LIMIT);
  s->http = wy_http_client_new (o->loop, s->o.call_timeout_ms);
  wy_rng_seed (&s->rng, o->seed);
  wy_rate_init (&s->reads, s->o.reads_per_s, s->o.reads_per_s, now);
  wy_rate_init (&s->writes, s->o.writes_per_s, s->o.writes_per_s, now);
  wy_retry_init (&s->retries, &retry);
  s->calls_by_cause
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (o->metrics)
    {
      s->retried = wy_metrics_counter (o->metrics, "wy_store_retries_total",
                                       "Calls to the store sent again.");
      s->outages = wy_metrics_counter (o->metrics, "wy_store_outages_total",
                                       "Outages of the store seen.");
    }
  uv_timer_init (o->loop, &s->timer);
  s->timer.data = s;
  *out = s;
  return 0;
}

/* N processes poll the rows that this one polls.  */
void
wy_store_set_pollers (struct wy_store *s, uint32_t n)
{
  s->pollers = n;
}

/* How long to wait before a row that all of them poll is polled again, when
   few would wait BASE_MS.  The more there are the longer each waits, so that
   all together ask no oftener; what one learns the others hear from it over
   the agents.  */
uint32_t
wy_store_poll_interval_ms (const struct wy_store *s, uint32_t base_ms)
{
  if (s->pollers <= FULL_PACE_POLLERS)
    return base_ms;
  return (uint32_t)((uint64_t)base_ms * s->pollers / FULL_PACE_POLLERS);
}

static void
drop_all (GQueue *q)
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
        wy_store_call_finish (c, c->kind == WY_STORE_CALL_TXN && c->attempts
                                     ? WY_STORE_EUNKNOWN
                                     : WY_STORE_EDOWN);
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

/* Give up all calls, whose callers are told so and must not start others, and
   free S.  */
void
wy_store_free (struct wy_store *s)
{
  drop_all (&s->flying);
  drop_all (&s->waiting);
  uv_close ((uv_handle_t *)&s->timer, on_timer_closed);
}

/* Whether the store counts as down.  */
bool
wy_store_is_down (const struct wy_store *s)
{
  return s->outage.down;
}

/* What to tell a caller that has to come back because of the store.  */
uint32_t
wy_store_retry_after_ms (const struct wy_store *s)
{
  int64_t now = wy_clock_mono_ms (s->o.clock);
  int64_t at = s->outage.down ? s->outage.probe_ms : s->hold_ms;

  return at - now > RETRY_AFTER_MIN_MS ? (uint32_t)(at - now)
                                       : RETRY_AFTER_MIN_MS;
}

/* Whether no call of S waits for its turn or its answer.  */
bool
wy_store_is_idle (const struct wy_store *s)
{
  return s->flying.length == 0 && s->waiting.length == 0;
}
