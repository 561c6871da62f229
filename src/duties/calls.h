/* Duty calls: calls to the platform that only the leader may make.  */
#ifndef WY_DUTIES_CALLS_H
#define WY_DUTIES_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "duties/election.h"
#include "h1/client.h"
#include "platform/duty_wire.h"

enum wy_duty_outcome
{
  WY_DUTY_DONE,
  WY_DUTY_RETRY,      /* rate limit reached, or temporarily unavailable */
  WY_DUTY_REJECTED,   /* the same call would be rejected again */
  WY_DUTY_NO_RESPONSE /* no response, or none in time */
};

struct wy_duty_calls;

struct wy_duty_calls_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_h1_client *http;
  const char *address; /* "IP:PORT" */
  const char *node;    /* name of this instance */
  struct wy_election *election;
};

int wy_duty_calls_new (struct wy_duty_calls **out,
                       const struct wy_duty_calls_options *o);
void wy_duty_calls_free (struct wy_duty_calls *c);
void wy_duty_calls_stop (struct wy_duty_calls *c);
bool wy_duty_call (struct wy_duty_calls *c, const char *target,
                   const char *body, size_t n,
                   void (*on_done) (void *ctx, enum wy_duty_outcome outcome,
                                    int status),
                   void *ctx);
const char *wy_duty_outcome_name (enum wy_duty_outcome o);

#endif
