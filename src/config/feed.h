/* The configuration in force in this process, from the store or from a peer;
   its revision never decreases.  */
#ifndef WY_CONFIG_FEED_H
#define WY_CONFIG_FEED_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "config/document.h"
#include "store/client.h"
#include "trace/trace.h"

struct wy_config_feed;

struct wy_config_feed_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_trace *trace;
  struct wy_store *store; /* NULL: documents come only from peers */
  uint64_t seed;
  uint32_t interval_ms; /* between reads of the store; 0: default */
  /* A newer document D is in force.  D is valid until the next call
     returns.  */
  void (*on_change) (void *ctx, const struct wy_document *d, int64_t revision);
  void *ctx;
};

struct wy_config_feed *
wy_config_feed_new (const struct wy_config_feed_options *o);
void wy_config_feed_free (struct wy_config_feed *f);
const struct wy_document *
wy_config_feed_document (const struct wy_config_feed *f);
int64_t wy_config_feed_revision (const struct wy_config_feed *f);
int64_t wy_config_feed_confirmed_ms (const struct wy_config_feed *f);
const char *wy_config_feed_text (const struct wy_config_feed *f);
int wy_config_feed_offer (struct wy_config_feed *f, int64_t revision,
                          int64_t confirmed_ms, const char *text,
                          size_t size_bytes);
void wy_config_feed_poll (struct wy_config_feed *f);

#endif
