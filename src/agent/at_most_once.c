/* Decides whether a non-idempotent request may run here.

   Each such request has one home among the members that the configuration
   lists for its issue time.  The home remembers request identifiers, so that a
   request doesn't run twice within an incarnation.  Requests that the memory
   doesn't cover, because an earlier incarnation may have run them or their
   records were evicted, are rejected by issue time (Liskov, Shrira,
   Wroclawski: Efficient at-most-once messages based on synchronized clocks,
   1991).  No store is needed, so such requests run while the store is down.
   "Not run" is reported only when proven, and stays true: an attempt that was
   in transit when it was reported is rejected on arrival.

   The clocks of the processes of the system differ by at most clock_skew_ms.
   The clocks of callers, who may create the keys, may differ by more.  */
#include "agent/at_most_once.h"

#include <glib.h>

enum
{
  CLOCK_SKEW_MS = 500,
  COLD_WINDOW_MS = 15 * 60 * 1000,
  ROSTER_TRUST_MS = 75 * 60 * 1000,
  /* At 100 requests per second on one target: twenty minutes, about 13 MB.  */
  IDS_MAX = 131072
};

struct record
{
  uint64_t id;
  int64_t issued_ms;
  int64_t recorded_ms;
  bool started;
  bool completed;
  GList link; /* in the order of recorded_ms */
};

struct wy_at_most_once
{
  struct wy_at_most_once_options o;
  GHashTable *records; /* struct record by id */
  GQueue order;        /* struct record, oldest first */
  /* A request issued at or before it may have run unrecorded.  */
  int64_t issued_floor_ms;
  /* Until then, keys without an issue time may have run unrecorded.  */
  int64_t untimed_until_ms;
  /* For an attempt sent at or before it, "not run" may have been reported
     since.  */
  int64_t sent_floor_ms;
  /* Before it, a request that is too new may have run: an earlier incarnation
     with a faster clock may have accepted the key.  */
  int64_t not_run_proven_from_ms;
  bool has_members;
  struct wy_at_most_once_members members;
};

static uint32_t
or_default (uint32_t v, uint32_t dflt)
{
  return v ? v : dflt;
}

static void
raise_to (int64_t *v, int64_t floor)
{
  if (floor > *v)
    *v = floor;
}

/* Create an empty memory for an incarnation that starts at OPTIONS->now_ms.

   An earlier incarnation accepted keys issued up to clock_skew_ms ahead of its
   clock, which could itself be clock_skew_ms ahead of this one, so the first
   issued_floor_ms is two times clock_skew_ms in the future.  */
struct wy_at_most_once *
wy_at_most_once_new (const struct wy_at_most_once_options *options)
{
  struct wy_at_most_once *o = g_new0 (struct wy_at_most_once, 1);

  o->o = *options;
  o->o.clock_skew_ms = or_default (o->o.clock_skew_ms, CLOCK_SKEW_MS);
  o->o.cold_window_ms = or_default (o->o.cold_window_ms, COLD_WINDOW_MS);
  o->o.roster_trust_ms = or_default (o->o.roster_trust_ms, ROSTER_TRUST_MS);
  o->o.ids_max = or_default (o->o.ids_max, IDS_MAX);
  o->records = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&o->order);
  wy_at_most_once_clock_stepped (o, options->now_ms);
  return o;
}

/* Free O; NULL is allowed.  */
void
wy_at_most_once_free (struct wy_at_most_once *o)
{
  struct record *e;

  if (!o)
    return;
  g_hash_table_destroy (o->records);
  while ((e = o->order.head ? o->order.head->data : NULL))
    {
      g_queue_unlink (&o->order, &e->link);
      g_free (e);
    }
  g_free (o);
}

/* Reject requests issued before NOW_MS, the current wall-clock time.  Called
   when the process starts or its clock was set, since old and new times can't
   be compared then.  */
void
wy_at_most_once_clock_stepped (struct wy_at_most_once *o, int64_t now_ms)
{
  int64_t skew = o->o.clock_skew_ms;

  raise_to (&o->issued_floor_ms, now_ms + 2 * skew);
  raise_to (&o->untimed_until_ms, now_ms + o->o.cold_window_ms);
  raise_to (&o->not_run_proven_from_ms, now_ms + skew);
  /* An earlier incarnation may have reported "not run" for an attempt that is
     still in transit.  */
  raise_to (&o->sent_floor_ms, now_ms + skew);
}

/* Apply the member list M of a new configuration.  Keys issued before M took
   effect belong to the previous list, and keys issued before that one took
   effect to a list that the configuration no longer contains.  If this process
   received every revision, the time when the previous list took effect is
   known.  Otherwise there may have been a change that it never received, at
   any time up to now.  */
void
wy_at_most_once_set_members (struct wy_at_most_once *o,
                             const struct wy_at_most_once_members *m,
                             int64_t now_ms)
{
  const struct wy_at_most_once_members *old = &o->members;
  int64_t from_ms = now_ms + o->o.clock_skew_ms;

  if (o->has_members && m->effective_ms == old->effective_ms
      && m->digest == old->digest)
    from_ms = 0;
  else if (o->has_members && m->revision == old->revision + 1)
    from_ms = old->effective_ms;
  raise_to (&o->issued_floor_ms, from_ms);
  raise_to (&o->untimed_until_ms, from_ms + o->o.cold_window_ms);
  o->has_members = true;
  o->members = *m;
}

static struct record *
find (const struct wy_at_most_once *o, uint64_t id)
{
  gint64 key = (gint64)id;

  return g_hash_table_lookup (o->records, &key);
}

/* Evict the oldest record.  Requests it covered are rejected by time from now
   on.  */
static void
evict (struct wy_at_most_once *o)
{
  struct record *e = o->order.head->data;

  if (!e->started)
    raise_to (&o->sent_floor_ms, e->recorded_ms + o->o.clock_skew_ms);
  else if (e->issued_ms == 0)
    raise_to (&o->untimed_until_ms, e->recorded_ms + o->o.cold_window_ms);
  else
    raise_to (&o->issued_floor_ms, e->issued_ms);
  g_hash_table_remove (o->records, &e->id);
  g_queue_unlink (&o->order, &e->link);
  g_free (e);
}

static void
add_record (struct wy_at_most_once *o, const struct wy_at_most_once_attempt *a,
            bool started)
{
  struct record *e = find (o, a->id);

  if (e)
    g_queue_unlink (&o->order, &e->link);
  else
    {
      e = g_new0 (struct record, 1);
      e->id = a->id;
      e->link.data = e;
      g_hash_table_insert (o->records, &e->id, e);
    }
  e->issued_ms = a->issued_ms;
  e->recorded_ms = a->now_ms;
  e->started = e->started || started;
  g_queue_push_tail_link (&o->order, &e->link);
  while (o->order.length > o->o.ids_max)
    evict (o);
}

/* Record that the request of A is about to run.  */
void
wy_at_most_once_started (struct wy_at_most_once *o,
                         const struct wy_at_most_once_attempt *a)
{
  add_record (o, a, true);
}

/* Record that "not run" is about to be reported for the request of A, which
   has not run.  */
void
wy_at_most_once_reported_not_run (struct wy_at_most_once *o,
                                  const struct wy_at_most_once_attempt *a)
{
  add_record (o, a, false);
}

/* Record that the request ID has run to completion.  */
void
wy_at_most_once_completed (struct wy_at_most_once *o, uint64_t id)
{
  struct record *e = find (o, id);

  if (e)
    e->completed = true;
}

/* Whether ID is known to have run to completion here.  A request that started
   and was interrupted may have run or not.  */
bool
wy_at_most_once_has_completed (const struct wy_at_most_once *o, uint64_t id)
{
  const struct record *e = find (o, id);

  return e && e->completed;
}

/* Whether the configuration is recent enough to know the members for A.  A
   member list takes effect roster_trust_ms or later after the change was made.
   So a process that hasn't received a change still knows the right members for
   keys issued until roster_trust_ms after its configuration was last confirmed
   as the newest.  The confirmation time was read from another clock.  */
static bool
config_covers (const struct wy_at_most_once *o,
               const struct wy_at_most_once_attempt *a)
{
  int64_t issued = a->issued_ms ? a->issued_ms : a->now_ms;

  return a->config_confirmed_ms > 0
         && issued + o->o.clock_skew_ms
                < a->config_confirmed_ms + o->o.roster_trust_ms;
}

/* Whether a key without an issue time may have run on another target or before
   this memory began.  */
static bool
untimed_too_old (const struct wy_at_most_once *o,
                 const struct wy_at_most_once_attempt *a)
{
  if (a->now_ms < o->untimed_until_ms)
    return true;
  return a->home_changed
         && a->now_ms < a->effective_ms + (int64_t)o->o.cold_window_ms;
}

/* Whether the attempt A may have been in transit when "not run" was reported
   at RECORDED_MS.  */
static bool
sent_before (const struct wy_at_most_once *o,
             const struct wy_at_most_once_attempt *a, int64_t recorded_ms)
{
  return a->sent_ms && a->sent_ms <= recorded_ms + o->o.clock_skew_ms;
}

static struct wy_at_most_once_decision
decision (enum wy_at_most_once_verdict verdict, bool not_run)
{
  struct wy_at_most_once_decision r = { verdict, not_run };

  return r;
}

/* Decide whether the attempt A may run.  The caller must then call
   wy_at_most_once_started before it runs the request, or
   wy_at_most_once_reported_not_run before it reports that the request has not
   run.  */
struct wy_at_most_once_decision
wy_at_most_once_check (struct wy_at_most_once *o,
                       const struct wy_at_most_once_attempt *a)
{
  const struct record *e = find (o, a->id);
  /* A key without an issue time may have run before the cold window.  */
  bool proven = a->issued_ms != 0;

  if (e && e->started)
    return decision (WY_AT_MOST_ONCE_DUPLICATE, false);
  if (!config_covers (o, a))
    return decision (WY_AT_MOST_ONCE_NO_CONFIG, false);
  if (!a->is_home)
    return decision (WY_AT_MOST_ONCE_NOT_HOME, false);
  if (a->issued_ms ? a->issued_ms <= o->issued_floor_ms
                   : untimed_too_old (o, a))
    return decision (WY_AT_MOST_ONCE_TOO_OLD, false);
  if (a->issued_ms > a->now_ms + o->o.clock_skew_ms)
    return decision (WY_AT_MOST_ONCE_TOO_NEW,
                     a->now_ms >= o->not_run_proven_from_ms);
  if ((e && sent_before (o, a, e->recorded_ms))
      || (a->sent_ms && a->sent_ms <= o->sent_floor_ms))
    return decision (WY_AT_MOST_ONCE_DELAYED, proven);
  return decision (WY_AT_MOST_ONCE_RUN, proven);
}
