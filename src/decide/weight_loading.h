/* Whose turn it is to load a new version of a model's weights.  */
#ifndef WY_DECIDE_WEIGHT_LOADING_H
#define WY_DECIDE_WEIGHT_LOADING_H

#include <stdbool.h>
#include <stdint.h>

struct wy_weight_loading_options
{
  uint32_t rank;     /* of this replica among those of the service */
  uint32_t replicas; /* of the service, that take work */
  uint32_t model;    /* position of the model among the service's */
  uint32_t models;
  int64_t version;
  uint32_t lag;     /* jobs take weights that are so many versions older */
  uint32_t load_ms; /* that one load takes */
};

struct wy_weight_loading
{
  bool loads;        /* this replica is to load the version */
  uint32_t delay_ms; /* after the version was named */
};

struct wy_weight_loading
wy_weight_loading (const struct wy_weight_loading_options *o);

#endif
