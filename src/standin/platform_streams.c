/* Callers of the platform stand-in on routes that are not plain and
   idempotent: streams that can be resumed, and requests that may run once.

   The events of a stream name the run that sent them, so a text joined from
   two runs shows.  Their replicas have faults of their own, drawn from the
   seed: slow, failed, cut and silent runs, and events that arrive in parts. */
#include "standin/platform.h"

#include <stdio.h>
#include <string.h>

#include "decide/attempt.h"

enum
{
  STREAM_INTERVAL_MS = 50,
  ONCE_INTERVAL_MS = 120,
  EVENT_MS = 15,
  FAULT_ONE_IN = 2,
  FAULTY_RUNS_MAX = 8,
  LATE_MIN_MS = 40,
  LATE_MAX_MS = 250,
  DURATION_MIN_MS = 300,
  DURATION_MAX_MS = 2000,
  STATUS_OK = 200,
  ID_SIZE_BYTES = 48,
  RUN_SIZE_BYTES = 48
};

static uv_timer_t stream_timer;
static uv_timer_t once_timer;

/* An event that a caller has received.  */
struct piece
{
  int number;
  char run[RUN_SIZE_BYTES];
  int after; /* the event that the run was asked to continue after */
};

static bool
parse_piece (const char *event, struct piece *out)
{
  const char *data = strstr (event, "data: ");

  return data
         && sscanf (data, "data: piece-%d of %47s after %d", &out->number,
                    out->run, &out->after)
                == 3;
}

/* Check that NEXT may follow LAST, which is zeroed before the first one.  */
static void
check_piece (const struct wy_platform_call *c, const struct piece *last,
             const struct piece *next)
{
  if (next->number != last->number + 1)
    wy_platform_violation (c->platform,
                           "stream-%u: event %d comes after event %d",
                           c->number, next->number, last->number);
  else if (strcmp (next->run, last->run) != 0 && next->after != last->number)
    wy_platform_violation (
        c->platform,
        "stream-%u: event %d of run %s, which was asked to continue after "
        "%d, follows event %d of run %s",
        c->number, next->number, next->run, next->after, last->number,
        last->run);
}

/* Check the complete events of C.  Returns the number of the last one.  */
static int
check_pieces (const struct wy_platform_call *c)
{
  struct piece last = { 0 };
  char **events = g_strsplit (c->body->str, "\n\n", -1);

  for (char **e = events; e[0] && e[1]; e++)
    {
      struct piece next = { 0 };

      if (!parse_piece (*e, &next))
        wy_platform_violation (c->platform, "stream-%u: no event: %.60s",
                               c->number, *e);
      check_piece (c, &last, &next);
      c->platform->streams.resumed
          += last.number && strcmp (next.run, last.run) != 0;
      last = next;
    }
  g_strfreev (events);
  return last.number;
}

static void
on_stream_done (struct wy_platform_call *c, int err)
{
  struct wy_platform_streams *s = &c->platform->streams;
  int last;

  if (c->status != STATUS_OK)
    return;
  last = check_pieces (c);
  if (err)
    return;
  if (last != WY_PLATFORM_EVENTS)
    wy_platform_violation (c->platform,
                           "stream-%u: ended as complete after event %d",
                           c->number, last);
  s->complete++;
  s->calm_complete += c->faults_over;
}

static void
on_stream_timer (uv_timer_t *t)
{
  struct wy_platform *p = t->data;
  struct wy_platform_call *c;
  char id[ID_SIZE_BYTES];

  if (p->ending || p->in_crash_phase)
    return;
  snprintf (id, sizeof id, WY_PLATFORM_STREAM_ID "%u", p->streams.sent);
  c = wy_platform_call (p, "POST", WY_PLATFORM_STREAMS "x", id, "stream");
  c->number = p->streams.sent++;
  c->faults_over = p->faults_over;
  p->streams.calm_sent += p->faults_over;
  c->on_done = on_stream_done;
}

/* REQUEST, which may run once, runs.  */
static void
once_ran (struct wy_platform *p, const char *request)
{
  if (!g_hash_table_add (p->streams.ran, g_strdup (request)))
    wy_platform_violation (p, "%s ran twice", request);
}

static void
on_once_done (struct wy_platform_call *c, int err)
{
  char id[ID_SIZE_BYTES];

  snprintf (id, sizeof id, WY_PLATFORM_ONCE_ID "%u", c->number);
  wy_platform_record_response (c, id, err);
  if (!err && wy_attempt_status_implies_not_run (c->status))
    g_hash_table_add (c->platform->streams.ran, g_strdup (id));
}

static void
on_once_timer (uv_timer_t *t)
{
  struct wy_platform *p = t->data;
  struct wy_platform_call *c;
  char id[ID_SIZE_BYTES];

  if (p->ending || p->in_crash_phase)
    return;
  snprintf (id, sizeof id, WY_PLATFORM_ONCE_ID "%u", p->streams.once_sent);
  wy_trace_event (p->standin->trace, "caller.sent", "{s:s}", "key", id);
  c = wy_platform_call (p, "POST", WY_PLATFORM_ONCE "x", id, id);
  c->number = p->streams.once_sent++;
  c->on_done = on_once_done;
}

/* REQUEST runs at a replica.  */
void
wy_platform_streams_ran (struct wy_platform *p, const char *request)
{
  if (g_str_has_prefix (request, WY_PLATFORM_ONCE_ID))
    once_ran (p, request);
}

/* Start the replicas of streams.  Returns false if one gets no port.  */
bool
wy_platform_streams_open (struct wy_platform *p)
{
  struct wy_platform_replica_options o = { .loop = p->standin->loop,
                                           .slots = WY_PLATFORM_SLOTS,
                                           .events = WY_PLATFORM_EVENTS,
                                           .event_ms = EVENT_MS,
                                           .model = WY_PLATFORM_MODEL,
                                           .names_runs = true };

  for (int i = 0; i < WY_PLATFORM_TALKERS; i++)
    {
      o.id = g_strdup_printf ("talker-%d", i);
      p->streams.replicas[i] = wy_platform_replica_new (&o);
      if (!p->streams.replicas[i])
        return false;
    }
  return true;
}

/* Start the callers, which send requests until the platform ends.  */
void
wy_platform_streams_start (struct wy_platform *p)
{
  p->streams.ran
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  wy_rng_seed (&p->streams.rng, (uint64_t)p->standin->common->seed);
  uv_timer_init (p->standin->loop, &stream_timer);
  stream_timer.data = p;
  uv_timer_start (&stream_timer, on_stream_timer, STREAM_INTERVAL_MS,
                  STREAM_INTERVAL_MS);
  uv_timer_init (p->standin->loop, &once_timer);
  once_timer.data = p;
  uv_timer_start (&once_timer, on_once_timer, ONCE_INTERVAL_MS,
                  ONCE_INTERVAL_MS);
}

static uint32_t
random_between (struct wy_platform *p, uint32_t low, uint32_t high)
{
  return low + wy_rng_below (&p->streams.rng, high - low + 1);
}

static void
inject_fault (struct wy_platform *p, int i, uint64_t age_ms)
{
  struct wy_platform_replica_faults *f
      = wy_platform_replica_faults (p->streams.replicas[i]);
  uint32_t n = random_between (p, 1, FAULTY_RUNS_MAX);

  switch (random_between (p, 0, 8))
    {
    case 0:
      f->respond_500 = n;
      break;
    case 1:
      f->late_streams = n;
      f->late_ms = random_between (p, LATE_MIN_MS, LATE_MAX_MS);
      break;
    case 2:
      f->split_streams = n;
      break;
    case 3:
      f->abort_streams = n;
      f->abort_after_events = random_between (p, 1, WY_PLATFORM_EVENTS);
      break;
    case 4:
      f->stall_streams = 1;
      break;
    case 5:
      f->respond_not_run = n;
      break;
    case 6:
      f->wrong_attempt_id = 1;
      f->respond_malformed = n;
      break;
    case 7:
      f->respond_503_after_run = 1;
      break;
    default:
      f->silent = true;
      p->streams.recovers_ms[i]
          = age_ms + random_between (p, DURATION_MIN_MS, DURATION_MAX_MS);
      break;
    }
}

/* Set the faults of the streams' replicas for AGE_MS after the start of the
   load.  */
void
wy_platform_streams_update_faults (struct wy_platform *p, uint64_t age_ms)
{
  bool over = age_ms >= p->random_faults_ms;

  for (int i = 0; i < WY_PLATFORM_TALKERS; i++)
    {
      struct wy_platform_replica_faults *f
          = wy_platform_replica_faults (p->streams.replicas[i]);

      if (over)
        *f = (struct wy_platform_replica_faults){ 0 };
      else if (age_ms >= p->streams.recovers_ms[i])
        f->silent = false;
      if (!over && random_between (p, 1, FAULT_ONE_IN) == 1)
        inject_fault (p, i, age_ms);
    }
}
