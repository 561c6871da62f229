/* Rejections by an entry.

   The state is in memory only: after a restart the constants apply until ends
   have been observed.  Callers that return to another entry are not recognised
   there, so the metrics cover a sample of them.  */
#include "gate/rejections.h"

#include <stdio.h>

enum
{
  /* Jobs end seconds apart, so their rate is averaged over more of them, and
     a pause of a few seconds between two is no failure.  */
  JOBS_PERIOD_MS = 20000,
  JOBS_EXPIRY_MS = 15000,
  /* Time from a probe of the store to the response, and to the caller's
     return.  */
  PROBE_RESPONSE_MS = 50,
  S_PER_MIN = 60
};

struct service_state
{
  struct wy_retry_after retry_after;
  struct wy_service_time time;
};

struct wy_rejections
{
  struct wy_rejections_options o;
  struct wy_rng rng;
  GHashTable *services; /* struct service_state by name */
  struct wy_retry_after jobs;
};

/* Create the state without observations.  */
struct wy_rejections *
wy_rejections_new (const struct wy_rejections_options *o)
{
  struct wy_rejections *r = g_new0 (struct wy_rejections, 1);
  struct wy_retry_after_options jobs
      = { .period_ms = JOBS_PERIOD_MS, .expiry_ms = JOBS_EXPIRY_MS };

  r->o = *o;
  wy_rng_seed (&r->rng, o->seed);
  r->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  wy_retry_after_init (&r->jobs, &jobs);
  return r;
}

/* The state of SERVICE, created on first use.  */
static struct service_state *
find_or_add (struct wy_rejections *r, const char *service)
{
  struct service_state *s = g_hash_table_lookup (r->services, service);

  if (s)
    return s;
  s = g_new0 (struct service_state, 1);
  wy_retry_after_init (&s->retry_after, &(struct wy_retry_after_options){ 0 });
  g_hash_table_insert (r->services, g_strdup (service), s);
  return s;
}

/* The state of SERVICE, or of the jobs if it is NULL.  */
static struct wy_retry_after *
state_of (struct wy_rejections *r, const char *service)
{
  return service ? &find_or_add (r, service)->retry_after : &r->jobs;
}

/* The service times of SERVICE.  */
struct wy_service_time *
wy_rejections_service_time (struct wy_rejections *r, const char *service)
{
  return &find_or_add (r, service)->time;
}

static void
count_told (const struct wy_rejections *r, const char *reason,
            const struct wy_retry_after_time *t)
{
  static const char *const bases[] = { "constant", "rate", "known_end" };
  char *reason_label = wy_metrics_label ("reason", reason);
  char *basis_label = wy_metrics_label ("basis", bases[t->basis]);
  char *labels = g_strjoin (",", reason_label, basis_label, NULL);

  ++*wy_metrics_family_counter (r->o.told, labels);
  wy_hist_add (wy_metrics_family_histogram (r->o.told_us, reason_label),
               (uint64_t)t->ms * WY_US_PER_MS);
  g_free (labels);
  g_free (basis_label);
  g_free (reason_label);
}

/* Time until the store is expected to be reachable again; -1: not known.  */
static int64_t
store_end_ms (const struct wy_rejections *r)
{
  int64_t probe_ms = wy_rows_is_unreachable (r->o.rows)
                         ? wy_rows_next_probe_ms (r->o.rows)
                         : -1;

  return probe_ms < 0 ? -1 : probe_ms + PROBE_RESPONSE_MS;
}

/* The time after which the caller of a request or job that is rejected as O
   describes should return.  */
struct wy_retry_after_time
wy_rejections_tell (struct wy_rejections *r, const struct wy_rejection *o)
{
  struct wy_retry_after_query q
      = { .fingerprint = o->fingerprint,
          .default_ms = o->default_ms,
          .known_end_ms
          = o->ends == WY_REJECTION_ENDS_BY_STORE ? store_end_ms (r) : -1,
          .by_rate = o->ends == WY_REJECTION_ENDS_BY_RATE,
          .least_rate_hz = o->least_rate_hz,
          .not_before_ms = o->not_before_ms,
          .time_left_ms = o->time_left_ms,
          .random = wy_rng_unit (&r->rng) };
  struct wy_retry_after_time t = wy_retry_after_tell (
      state_of (r, o->service), &q, wy_clock_mono_ms (r->o.clock));

  count_told (r, o->reason, &t);
  return t;
}

/* Write the fields of a log line on a rejection to OUT, a buffer of
   WY_REJECTION_FIELDS_SIZE_BYTES.  The rate is in ends per minute, since jobs
   end seconds apart.  Returns OUT.  */
const char *
wy_rejection_fields (const struct wy_retry_after_time *t, char *out)
{
  snprintf (out, WY_REJECTION_FIELDS_SIZE_BYTES,
            "retry_after_ms=%u ahead=%u rate=%.0f", t->ms, t->ahead,
            t->rate_hz * S_PER_MIN);
  return out;
}

/* A request of SERVICE that a replica has run, or a job (NULL), has ended.  */
void
wy_rejections_ended (struct wy_rejections *r, const char *service)
{
  wy_retry_after_ended (state_of (r, service), wy_clock_mono_ms (r->o.clock));
}

/* Whether rejected callers of SERVICE (NULL: of jobs) may still return.  */
bool
wy_rejections_expects_any (const struct wy_rejections *r, const char *service)
{
  const struct service_state *s
      = service ? g_hash_table_lookup (r->services, service) : NULL;
  int64_t now_ms = wy_clock_mono_ms (r->o.clock);

  if (!service)
    return wy_retry_after_expects_any (&r->jobs, now_ms);
  return s && wy_retry_after_expects_any (&s->retry_after, now_ms);
}

/* A request or job with FINGERPRINT has arrived.  Returns whether its caller
   was rejected before.  */
enum wy_return
wy_rejections_returned (struct wy_rejections *r, const char *service,
                        uint64_t fingerprint)
{
  return wy_retry_after_returned (state_of (r, service), fingerprint,
                                  wy_clock_mono_ms (r->o.clock));
}

/* The request or job of a caller that RETURNED after a rejection has ended
   with OUTCOME, which shows the error of the time that it was told.  */
void
wy_rejections_return_ended (struct wy_rejections *r, const char *service,
                            enum wy_return returned, const char *outcome)
{
  static const char *const times[] = { "", "early", "in_time", "late" };
  char *time;
  char *end;
  char *labels;

  if (returned == WY_RETURN_NONE)
    return;
  time = wy_metrics_label ("time", times[returned]);
  end = wy_metrics_label ("outcome", outcome);
  labels = g_strdup_printf ("work=\"%s\",%s,%s", service ? "request" : "job",
                            time, end);
  ++*wy_metrics_family_counter (r->o.returned, labels);
  g_free (labels);
  g_free (end);
  g_free (time);
}
