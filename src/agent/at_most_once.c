/* Whether a non-idempotent request may run here.

   Each such request has one home among the members that the configuration
   names for its issue time.  The home's memory of identifiers keeps it from
   running twice within an incarnation; what the memory can't vouch for, an
   earlier incarnation or entries that were evicted, is shut out by issue time
   (Liskov, Shrira, Wroclawski: Efficient at-most-once messages based on
   synchronized clocks, 1991).  No store is asked, so filings go on while it
   is down.  "Not run" is said only when proven, and then made true for good:
   a sending that was under way when it was said is turned away when it
   arrives.

   The clocks of our processes differ by at most clock_skew_ms.  Those of
   callers, who may make the keys, needn't.  */
#include "agent/at_most_once.h"

#include <glib.h>

enum
{
  CLOCK_SKEW_MS = 500,
  COLD_WINDOW_MS = 15 * 60 * 1000,
  ROSTER_TRUST_MS = 75 * 60 * 1000,
  /* At 100 filings a second on one target, twenty minutes of memory and
     about 13 MB.  */
  IDS_MAX = 131072
};

struct entry
{
  uint64_t id;
  int64_t issued_ms;
  int64_t at_ms;
  bool started;
  bool ended;
  GList link; /* in order */
};

struct wy_once
{
  struct wy_once_options o;
  GHashTable *entries; /* of struct entry, by id */
  GQueue order;        /* oldest first */
  /* Issued at or before it: may have run unseen.  */
  int64_t floor_ms;
  /* Keys without an issue time may have run unseen until then.  */
  int64_t opaque_until_ms;
  /* Sent at or before it: "not run" may have been said since.  */
  int64_t sent_floor_ms;
  /* "Too new" proves nothing before: an earlier incarnation with a faster
     clock may have taken the key.  */
  int64_t vouches_from_ms;
  bool has_members;
  struct wy_once_members members;
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

/* An empty memory of an incarnation that begins at O->now_ms.

   An earlier incarnation took keys issued up to a skew ahead of its clock,
   which itself was up to a skew ahead of ours: so far reaches the first
   floor.  */
struct wy_once *
wy_once_new (const struct wy_once_options *options)
{
  struct wy_once *o = g_new0 (struct wy_once, 1);

  o->o = *options;
  o->o.clock_skew_ms = or_default (o->o.clock_skew_ms, CLOCK_SKEW_MS);
  o->o.cold_window_ms = or_default (o->o.cold_window_ms, COLD_WINDOW_MS);
  o->o.roster_trust_ms = or_default (o->o.roster_trust_ms, ROSTER_TRUST_MS);
  o->o.ids_max = or_default (o->o.ids_max, IDS_MAX);
  o->entries = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_queue_init (&o->order);
  wy_once_clock_stepped (o, options->now_ms);
  return o;
}

/* Forget all.  */
void
wy_once_free (struct wy_once *o)
{
  struct entry *e;

  if (!o)
    return;
  g_hash_table_destroy (o->entries);
  while ((e = o->order.head ? o->order.head->data : NULL))
    {
      g_queue_unlink (&o->order, &e->link);
      g_free (e);
    }
  g_free (o);
}

/* This process can't tell what was issued before NOW_MS by its clock: it has
   just begun, or its clock was set anew, which makes old and new times
   incomparable.  */
void
wy_once_clock_stepped (struct wy_once *o, int64_t now_ms)
{
  int64_t skew = o->o.clock_skew_ms;

  raise_to (&o->floor_ms, now_ms + 2 * skew);
  raise_to (&o->opaque_until_ms, now_ms + o->o.cold_window_ms);
  raise_to (&o->vouches_from_ms, now_ms + skew);
  /* An earlier incarnation may have said "not run" of what is still under
     way.  */
  raise_to (&o->sent_floor_ms, now_ms + skew);
}

/* The configuration M is in force here.  Keys issued before its members took
   effect belong to the list before, and keys issued before that one took
   effect to a list that the configuration no longer tells.  When this process
   saw every revision, it knows that time; else there may have been a change
   that it never saw, at any time up to now.  */
void
wy_once_learn (struct wy_once *o, const struct wy_once_members *m,
               int64_t now_ms)
{
  const struct wy_once_members *old = &o->members;
  int64_t from_ms = now_ms + o->o.clock_skew_ms;

  if (o->has_members && m->effective_ms == old->effective_ms
      && m->digest == old->digest)
    from_ms = 0;
  else if (o->has_members && m->revision == old->revision + 1)
    from_ms = old->effective_ms;
  raise_to (&o->floor_ms, from_ms);
  raise_to (&o->opaque_until_ms, from_ms + o->o.cold_window_ms);
  o->has_members = true;
  o->members = *m;
}

static struct entry *
find (const struct wy_once *o, uint64_t id)
{
  gint64 key = (gint64)id;

  return g_hash_table_lookup (o->entries, &key);
}

/* Drop the oldest entry.  What it stood for is shut out by time from now
   on.  */
static void
evict (struct wy_once *o)
{
  struct entry *e = o->order.head->data;

  if (!e->started)
    raise_to (&o->sent_floor_ms, e->at_ms + o->o.clock_skew_ms);
  else if (e->issued_ms == 0)
    raise_to (&o->opaque_until_ms, e->at_ms + o->o.cold_window_ms);
  else
    raise_to (&o->floor_ms, e->issued_ms);
  g_hash_table_remove (o->entries, &e->id);
  g_queue_unlink (&o->order, &e->link);
  g_free (e);
}

static void
note (struct wy_once *o, const struct wy_once_ask *a, bool started)
{
  struct entry *e = find (o, a->id);

  if (e)
    g_queue_unlink (&o->order, &e->link);
  else
    {
      e = g_new0 (struct entry, 1);
      e->id = a->id;
      e->link.data = e;
      g_hash_table_insert (o->entries, &e->id, e);
    }
  e->issued_ms = a->issued_ms;
  e->at_ms = a->now_ms;
  e->started = e->started || started;
  g_queue_push_tail_link (&o->order, &e->link);
  while (o->order.length > o->o.ids_max)
    evict (o);
}

/* The request of A is about to run.  */
void
wy_once_started (struct wy_once *o, const struct wy_once_ask *a)
{
  note (o, a, true);
}

/* "Not run" is about to be said of the request of A, which has not.  */
void
wy_once_denied (struct wy_once *o, const struct wy_once_ask *a)
{
  note (o, a, false);
}

/* The request ID has run to its end.  */
void
wy_once_ended (struct wy_once *o, uint64_t id)
{
  struct entry *e = find (o, id);

  if (e)
    e->ended = true;
}

/* Tell whether ID ran to its end here, as far as memory reaches.  One that
   began and broke off may have run or not.  */
bool
wy_once_has_ended (const struct wy_once *o, uint64_t id)
{
  const struct entry *e = find (o, id);

  return e && e->ended;
}

/* Members take effect no sooner than roster_trust_ms after the change was
   made.  So whoever has not learnt of a change is still right about keys
   issued until then, counted from the time at which its own configuration was
   last known to be the newest.  That time was read from another clock.  */
static bool
config_reaches (const struct wy_once *o, const struct wy_once_ask *a)
{
  int64_t issued = a->issued_ms ? a->issued_ms : a->now_ms;

  return a->config_confirmed_ms > 0
         && issued + o->o.clock_skew_ms
                < a->config_confirmed_ms + o->o.roster_trust_ms;
}

/* Whether a key without an issue time may have run where or when this memory
   doesn't reach.  */
static bool
opaque_too_old (const struct wy_once *o, const struct wy_once_ask *a)
{
  if (a->now_ms < o->opaque_until_ms)
    return true;
  return a->moved
         && a->now_ms < a->effective_ms + (int64_t)o->o.cold_window_ms;
}

/* Whether the sending of A may have been under way when "not run" was said
   at AT_MS.  */
static bool
sent_before (const struct wy_once *o, const struct wy_once_ask *a,
             int64_t at_ms)
{
  return a->sent_ms && a->sent_ms <= at_ms + o->o.clock_skew_ms;
}

static struct wy_once_answer
answer (enum wy_once_verdict verdict, bool not_run)
{
  struct wy_once_answer r = { verdict, not_run };

  return r;
}

/* Judge the sending A.  The caller then tells wy_once_started or
   wy_once_denied, before it acts.  */
struct wy_once_answer
wy_once_ask (struct wy_once *o, const struct wy_once_ask *a)
{
  const struct entry *e = find (o, a->id);
  /* A key without an issue time may have run before the cold window.  */
  bool proven = a->issued_ms != 0;

  if (e && e->started)
    return answer (WY_ONCE_SEEN, false);
  if (!config_reaches (o, a))
    return answer (WY_ONCE_NO_CONFIG, false);
  if (!a->home)
    return answer (WY_ONCE_NOT_HOME, false);
  if (a->issued_ms ? a->issued_ms <= o->floor_ms : opaque_too_old (o, a))
    return answer (WY_ONCE_TOO_OLD, false);
  if (a->issued_ms > a->now_ms + o->o.clock_skew_ms)
    return answer (WY_ONCE_TOO_NEW, a->now_ms >= o->vouches_from_ms);
  if ((e && sent_before (o, a, e->at_ms))
      || (a->sent_ms && a->sent_ms <= o->sent_floor_ms))
    return answer (WY_ONCE_AGAIN, proven);
  return answer (WY_ONCE_RUN, proven);
}
