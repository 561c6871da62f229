/* Planning and applying of configuration documents over HTTP.  */
#ifndef WY_CONFIG_APPLY_H
#define WY_CONFIG_APPLY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "config/feed.h"
#include "http/server.h"
#include "store/client.h"
#include "trace/trace.h"

struct wy_config_service;

struct wy_config_service_options
{
  const struct wy_clock *clock;
  struct wy_trace *trace;
  struct wy_store *store;
  struct wy_config_feed *feed; /* gets each applied document at once */
  /* How long an entry or agent may use its list of members without having it
     confirmed.  A change of members takes effect after this time.  */
  uint32_t roster_trust_ms;
  /* Whether all members of the service, old and new, have acknowledged that
     they no longer use the old list, so that the change can take effect at
     once.  NULL: never.  */
  bool (*acknowledged) (void *ctx, const struct wy_service_config *before,
                        const struct wy_service_config *after);
  void *ctx;
};

struct wy_config_service *
wy_config_service_new (const struct wy_config_service_options *o);
void wy_config_service_free (struct wy_config_service *s);
bool wy_config_handle_request (struct wy_config_service *s,
                               struct wy_http_exchange *ex);

#endif
