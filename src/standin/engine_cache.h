/* Prefix cache of the engine stand-in.  */
#ifndef WY_STANDIN_ENGINE_CACHE_H
#define WY_STANDIN_ENGINE_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/rng.h"

/* A prefix is the first bytes of a prompt, or all of a shorter prompt, named
   by their XXH64 with seed 0 in hexadecimal.  */
#define WY_ENGINE_PREFIX_SIZE_BYTES 1024

struct wy_engine_cache_options
{
  int64_t event_delay_ms;
  double event_loss_share; /* share of events that are lost */
  uint64_t seed;
};

struct wy_engine_prefix
{
  char *name;
  uint32_t tokens;
  uint32_t refs; /* streams that use it; 0: may be evicted */
  GList link;    /* in the queue of idle prefixes */
};

struct wy_engine_cache
{
  struct wy_engine_cache_options o;
  GHashTable *prefixes; /* name -> struct wy_engine_prefix */
  GQueue idle;          /* least recently used first */
  GQueue events;        /* struct event, oldest first */
  int64_t seq;
  struct wy_rng rng;
};

uint32_t wy_engine_token_count (uint64_t size_bytes);
char *wy_engine_prefix_name (const char *prompt);
void wy_engine_cache_init (struct wy_engine_cache *c,
                           const struct wy_engine_cache_options *o);
struct wy_engine_prefix *wy_engine_cache_use (struct wy_engine_cache *c,
                                              const char *name);
struct wy_engine_prefix *wy_engine_cache_store (struct wy_engine_cache *c,
                                                const char *name,
                                                uint32_t tokens,
                                                int64_t now_ms);
void wy_engine_cache_release (struct wy_engine_cache *c,
                              struct wy_engine_prefix *p);
uint32_t wy_engine_cache_evict (struct wy_engine_cache *c, int64_t now_ms);
void wy_engine_cache_clear (struct wy_engine_cache *c, int64_t now_ms,
                            uint32_t *freed);
json_t *wy_engine_cache_events (const struct wy_engine_cache *c, int64_t after,
                                int64_t now_ms);

#endif
