/* Sets the number of replicas of services with automatic scaling.  */
#ifndef WY_DUTIES_SCALER_H
#define WY_DUTIES_SCALER_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/clock.h"
#include "decide/scaling.h"
#include "duties/calls.h"
#include "duties/election.h"

struct wy_scaler;

/* Current state of one service in one availability zone.  */
struct wy_scaler_input
{
  const char *service;
  const char *availability_zone;
  uint32_t replicas; /* listed and not draining */
  struct wy_scaling_load load;
};

struct wy_scaler_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_election *election;
  struct wy_duty_calls *calls;
  /* Calls FN for each service and availability zone to be scaled.  */
  void (*for_each) (void *ctx,
                    void (*fn) (void *arg, const struct wy_scaler_input *s),
                    void *arg);
  void *ctx;
};

struct wy_scaler *wy_scaler_new (const struct wy_scaler_options *o);
void wy_scaler_free (struct wy_scaler *s);
void wy_scaler_on_elected (struct wy_scaler *s);
uint64_t wy_scaler_accepted (const struct wy_scaler *s);

#endif
