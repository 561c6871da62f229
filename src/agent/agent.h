/* An agent: forwards all requests to the target on its host.  */
#ifndef WY_AGENT_AGENT_H
#define WY_AGENT_AGENT_H

#include <stdint.h>

#include <uv.h>

#include "agent/settings.h"
#include "base/clock.h"
#include "trace/metrics.h"
#include "trace/trace.h"

enum wy_agent_error
{
  WY_AGENT_EKEY = -501,    /* key isn't NUMBER:SECRET */
  WY_AGENT_ELISTEN = -502, /* can't listen on a port */
  WY_AGENT_EADDRESS = -503 /* address isn't HOST:PORT */
};

struct wy_agent;

struct wy_agent_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  const struct wy_agent_settings *settings; /* must outlive the agent */
  struct wy_trace *trace;
  struct wy_metrics *metrics;
  /* Called when the agent has stopped.  ABORTED requests were still in
     progress.  */
  void (*on_stopped) (void *ctx, uint32_t aborted);
  void *ctx;
};

int wy_agent_new (struct wy_agent **out, const struct wy_agent_options *o);
uint16_t wy_agent_port (const struct wy_agent *a);
uint16_t wy_agent_http_port (const struct wy_agent *a);
uint16_t wy_agent_weights_port (const struct wy_agent *a);
void wy_agent_stop (struct wy_agent *a);
uint32_t wy_agent_stop_now (struct wy_agent *a);

#endif
