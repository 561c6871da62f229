/* A call to the table service or the object store, with its attempts.
   Internal to this module.  */
#ifndef WY_STORE_CALL_H
#define WY_STORE_CALL_H

#include <glib.h>

#include "base/rng.h"
#include "decide/retry.h"
#include "http/client.h"
#include "store/circuit_breaker.h"
#include "store/client.h"
#include "store/rate_limiter.h"

enum wy_store_call_kind
{
  WY_STORE_CALL_TXN,
  WY_STORE_CALL_READ,
  WY_STORE_CALL_PUT,
  WY_STORE_CALL_GET,
  WY_STORE_CALL_PROBE
};

struct wy_store_address
{
  char *host;
  uint16_t port;
};

struct wy_store
{
  struct wy_store_options o;
  struct wy_store_address table;
  struct wy_store_address objects;
  struct wy_http_client *http;
  uv_timer_t timer;
  struct wy_rng rng;
  struct wy_rate_limiter reads;
  struct wy_rate_limiter writes;
  struct wy_retry_budget retry_budget;
  struct wy_circuit_breaker breaker;
  int64_t rate_limited_until_ms; /* as the service asked; holds all calls */
  GQueue waiting;                /* struct wy_store_call */
  GQueue in_flight;              /* struct wy_store_call */
  GHashTable *calls_by_cause;    /* char * -> uint64_t *, in the metrics */
  uint64_t *n_retries;
  uint64_t *n_outages;
  uint32_t pollers; /* processes that poll the same rows; 0: unknown */
};

struct wy_store_call
{
  struct wy_store *store;
  enum wy_store_call_kind kind;
  GList link;
  const char *cause;
  char *op;
  char *path;
  GString *body;
  int64_t deadline_ms;
  int64_t due_ms;
  uint32_t attempts;
  bool maybe_applied; /* an earlier attempt may have been carried out */
  int local_err;      /* complete with this error, without an attempt */
  struct wy_http_call *http;
  int status;
  uint32_t retry_after_ms;
  GString *response;
  void (*on_done) (void *ctx, const struct wy_store_result *r);
  void *ctx;
};

struct wy_store_call *wy_store_call_new (struct wy_store *s,
                                         enum wy_store_call_kind kind,
                                         const char *cause);
void wy_store_call_send (struct wy_store_call *c);
void wy_store_call_fail (struct wy_store_call *c, int err);
void wy_store_call_free (struct wy_store_call *c);
void wy_store_call_complete (struct wy_store_call *c);
int wy_store_call_error (const struct wy_store_call *c);
void wy_store_wake (struct wy_store *s);

#endif
