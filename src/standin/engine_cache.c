/* Prefix cache of the engine stand-in.  The least recently used prefix is
   evicted first.  Events for stored and evicted prefixes are reported with a
   delay, and a share of them is lost.  */
#include "standin/engine_cache.h"

#include <string.h>

#include "base/id.h"

enum
{
  BYTES_PER_TOKEN = 4,
  EVENTS_MAX = 4096
};

struct event
{
  int64_t seq;
  int64_t at_ms;
  bool stored;
  char *name;
};

/* Return the number of tokens in SIZE_BYTES of text.  */
uint32_t
wy_engine_token_count (uint64_t size_bytes)
{
  return (uint32_t)((size_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}

/* Return the name of the prefix of PROMPT, which the caller frees.  */
char *
wy_engine_prefix_name (const char *prompt)
{
  size_t n = MIN (strlen (prompt), WY_ENGINE_PREFIX_SIZE_BYTES);

  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x",
                          wy_hash64 (prompt, n, 0));
}

/* Initialise C without prefixes.  */
void
wy_engine_cache_init (struct wy_engine_cache *c,
                      const struct wy_engine_cache_options *o)
{
  c->o = *o;
  c->prefixes = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&c->idle);
  g_queue_init (&c->events);
  c->seq = 0;
  wy_rng_seed (&c->rng, o->seed);
}

static void
record_event (struct wy_engine_cache *c, bool stored, const char *name,
              int64_t now_ms)
{
  struct event *e;

  c->seq++;
  if (wy_rng_unit (&c->rng) < c->o.event_loss_share)
    return;
  e = g_new0 (struct event, 1);
  e->seq = c->seq;
  e->at_ms = now_ms;
  e->stored = stored;
  e->name = g_strdup (name);
  g_queue_push_tail (&c->events, e);
  if (c->events.length <= EVENTS_MAX)
    return;
  e = g_queue_pop_head (&c->events);
  g_free (e->name);
  g_free (e);
}

/* Return the prefix NAME with a new reference, or NULL if it is not cached.
 */
struct wy_engine_prefix *
wy_engine_cache_use (struct wy_engine_cache *c, const char *name)
{
  struct wy_engine_prefix *p = g_hash_table_lookup (c->prefixes, name);

  if (p && p->refs++ == 0)
    g_queue_unlink (&c->idle, &p->link);
  return p;
}

/* Store the prefix NAME of TOKENS tokens and return it with a reference.  */
struct wy_engine_prefix *
wy_engine_cache_store (struct wy_engine_cache *c, const char *name,
                       uint32_t tokens, int64_t now_ms)
{
  struct wy_engine_prefix *p = g_new0 (struct wy_engine_prefix, 1);

  p->name = g_strdup (name);
  p->tokens = tokens;
  p->refs = 1;
  p->link.data = p;
  g_hash_table_insert (c->prefixes, p->name, p);
  record_event (c, true, name, now_ms);
  return p;
}

/* Release a reference to P, which stays cached until it is evicted.  */
void
wy_engine_cache_release (struct wy_engine_cache *c, struct wy_engine_prefix *p)
{
  if (--p->refs == 0)
    g_queue_push_tail_link (&c->idle, &p->link);
}

/* Evict the least recently used prefix.  Return the number of tokens freed, or
   0 if every prefix is in use.  */
uint32_t
wy_engine_cache_evict (struct wy_engine_cache *c, int64_t now_ms)
{
  GList *l = g_queue_pop_head_link (&c->idle);
  struct wy_engine_prefix *p;
  uint32_t tokens;

  if (!l)
    return 0;
  p = l->data;
  tokens = p->tokens;
  g_hash_table_remove (c->prefixes, p->name);
  record_event (c, false, p->name, now_ms);
  g_free (p->name);
  g_free (p);
  return tokens;
}

/* Evict all prefixes that are not in use, as new weights make them invalid.
 *FREED is set to the number of tokens freed.  */
void
wy_engine_cache_clear (struct wy_engine_cache *c, int64_t now_ms,
                       uint32_t *freed)
{
  uint32_t n;

  *freed = 0;
  while ((n = wy_engine_cache_evict (c, now_ms)) > 0)
    *freed += n;
}

/* Return the events with a sequence number above AFTER that are at least
   event_delay_ms old.  */
json_t *
wy_engine_cache_events (const struct wy_engine_cache *c, int64_t after,
                        int64_t now_ms)
{
  json_t *list = json_array ();
  int64_t next = after;

  for (GList *l = c->events.head; l; l = l->next)
    {
      const struct event *e = l->data;

      if (e->seq <= after)
        continue;
      if (e->at_ms + c->o.event_delay_ms > now_ms)
        break;
      next = e->seq;
      json_array_append_new (list, json_pack ("{s:I, s:s, s:s}", "seq",
                                              (json_int_t)e->seq, "kind",
                                              e->stored ? "stored" : "evicted",
                                              "prefix", e->name));
    }
  return json_pack ("{s:o, s:I}", "events", list, "next", (json_int_t)next);
}
