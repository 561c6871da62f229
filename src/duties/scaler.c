/* Sends the platform orders for the number of replicas, while this instance is
   the leader.

   The platform can't be asked which number was ordered last, so a new leader
   starts from the number of listed replicas.  */
#include "duties/scaler.h"

#include <string.h>

#include <glib.h>

#include "trace/json_log.h"

enum
{
  TICK_MS = 500
};

struct scaled_service
{
  char *service;
  char *availability_zone;
  struct wy_scaling state;
  uint32_t ordered; /* last number ordered, or listed at first */
};

struct wy_scaler
{
  struct wy_scaler_options o;
  GHashTable *services; /* struct scaled_service by "service/zone" */
  uv_timer_t tick;
  bool call_pending;
  uint32_t call_replicas; /* replicas in the call in progress */
  char *call_key;
  uint64_t accepted; /* orders that the platform accepted */
  bool freed;
};

static void
free_service (gpointer p)
{
  struct scaled_service *s = p;

  g_free (s->service);
  g_free (s->availability_zone);
  g_free (s);
}

static void
on_call_done (void *ctx, enum wy_duty_outcome outcome, int status)
{
  struct wy_scaler *s = ctx;
  struct scaled_service *sv
      = s->freed ? NULL : g_hash_table_lookup (s->services, s->call_key);

  s->call_pending = false;
  if (!sv)
    return;
  wy_json_log ("scale.ordered",
               "service=%s zone=%s replicas=%u outcome=%s status=%d",
               sv->service, sv->availability_zone, s->call_replicas,
               wy_duty_outcome_name (outcome), status);
  /* The platform would reject the same number again.  */
  if (outcome == WY_DUTY_DONE || outcome == WY_DUTY_REJECTED)
    sv->ordered = s->call_replicas;
  s->accepted += outcome == WY_DUTY_DONE;
}

static void
send_order (struct wy_scaler *s, const char *key,
            const struct scaled_service *sv)
{
  char *body
      = wy_scale_body (sv->service, sv->availability_zone, sv->state.desired);

  if (wy_duty_call (s->o.calls, WY_SCALE_TARGET, body, strlen (body),
                    on_call_done, s))
    {
      s->call_pending = true;
      s->call_replicas = sv->state.desired;
      g_free (s->call_key);
      s->call_key = g_strdup (key);
    }
  g_free (body);
}

static void
update_service (void *arg, const struct wy_scaler_input *v)
{
  struct wy_scaler *s = arg;
  char *key = g_strdup_printf ("%s/%s", v->service, v->availability_zone);
  struct scaled_service *sv = g_hash_table_lookup (s->services, key);
  uint32_t before;

  if (!sv)
    {
      sv = g_new0 (struct scaled_service, 1);
      sv->service = g_strdup (v->service);
      sv->availability_zone = g_strdup (v->availability_zone);
      sv->state.desired = v->replicas;
      sv->ordered = v->replicas;
      g_hash_table_insert (s->services, g_strdup (key), sv);
    }
  before = sv->state.desired;
  wy_scaling_next (&sv->state, &v->load, wy_clock_mono_ms (s->o.clock));
  if (sv->state.desired != before)
    wy_json_log (
        "scale.decided",
        "service=%s zone=%s before=%u replicas=%u listed=%u busy=%.2f "
        "slots=%u complete=%d",
        v->service, v->availability_zone, before, sv->state.desired,
        v->replicas, v->load.busy_slots, v->load.slots, v->load.all_reported);
  if (sv->state.desired != sv->ordered && !s->call_pending)
    send_order (s, key, sv);
  g_free (key);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_scaler *s = t->data;

  if (wy_election_is_leader (s->o.election))
    s->o.for_each (s->o.ctx, update_service, s);
}

/* This instance has become the leader.  Discards the state of an earlier term,
   since other leaders may have ordered since.  */
void
wy_scaler_on_elected (struct wy_scaler *s)
{
  g_hash_table_remove_all (s->services);
}

/* Create a scaler with options O.  */
struct wy_scaler *
wy_scaler_new (const struct wy_scaler_options *o)
{
  struct wy_scaler *s = g_new0 (struct wy_scaler, 1);

  s->o = *o;
  s->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_service);
  uv_timer_init (o->loop, &s->tick);
  s->tick.data = s;
  uv_timer_start (&s->tick, on_tick, TICK_MS, TICK_MS);
  return s;
}

/* Stop.  S itself is not freed, since a call may be in progress.  */
void
wy_scaler_free (struct wy_scaler *s)
{
  s->freed = true;
  uv_close ((uv_handle_t *)&s->tick, NULL);
}

/* Number of orders that the platform has accepted.  */
uint64_t
wy_scaler_accepted (const struct wy_scaler *s)
{
  return s->accepted;
}
