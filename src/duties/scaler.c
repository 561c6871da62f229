/* Orders for the number of replicas, while the lease of the duties is held.

   What was ordered cannot be read back, so a new holder starts from the
   replicas that are listed and orders anew.  */
#include "duties/scaler.h"

#include <string.h>

#include <glib.h>

#include "trace/json_log.h"

enum
{
  TICK_MS = 500
};

struct subject
{
  char *service;
  char *availability_zone;
  struct wy_scaling state;
  uint32_t ordered; /* 0: nothing under this lease */
};

struct wy_scaler
{
  struct wy_scaler_options o;
  GHashTable *subjects; /* struct subject by "service/zone" */
  uv_timer_t tick;
  bool calling;
  uint32_t calling_for; /* replicas in the call under way */
  char *calling_key;
  uint64_t orders;
  bool freed;
};

static void
free_subject (gpointer p)
{
  struct subject *s = p;

  g_free (s->service);
  g_free (s->availability_zone);
  g_free (s);
}

static void
on_called (void *ctx, enum wy_duty_outcome outcome, int status)
{
  struct wy_scaler *s = ctx;
  struct subject *j
      = s->freed ? NULL : g_hash_table_lookup (s->subjects, s->calling_key);

  s->calling = false;
  if (!j)
    return;
  wy_json_log ("scale.ordered",
               "service=%s zone=%s replicas=%u outcome=%s status=%d",
               j->service, j->availability_zone, s->calling_for,
               wy_duty_outcome_name (outcome), status);
  /* A rejected order would be rejected again until the number changes.  */
  if (outcome == WY_DUTY_DONE || outcome == WY_DUTY_REJECTED)
    j->ordered = s->calling_for;
  s->orders += outcome == WY_DUTY_DONE;
}

static void
order (struct wy_scaler *s, const char *key, const struct subject *j)
{
  char *body
      = wy_scale_body (j->service, j->availability_zone, j->state.desired);

  if (wy_duty_call (s->o.calls, WY_SCALE_TARGET, body, strlen (body),
                    on_called, s))
    {
      s->calling = true;
      s->calling_for = j->state.desired;
      g_free (s->calling_key);
      s->calling_key = g_strdup (key);
    }
  g_free (body);
}

static void
look_at (void *arg, const struct wy_scaler_input *v)
{
  struct wy_scaler *s = arg;
  char *key = g_strdup_printf ("%s/%s", v->service, v->availability_zone);
  struct subject *j = g_hash_table_lookup (s->subjects, key);
  uint32_t before;

  if (!j)
    {
      j = g_new0 (struct subject, 1);
      j->service = g_strdup (v->service);
      j->availability_zone = g_strdup (v->availability_zone);
      j->state.desired = v->replicas;
      j->ordered = v->replicas;
      g_hash_table_insert (s->subjects, g_strdup (key), j);
    }
  before = j->state.desired;
  wy_scaling_next (&j->state, &v->load, wy_clock_mono_ms (s->o.clock));
  if (j->state.desired != before)
    wy_json_log (
        "scale.decided",
        "service=%s zone=%s before=%u replicas=%u listed=%u busy=%.2f "
        "slots=%u complete=%d",
        v->service, v->availability_zone, before, j->state.desired,
        v->replicas, v->load.busy_slots, v->load.slots, v->load.all_reported);
  if (j->state.desired != j->ordered && !s->calling)
    order (s, key, j);
  g_free (key);
}

static void
on_tick (uv_timer_t *t)
{
  struct wy_scaler *s = t->data;

  if (wy_election_is_leader (s->o.election))
    s->o.for_each (s->o.ctx, look_at, s);
}

/* The lease is held from now on: what the holder before has ordered is not
   known.  */
void
wy_scaler_on_elected (struct wy_scaler *s)
{
  g_hash_table_remove_all (s->subjects);
}

/* Order replicas as O says.  */
struct wy_scaler *
wy_scaler_new (const struct wy_scaler_options *o)
{
  struct wy_scaler *s = g_new0 (struct wy_scaler, 1);

  s->o = *o;
  s->subjects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_subject);
  uv_timer_init (o->loop, &s->tick);
  s->tick.data = s;
  uv_timer_start (&s->tick, on_tick, TICK_MS, TICK_MS);
  return s;
}

/* Stop.  The memory of S stays, since a call of it may be under way.  */
void
wy_scaler_free (struct wy_scaler *s)
{
  s->freed = true;
  uv_close ((uv_handle_t *)&s->tick, NULL);
}

/* Number of orders that the platform has taken.  */
uint64_t
wy_scaler_accepted (const struct wy_scaler *s)
{
  return s->orders;
}
