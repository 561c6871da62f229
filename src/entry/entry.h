/* An entry: serves HTTP for callers, trainers and operators, and is connected
   to the agents of the targets.  */
#ifndef WY_ENTRY_ENTRY_H
#define WY_ENTRY_ENTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "base/clock.h"
#include "config/feed.h"
#include "entry/settings.h"
#include "http/server.h"
#include "trace/metrics.h"
#include "trace/trace.h"
#include "yard/runner.h"

enum wy_entry_error
{
  WY_ENTRY_EADDRESS = -801, /* not HOST:PORT */
  WY_ENTRY_EKEY = -802,     /* not NUMBER:SECRET */
  WY_ENTRY_ELISTEN = -803,
  WY_ENTRY_ENOTARGET = -804, /* no connection to the target */
  WY_ENTRY_ELOST = -805,     /* no result of an order */
  WY_ENTRY_ETOKEN = -806,    /* two roles share a token */
  WY_ENTRY_ERESPONSE = -807  /* malformed response of a target */
};

struct wy_entry;

/* Routes and state of other modules that an entry serves without depending on
   them.  Each may be NULL.  */
struct wy_entry_hooks
{
  /* Handles EX; returns false when it has no such route.  */
  bool (*yard_http) (void *ctx, struct wy_http_exchange *ex);
  bool (*config_http) (void *ctx, struct wy_http_exchange *ex);
  /* Adds its members to STATUS, a JSON object.  */
  void (*status) (void *ctx, json_t *status);
  /* Called when the entry begins to stop.  */
  void (*stop) (void *ctx);
  /* Whether work remains, such as releasing a lease, that must end before the
     process does.  */
  bool (*is_busy) (void *ctx);
  void *ctx;
};

struct wy_entry_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  const struct wy_entry_settings *settings; /* must outlive the entry */
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  struct wy_config_feed *feed;
  struct wy_store *store; /* NULL: suspects are not shared */
};

int wy_entry_new (struct wy_entry **out, const struct wy_entry_options *o);
void wy_entry_set_hooks (struct wy_entry *e, const struct wy_entry_hooks *h);
uint16_t wy_entry_port (const struct wy_entry *e);
void wy_entry_stop (struct wy_entry *e,
                    void (*on_stopped) (void *ctx, uint32_t cut), void *ctx);
void wy_entry_stop_now (struct wy_entry *e);
void wy_entry_close (struct wy_entry *e);
void wy_entry_free (struct wy_entry *e);

void wy_entry_configure (struct wy_entry *e, const struct wy_document *d);
struct wy_runner wy_entry_runner (struct wy_entry *e);
struct wy_orderer wy_entry_orderer (struct wy_entry *e);

#endif
