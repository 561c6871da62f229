/* Plan and apply of configuration documents, over HTTP.  */
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
  struct wy_config_feed *feed; /* told at once of what was applied */
  /* How long an entry or agent may go on trusting the list of members that
     it knows.  A change of members counts only after this.  */
  uint32_t roster_trust_ms;
  /* Whether every member of the service, old and new, has said that it holds
     no trust in the old list, so that the change may count at once.  NULL:
     never.  */
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
