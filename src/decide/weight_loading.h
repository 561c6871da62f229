/* Which replicas load a new version of a model's weights, and when.  */
#ifndef WY_DECIDE_WEIGHT_LOADING_H
#define WY_DECIDE_WEIGHT_LOADING_H

#include <stdbool.h>
#include <stdint.h>

struct wy_weight_loading_options
{
  uint32_t rank;     /* of this replica among those of the service */
  uint32_t replicas; /* of the service that accept work */
  uint32_t model;    /* index among the models of the service */
  uint32_t models;
  /* Replicas of each model, in this order; NULL: equal shares.  */
  const uint32_t *counts;
  int64_t version;
  uint32_t lag;     /* jobs accept weights up to so many versions older */
  uint32_t load_ms; /* duration of one load */
};

struct wy_weight_loading
{
  bool loads;        /* whether this replica loads the version */
  uint32_t delay_ms; /* after the version was announced */
};

uint32_t wy_weight_loading_first (const struct wy_weight_loading_options *o);
struct wy_weight_loading
wy_weight_loading (const struct wy_weight_loading_options *o);

#endif
