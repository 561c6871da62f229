/* The configuration in force in this process.

   Entries poll one row of the store; agents get the configuration with the
   entries' heartbeats, so that thousands of processes don't poll the store.
   The revision never decreases, whatever its source: neither a peer that was
   suspended nor a delayed response of the store can bring an old document
   back.  */
#include "config/feed.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/rng.h"
#include "trace/log.h"

/* With one read a second by each entry a change is in force everywhere within
   seconds.  Up to a quarter of the interval is added as random jitter, so that
   the reads of entries started together spread out.  */
#define POLL_INTERVAL_MS 1000
#define JITTER_DIVISOR 4

struct wy_config_feed
{
  struct wy_config_feed_options o;
  uv_timer_t timer;
  struct wy_rng rng;
  struct wy_document *document;
  char *text;
  int64_t revision;
  int64_t confirmed_ms;
  int64_t read_sent_ms; /* wall-clock time of the pending read */
  bool reading;
  bool closing;
  bool timer_closed;
};

static void
destroy (struct wy_config_feed *f)
{
  if (!f->timer_closed || f->reading)
    return;
  wy_document_free (f->document);
  g_free (f->text);
  g_free (f);
}

static void
put_in_force (struct wy_config_feed *f, struct wy_document *d,
              int64_t revision, const char *text, size_t size_bytes)
{
  struct wy_document *old = f->document;

  f->document = d;
  f->revision = revision;
  g_free (f->text);
  f->text = g_strndup (text, size_bytes);
  wy_trace_event (f->o.trace, "config.in_force", "{s:I}", "revision",
                  (json_int_t)revision);
  if (f->o.on_change)
    f->o.on_change (f->o.ctx, d, revision);
  wy_document_free (old);
}

static void
confirm (struct wy_config_feed *f, int64_t confirmed_ms)
{
  if (confirmed_ms > f->confirmed_ms)
    f->confirmed_ms = confirmed_ms;
}

/* Put REVISION into force if it is newer than the one in force.  TEXT is its
   document as JSON of SIZE_BYTES; it may be NULL if the peer reported only its
   revision.  CONFIRMED_MS is the wall-clock time at which the store last
   confirmed the revision.  Returns 0, WY_CONFIG_ECONFLICT if the revision in
   force is newer, WY_CONFIG_EVALUE if a newer one has no TEXT or an invalid
   document, or WY_CONFIG_ESYNTAX if TEXT is not JSON.  */
int
wy_config_feed_offer (struct wy_config_feed *f, int64_t revision,
                      int64_t confirmed_ms, const char *text,
                      size_t size_bytes)
{
  struct wy_document *d;
  GString *errors;
  int err;

  if (revision < f->revision)
    return WY_CONFIG_ECONFLICT;
  if (revision > f->revision)
    {
      if (!text)
        return WY_CONFIG_EVALUE;
      errors = g_string_new (NULL);
      err = wy_document_parse_text (&d, text, size_bytes, errors);
      if (err)
        wy_log (WY_LOG_ERROR, "config_invalid", "revision=%lld why=\"%s\"",
                (long long)revision, errors->str);
      g_string_free (errors, TRUE);
      if (err)
        return err;
      put_in_force (f, d, revision, text, size_bytes);
    }
  confirm (f, confirmed_ms);
  return 0;
}

static void
handle_row (struct wy_config_feed *f, const struct wy_store_row *row)
{
  int64_t revision
      = row ? json_integer_value (json_object_get (row->value, "revision"))
            : 0;
  const json_t *document
      = row ? json_object_get (row->value, "document") : NULL;
  char *text
      = document ? json_dumps (document, JSON_COMPACT | JSON_SORT_KEYS) : NULL;

  if (revision < f->revision)
    wy_log (WY_LOG_ERROR, "config_went_back", "store=%lld in_force=%lld",
            (long long)revision, (long long)f->revision);
  wy_config_feed_offer (f, revision, f->read_sent_ms, text,
                        text ? strlen (text) : 0);
  free (text);
}

static void
on_timer (uv_timer_t *t)
{
  wy_config_feed_poll (t->data);
}

static void
schedule_read (struct wy_config_feed *f)
{
  uint32_t wait_ms
      = f->o.store ? wy_store_poll_interval_ms (f->o.store, f->o.interval_ms)
                   : f->o.interval_ms;
  uint32_t spread = wait_ms / JITTER_DIVISOR + 1;

  uv_timer_start (&f->timer, on_timer,
                  wait_ms + wy_rng_below (&f->rng, spread), 0);
}

static void
on_read (void *ctx, const struct wy_store_result *r)
{
  struct wy_config_feed *f = ctx;

  f->reading = false;
  if (f->closing)
    {
      destroy (f);
      return;
    }
  if (!r->err)
    handle_row (f, wy_store_find_row (r, "config/current"));
  schedule_read (f);
}

/* Read the store now instead of at the next interval.  */
void
wy_config_feed_poll (struct wy_config_feed *f)
{
  static const char *const keys[] = { "config/current" };
  struct wy_store_read r = { .cause = "config", .keys = keys, .n_keys = 1 };

  if (f->reading || f->closing || !f->o.store)
    return;
  f->reading = true;
  f->read_sent_ms = wy_clock_wall_ms (f->o.clock);
  wy_store_read (f->o.store, &r, on_read, f);
}

/* Create a feed with the options O and start the first read.  */
struct wy_config_feed *
wy_config_feed_new (const struct wy_config_feed_options *o)
{
  struct wy_config_feed *f = g_malloc0 (sizeof *f);

  f->o = *o;
  if (!f->o.interval_ms)
    f->o.interval_ms = POLL_INTERVAL_MS;
  wy_rng_seed (&f->rng, o->seed);
  uv_timer_init (o->loop, &f->timer);
  f->timer.data = f;
  wy_config_feed_poll (f);
  return f;
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct wy_config_feed *f = h->data;

  f->timer_closed = true;
  destroy (f);
}

/* Free F, which may be NULL; call it before the store is freed.  */
void
wy_config_feed_free (struct wy_config_feed *f)
{
  if (!f)
    return;
  f->closing = true;
  uv_close ((uv_handle_t *)&f->timer, on_timer_closed);
}

/* The document in force; NULL if none is known.  */
const struct wy_document *
wy_config_feed_document (const struct wy_config_feed *f)
{
  return f->document;
}

/* The revision in force; 0 if none is known.  */
int64_t
wy_config_feed_revision (const struct wy_config_feed *f)
{
  return f->revision;
}

/* Wall-clock time at which the store last confirmed the revision in force; 0
   if it never did.  */
int64_t
wy_config_feed_confirmed_ms (const struct wy_config_feed *f)
{
  return f->confirmed_ms;
}

/* The document in force as JSON, for forwarding to peers; NULL if none is
   known.  */
const char *
wy_config_feed_text (const struct wy_config_feed *f)
{
  return f->text;
}
