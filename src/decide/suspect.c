/* Requests that crash the targets that run them.

   Now and then one request crashes each target that runs it, and its caller
   sends it again; unchecked it walks through all replicas.  One notices by
   crashes that follow the same key or body.  What ran during a crash is
   suspect, runs alone from then on, and is refused once two targets crashed
   under it.  */
#include "decide/suspect.h"

#include <stddef.h>
#include <string.h>

#include "base/id.h"

/* Callers give up sending the same request well within this time; a wrong
   suspicion ends by itself.  */
#define TTL_MS INT64_C (1800000)

/* The fingerprint of a request: of its KEY when it has one, else of its body;
   never 0.  */
uint64_t
wy_fingerprint (const char *key, const void *body, uint64_t size_bytes)
{
  uint64_t h = key && *key ? wy_hash64 (key, strlen (key), 1)
                           : wy_hash64 (body, size_bytes, 2);

  return h ? h : 1;
}

/* Make S empty.  */
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

/* A slot for a new suspect; the oldest gives way when all are taken, those
   proven by two crashes last.  */
static struct wy_suspect *
claim (struct wy_suspects *s)
{
  struct wy_suspect *old = &s->slot[0];

  for (uint32_t i = 0; i < WY_SUSPECTS_MAX; i++)
    {
      struct wy_suspect *e = &s->slot[i];

      if (e->fingerprint == 0)
        {
          old = e;
          s->n++;
          break;
        }
      if (e->crashes < old->crashes
          || (e->crashes == old->crashes && e->seen_ms < old->seen_ms))
        old = e;
    }
  memset (old, 0, sizeof *old);
  return old;
}

static void
add_target (struct wy_suspect *e, uint64_t target)
{
  for (uint32_t i = 0; i < e->crashes; i++)
    if (e->target[i] == target)
      return;
  if (e->crashes < WY_SUSPECT_CRASHES_MAX)
    e->target[e->crashes++] = target;
}

/* TARGET crashed while the request of FINGERPRINT ran on it, one of RUNNING
   requests.  */
void
wy_suspects_record_crash (struct wy_suspects *s, uint64_t fingerprint,
                          uint64_t target, uint32_t running, int64_t now_ms)
{
  struct wy_suspect *e = find (s, fingerprint, now_ms);

  if (!e)
    {
      e = claim (s);
      e->fingerprint = fingerprint;
    }
  add_target (e, target);
  e->is_remote = false;
  if (running == 1)
    e->alone_crashes++;
  e->seen_ms = now_ms;
}

/* The request of FINGERPRINT ended in good order; it is no suspect.  */
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

/* How to treat a request of FINGERPRINT.  */
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

/* Take in what another entry knows.  What this one saw itself is not kept
   longer for it, or entries that tell each other would never forget.  */
void
wy_suspects_merge (struct wy_suspects *s, const struct wy_suspect *other,
                   int64_t now_ms)
{
  struct wy_suspect *e = find (s, other->fingerprint, now_ms);

  if (other->fingerprint == 0)
    return;
  if (!e)
    {
      e = claim (s);
      e->fingerprint = other->fingerprint;
      e->is_remote = true;
    }
  for (uint32_t i = 0; i < other->crashes; i++)
    add_target (e, other->target[i]);
  if (other->alone_crashes > e->alone_crashes)
    e->alone_crashes = other->alone_crashes;
  if (e->is_remote)
    e->seen_ms = now_ms;
}
