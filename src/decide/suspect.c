/* Requests that crash the targets that run them.

   A request that crashes each target that runs it would, repeated by its
   caller, crash one replica after another.  It is identified by its key or
   body.  All requests that were running on a target that crashed are suspect:
   they run in isolation from then on, and are rejected once two targets
   crashed while running them.  */
#include "decide/suspect.h"

#include <stddef.h>
#include <string.h>

#include "base/id.h"

/* Callers stop repeating a request well within this time.  It also ends a
   wrong suspicion.  */
#define TTL_MS INT64_C (1800000)

/* Reports of other entries from before a suspect was cleared arrive within
   this time.  */
#define LATE_REPORTS_MS INT64_C (2000)

/* The fingerprint of a request: a hash of its KEY, or of its body if KEY is
   NULL or empty; never 0.  */
uint64_t
wy_fingerprint (const char *key, const void *body, uint64_t size_bytes)
{
  uint64_t h = key && *key ? wy_hash64 (key, strlen (key), 1)
                           : wy_hash64 (body, size_bytes, 2);

  return h ? h : 1;
}

void
wy_suspects_init (struct wy_suspects *s)
{
  memset (s, 0, sizeof *s);
}

static struct wy_suspect *
find (struct wy_suspects *s, uint64_t fingerprint, int64_t now_ms)
{
  for (uint32_t i = 0; i < WY_SUSPECTS_MAX && s->n > 0; i++)
    {
      struct wy_suspect *e = &s->slot[i];

      if (e->fingerprint != fingerprint)
        continue;
      if (now_ms - e->seen_ms < TTL_MS)
        return e;
      e->fingerprint = 0;
      s->n--;
      return NULL;
    }
  return NULL;
}

/* A slot for a new suspect.  If all are used, the one with the fewest crashes
   is replaced, and among these the oldest.  */
static struct wy_suspect *
take_slot (struct wy_suspects *s)
{
  struct wy_suspect *victim = &s->slot[0];

  for (uint32_t i = 0; i < WY_SUSPECTS_MAX; i++)
    {
      struct wy_suspect *e = &s->slot[i];

      if (e->fingerprint == 0)
        {
          victim = e;
          s->n++;
          break;
        }
      if (e->crashes < victim->crashes
          || (e->crashes == victim->crashes && e->seen_ms < victim->seen_ms))
        victim = e;
    }
  memset (victim, 0, sizeof *victim);
  return victim;
}

static void
add_target (struct wy_suspect *e, uint64_t target, int64_t now_ms)
{
  for (uint32_t i = 0; i < e->crashes; i++)
    if (e->target[i] == target)
      return;
  if (e->crashes == WY_SUSPECT_CRASHES_MAX)
    return;
  e->target[e->crashes] = target;
  e->at_ms[e->crashes] = now_ms;
  e->is_verified[e->crashes++] = false;
}

/* Record that TARGET crashed while the request with FINGERPRINT was running on
   it, as one of RUNNING requests.  Returns the number of different targets
   that crashed under it.  */
uint32_t
wy_suspects_record_crash (struct wy_suspects *s, uint64_t fingerprint,
                          uint64_t target, uint32_t running, int64_t now_ms)
{
  struct wy_suspect *e = find (s, fingerprint, now_ms);

  if (!e)
    {
      e = take_slot (s);
      e->fingerprint = fingerprint;
    }
  add_target (e, target, now_ms);
  e->is_remote = false;
  e->told_ms = 0;
  if (running == 1)
    e->isolated_crashes++;
  e->seen_ms = now_ms;
  return e->crashes;
}

/* The request with FINGERPRINT ended without a crash and is no longer
   suspect.  */
void
wy_suspects_clear (struct wy_suspects *s, uint64_t fingerprint)
{
  for (uint32_t i = 0; i < WY_SUSPECTS_MAX && s->n > 0; i++)
    if (s->slot[i].fingerprint == fingerprint)
      {
        s->slot[i].fingerprint = 0;
        s->n--;
        return;
      }
}

/* The same, where other entries may still report the request as suspect: for a
   while their reports of a single crash are ignored.  */
void
wy_suspects_clear_lasting (struct wy_suspects *s, uint64_t fingerprint,
                           int64_t now_ms)
{
  struct wy_cleared *c = &s->cleared[s->next_cleared];

  wy_suspects_clear (s, fingerprint);
  s->next_cleared = (s->next_cleared + 1) % WY_CLEARED_MAX;
  c->fingerprint = fingerprint;
  c->at_ms = now_ms;
}

static void
remove_crash (struct wy_suspect *e, uint32_t i)
{
  uint32_t last = --e->crashes;

  e->target[i] = e->target[last];
  e->at_ms[i] = e->at_ms[last];
  e->is_verified[i] = e->is_verified[last];
}

/* Remove the crashes of suspect number SLOT that were recorded AGE_MS ago or
   earlier and whose targets are running after all, as IS_RUNNING says; each
   crash is checked once.  A suspect without crashes is discarded.  Returns the
   number of crashes removed.  */
uint32_t
wy_suspects_verify (struct wy_suspects *s, uint32_t slot, int64_t age_ms,
                    bool (*is_running) (const void *ctx, uint64_t target),
                    const void *ctx, int64_t now_ms)
{
  struct wy_suspect *e = &s->slot[slot];
  uint32_t removed = 0;

  for (uint32_t i = e->fingerprint ? e->crashes : 0; i-- > 0;)
    {
      if (e->is_verified[i] || now_ms - e->at_ms[i] < age_ms)
        continue;
      e->is_verified[i] = true;
      if (!is_running (ctx, e->target[i]))
        continue;
      remove_crash (e, i);
      removed++;
    }
  if (removed && e->crashes == 0)
    {
      e->fingerprint = 0;
      s->n--;
    }
  return removed;
}

/* Number of different targets that crashed under the request with FINGERPRINT;
   0: it is not suspect.  */
uint32_t
wy_suspects_crashes (struct wy_suspects *s, uint64_t fingerprint,
                     int64_t now_ms)
{
  const struct wy_suspect *e = find (s, fingerprint, now_ms);

  return e ? e->crashes : 0;
}

/* How to treat a request with FINGERPRINT.  */
enum wy_suspicion
wy_suspects_check (struct wy_suspects *s, uint64_t fingerprint, int64_t now_ms)
{
  const struct wy_suspect *e = find (s, fingerprint, now_ms);

  if (!e)
    return WY_SUSPICION_NONE;
  if (e->crashes >= WY_SUSPECT_CRASHES_MAX)
    return WY_SUSPICION_REFUSE;
  return WY_SUSPICION_ISOLATE;
}

static bool
is_late_report (const struct wy_suspects *s, const struct wy_suspect *other,
                int64_t now_ms)
{
  for (uint32_t i = 0; i < WY_CLEARED_MAX; i++)
    if (s->cleared[i].fingerprint == other->fingerprint
        && now_ms - s->cleared[i].at_ms < LATE_REPORTS_MS)
      return other->crashes < WY_SUSPECT_CRASHES_MAX;
  return false;
}

/* Merge a suspect received from another entry.  It doesn't extend the lifetime
   of one that this entry has observed itself: otherwise suspects that entries
   send to each other would never expire.  Returns the number of different
   targets that crashed under it.  */
uint32_t
wy_suspects_merge (struct wy_suspects *s, const struct wy_suspect *other,
                   int64_t now_ms)
{
  struct wy_suspect *e = find (s, other->fingerprint, now_ms);

  if (other->fingerprint == 0)
    return 0;
  if (!e && is_late_report (s, other, now_ms))
    return 0;
  if (!e)
    {
      e = take_slot (s);
      e->fingerprint = other->fingerprint;
      e->is_remote = true;
    }
  for (uint32_t i = 0; i < other->crashes; i++)
    add_target (e, other->target[i], now_ms);
  if (other->isolated_crashes > e->isolated_crashes)
    e->isolated_crashes = other->isolated_crashes;
  if (e->is_remote)
    e->seen_ms = now_ms;
  return e->crashes;
}

/* Treat the suspect with FINGERPRINT, if any, as observed by this entry: the
   one that observed it is gone.  */
void
wy_suspects_adopt (struct wy_suspects *s, uint64_t fingerprint, int64_t now_ms)
{
  struct wy_suspect *e = find (s, fingerprint, now_ms);

  if (!e)
    return;
  e->is_remote = false;
  e->told_ms = 0;
}

/* Merge a suspect of which another entry has told directly.  Returns whether
   it tells of a crash that was not known.  */
bool
wy_suspects_hear (struct wy_suspects *s, const struct wy_suspect *other,
                  int64_t now_ms)
{
  uint32_t known = wy_suspects_crashes (s, other->fingerprint, now_ms);
  struct wy_suspect *e;

  if (wy_suspects_merge (s, other, now_ms) <= known)
    return false;
  e = find (s, other->fingerprint, now_ms);
  if (e && e->is_remote)
    {
      e->told_ms = now_ms;
      e->unstored_rounds = 0;
    }
  return true;
}

/* The store has OTHER: it outlives the entry that told of it.  */
void
wy_suspects_stored (struct wy_suspects *s, const struct wy_suspect *other,
                    int64_t now_ms)
{
  struct wy_suspect *e = find (s, other->fingerprint, now_ms);

  if (e && e->crashes <= other->crashes)
    e->told_ms = 0;
}

/* The fingerprint of a suspect that another entry told of AGE_MS ago or
   earlier and that the store does not have; 0: none.  It is not returned
   again.  */
uint64_t
wy_suspects_next_unstored (struct wy_suspects *s, int64_t age_ms,
                           int64_t now_ms)
{
  for (uint32_t i = 0; i < WY_SUSPECTS_MAX && s->n > 0; i++)
    {
      struct wy_suspect *e = &s->slot[i];

      if (e->fingerprint == 0 || !e->told_ms || now_ms - e->told_ms < age_ms)
        continue;
      e->told_ms = 0;
      return e->fingerprint;
    }
  return 0;
}

/* Wait once more until the store has the suspect with FINGERPRINT, which
   wy_suspects_next_unstored has returned.  Returns how often this was done
   before.  */
uint32_t
wy_suspects_await_stored (struct wy_suspects *s, uint64_t fingerprint,
                          int64_t now_ms)
{
  struct wy_suspect *e = find (s, fingerprint, now_ms);

  if (!e)
    return 0;
  e->told_ms = now_ms;
  return e->unstored_rounds++;
}
