/* An agent forwards all requests to the target on its host.

   It keeps the queue in front of the target, runs requests, retains results
   until they are acknowledged and executes orders.  */
#include "agent/agent.h"

#include <stdlib.h>
#include <string.h>

#include "agent/dispatch.h"
#include "agent/drain.h"
#include "agent/http.h"
#include "agent/links.h"
#include "agent/run.h"
#include "agent/state.h"
#include "agent/target.h"
#include "agent/weight_relay.h"

enum
{
  SWEEP_MS = 100,
  /* Idle timeout of last resort; calls to the target have their own
     timeouts.  */
  CLIENT_SILENCE_MS = 3600 * 1000,
  /* Smoothing of the rate at which runs end: a new measurement counts one
     sixteenth.  */
  RATE_SMOOTHING = 16,
  RATE_UNIT = 1000 * 1000 /* ms in 1000 s */
};

/* Parse NUMBER:SECRET, or a bare secret with the number DFLT, into OUT.  OUT
   points into TEXT.  Returns false if the secret is empty.  */
static bool
parse_key (const char *text, uint32_t dflt, struct wy_inner_key *out)
{
  char *end;
  unsigned long number = strtoul (text, &end, 10);

  out->number = dflt;
  out->secret = text;
  if (end != text && *end == ':' && number <= UINT32_MAX)
    {
      out->number = (uint32_t)number;
      out->secret = end + 1;
    }
  return *out->secret != '\0';
}

static int
parse_keys (struct wy_agent *a)
{
  struct wy_inner_identity *id = &a->identity;

  if (!parse_key (a->s->key_1, 1, &a->keys[0]))
    return WY_AGENT_EKEY;
  id->keys = a->keys;
  id->n_keys = 1;
  if (!*a->s->key_2)
    return 0;
  if (!parse_key (a->s->key_2, 2, &a->keys[1])
      || a->keys[0].number == a->keys[1].number)
    return WY_AGENT_EKEY;
  id->n_keys = 2;
  return 0;
}

static void
set_identity (struct wy_agent *a)
{
  struct wy_inner_identity *id = &a->identity;

  id->loop = a->loop;
  id->clock = a->clock;
  id->process = a->s->name;
  id->incarnation = wy_trace_incarnation (a->trace);
  id->availability_zone = a->s->availability_zone;
  id->handshake_timeout_ms = (uint32_t)a->s->handshake_timeout_ms;
  id->heartbeat_ms = (uint32_t)a->s->heartbeat_ms;
  id->silence_limit_ms = (uint32_t)a->s->silence_limit_ms;
  id->send_limit_bytes = (size_t)a->s->send_limit_bytes;
  id->timestamp = wy_trace_timestamp;
  id->observe = wy_trace_observe;
  id->trace = a->trace;
}

static void
set_members (struct wy_agent *a, const struct wy_document *d, int64_t revision)
{
  const struct wy_service_config *s
      = wy_document_service (d, a->s->target_name);
  struct wy_at_most_once_members m = { .revision = revision };

  if (!s)
    return;
  m.effective_ms = s->effective_ms;
  for (guint i = 0; i < s->members->len; i++)
    m.digest = wy_hash64 (s->members->pdata[i], strlen (s->members->pdata[i]),
                          m.digest);
  wy_at_most_once_set_members (a->once, &m, wy_clock_wall_ms (a->clock));
}

static void
on_config (void *ctx, const struct wy_document *d, int64_t revision)
{
  struct wy_agent *a = ctx;

  set_members (a, d, revision);
  a->document = d;
  wy_agent_drain_on_config (a, d);
}

/* Detects a step of the wall clock larger than clock_skew_ms.  Issue times
   from before and after the step can't be compared.  */
static void
check_clock_step (struct wy_agent *a, int64_t now_ms)
{
  int64_t wall_ms = wy_clock_wall_ms (a->clock);
  int64_t offset_ms = wall_ms - now_ms;

  if (llabs (offset_ms - a->clock_offset_ms) > a->s->clock_skew_ms)
    wy_at_most_once_clock_stepped (a->once, wall_ms);
  a->clock_offset_ms = offset_ms;
}

/* Update the smoothed number of runs that end per 1000 seconds.  */
static void
measure_rate (struct wy_agent *a)
{
  uint64_t total = 0;
  uint64_t rate;

  for (size_t i = 0; i < sizeof a->n.ended / sizeof *a->n.ended; i++)
    total += *a->n.ended[i];
  rate = (total - a->last_ended_total) * RATE_UNIT / SWEEP_MS;
  a->last_ended_total = total;
  a->completed_milli_per_s
      = (uint32_t)((a->completed_milli_per_s * (RATE_SMOOTHING - 1ULL) + rate)
                   / RATE_SMOOTHING);
}

static void
on_sweep (uv_timer_t *t)
{
  struct wy_agent *a = t->data;
  int64_t now_ms = wy_agent_now_ms (a);

  check_clock_step (a, now_ms);
  measure_rate (a);
  wy_agent_target_end_silent (a, now_ms);
  wy_agent_runs_sweep (a, now_ms);
  if (!a->ready_reported && wy_agent_is_ready (a))
    {
      a->ready_reported = true;
      wy_trace_event (a->trace, "process.ready", NULL);
    }
  wy_agent_drain_sweep (a, now_ms);
}

static void
init_state (struct wy_agent *a)
{
  struct wy_at_most_once_options once
      = { .now_ms = wy_clock_wall_ms (a->clock),
          .clock_skew_ms = (uint32_t)a->s->clock_skew_ms,
          .cold_window_ms = (uint32_t)a->s->cold_window_ms,
          .roster_trust_ms = (uint32_t)a->s->roster_trust_ms,
          .ids_max = (uint32_t)a->s->remembered_ids };
  struct wy_config_feed_options feed = { .loop = a->loop,
                                         .clock = a->clock,
                                         .trace = a->trace,
                                         .on_change = on_config,
                                         .ctx = a };

  a->once = wy_at_most_once_new (&once);
  a->fences = wy_fences_new ();
  a->runs = g_hash_table_new (g_str_hash, g_str_equal);
  a->feed = wy_config_feed_new (&feed);
  a->clock_offset_ms = once.now_ms - wy_agent_now_ms (a);
  g_queue_init (&a->links);
  g_queue_init (&a->open);
  g_queue_init (&a->ended);
  g_queue_init (&a->orders);
}

static int
open_ports (struct wy_agent *a)
{
  int err = wy_agent_weight_relay_start (a);

  if (!err)
    err = wy_agent_http_start (a);
  if (!err)
    err = wy_agent_links_start (a);
  return err;
}

/* Start the agent described by O and store it in OUT.  It exists until the
   process ends.  Returns 0 or a negative error code.  */
int
wy_agent_new (struct wy_agent **out, const struct wy_agent_options *o)
{
  struct wy_agent *a = g_new0 (struct wy_agent, 1);
  int err;

  a->loop = o->loop;
  a->clock = o->clock;
  a->s = o->settings;
  a->trace = o->trace;
  a->metrics = o->metrics;
  a->on_stopped = o->on_stopped;
  a->ctx = o->ctx;
  err = parse_keys (a);
  if (err)
    {
      g_free (a);
      return err;
    }
  set_identity (a);
  wy_agent_register_metrics (a);
  init_state (a);
  a->client = wy_http_client_new (a->loop, CLIENT_SILENCE_MS);
  wy_http_client_count_malformed (a->client, a->n.malformed_responses);
  wy_agent_dispatch_start (a);
  uv_timer_init (a->loop, &a->sweep_timer);
  a->sweep_timer.data = a;
  err = open_ports (a);
  if (err)
    return err;
  uv_timer_start (&a->sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
  wy_agent_target_start (a);
  *out = a;
  return 0;
}

/* Return the port that entries connect to.  */
uint16_t
wy_agent_port (const struct wy_agent *a)
{
  return wy_listener_port (a->listener);
}

/* Return the port for metrics and health checks.  */
uint16_t
wy_agent_http_port (const struct wy_agent *a)
{
  return wy_http_server_port (a->http);
}
