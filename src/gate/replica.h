/* A replica as described by its row in the list of replicas and by its own
   reports, and orders to it.  */
#ifndef WY_GATE_REPLICA_H
#define WY_GATE_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include <netinet/in.h>

enum
{
  WY_REPLICA_MODELS_MAX = 16,
  WY_REPLICA_NAME_SIZE_BYTES = 128
};

struct wy_model_version
{
  char model[WY_REPLICA_NAME_SIZE_BYTES];
  int64_t version;
};

/* Its row in the list of replicas.  */
struct wy_replica
{
  char id[WY_REPLICA_NAME_SIZE_BYTES];
  char service[WY_REPLICA_NAME_SIZE_BYTES];
  char availability_zone[WY_REPLICA_NAME_SIZE_BYTES];
  struct sockaddr_in address;
  uint32_t slots;
  bool draining;
  int64_t started_ms; /* wall-clock time of its start; 0: not given */
  struct wy_model_version models[WY_REPLICA_MODELS_MAX];
  uint32_t n_models;
};

/* Its report on the orders it has accepted.  */
struct wy_replica_report
{
  bool order_in_progress;
  int64_t orders_accepted;
  int64_t started_ms;
  struct wy_model_version models[WY_REPLICA_MODELS_MAX];
  uint32_t n_models;
};

enum wy_load_mode
{
  WY_LOAD_WAIT_FOR_RUNS, /* after the current runs have finished */
  WY_LOAD_DURING_RUNS    /* runs continue with the new version */
};

/* An order to load a version of a model's weights.  */
struct wy_load_order
{
  const char *model;
  int64_t version;
  enum wy_load_mode mode;
  const char *holder;
  int64_t generation;
  /* Orders that the replica must have accepted so far; otherwise it rejects
     this one.  */
  int64_t orders_accepted;
};

enum wy_order_outcome
{
  WY_ORDER_ACCEPTED,
  WY_ORDER_ALREADY_LOADED,
  WY_ORDER_BUSY,   /* another is in progress, or orders_accepted differs */
  WY_ORDER_FENCED, /* the generation is out of date */
  WY_ORDER_INVALID,
  WY_ORDER_MISDIRECTED, /* another replica has the address */
  WY_ORDER_UNKNOWN
};

uint64_t wy_replica_address_key (const struct sockaddr_in *a);

#endif
