/* An entry: callers', trainers' and operators' HTTP, and the connections to
   the targets.  */
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
  WY_ENTRY_ELOST = -805,     /* no answer to an order */
  WY_ENTRY_ETOKEN = -806,    /* two roles share a token */
  WY_ENTRY_EANSWER = -807    /* a target answered nonsense */
};

struct wy_entry;

/* Parts of other packages that an entry serves but knows nothing of.  Any
   may be NULL.  */
struct wy_entry_hooks
{
  /* Handle EX if it is theirs; true when it was.  */
  bool (*yard_http) (void *ctx, struct wy_http_exchange *ex);
  bool (*config_http) (void *ctx, struct wy_http_exchange *ex);
  /* Add what they have to STATUS, an object.  */
  void (*status) (void *ctx, json_t *status);
  /* The entry begins to stop.  */
  void (*stop) (void *ctx);
  /* Whether something of theirs, such as giving back a lease, must still end
     before the process does.  */
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
