/* Client of the table service and the object store.

   The callback of each call comes exactly once, and never before the function
   that starts the call returns.  A transaction has an operation id, which at
   least one of the rows it writes has to contain as "op": by it the client
   finds out whether a transaction whose response was lost took effect.  */
#ifndef WY_STORE_CLIENT_H
#define WY_STORE_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>
#include <uv.h>

#include "base/clock.h"
#include "store/error.h"
#include "trace/metrics.h"
#include "trace/trace.h"

struct wy_store;

struct wy_store_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_trace *trace;     /* NULL: no events */
  struct wy_metrics *metrics; /* NULL: no counters */
  const char *table;          /* "host:port" */
  const char *objects;        /* "host:port" */
  uint64_t seed;              /* of the jitter */
  /* 0 in any of these: the default, see client.c.  */
  uint32_t call_timeout_ms; /* one attempt */
  uint32_t reads_per_s;     /* this process's share of the limit */
  uint32_t writes_per_s;
  uint32_t queue_limit; /* waiting calls; further ones fail */
};

struct wy_store_row
{
  const char *key;
  int64_t rev;         /* 0: absent */
  const json_t *value; /* NULL: absent; borrowed */
};

struct wy_store_result
{
  int err;     /* 0 or enum wy_store_error */
  int64_t rev; /* of the transaction or the read */
  /* Rows read, or the rows whose conditions failed.  */
  const struct wy_store_row *rows;
  size_t n_rows;
  const void *data; /* of an object, followed by a NUL */
  size_t size_bytes;
  uint32_t retry_after_ms; /* 0 with ECONFLICT and ENOTFOUND */
};

struct wy_store_condition
{
  const char *key;
  int64_t rev; /* 0: absent */
};

struct wy_store_write
{
  const char *key;
  json_t *value; /* NULL: delete; borrowed */
};

struct wy_store_txn
{
  const char *cause; /* purpose, for the metrics; a literal */
  const char *op;    /* operation id, unique */
  const struct wy_store_condition *conditions;
  size_t n_conditions;
  const struct wy_store_write *writes;
  size_t n_writes;
  uint32_t total_timeout_ms; /* of all attempts; 0: the default */
  bool urgent; /* sent before all waiting calls: lease renewals */
};

struct wy_store_read
{
  const char *cause;
  const char *const *keys;
  size_t n_keys;
  const char *prefix; /* instead of keys */
  uint32_t total_timeout_ms;
  bool urgent;
};

int wy_store_new (struct wy_store **out, const struct wy_store_options *o);
void wy_store_set_pollers (struct wy_store *s, uint32_t n);
uint32_t wy_store_poll_interval_ms (const struct wy_store *s,
                                    uint32_t base_ms);
void wy_store_free (struct wy_store *s);
void wy_store_txn (struct wy_store *s, const struct wy_store_txn *t,
                   void (*on_done) (void *ctx,
                                    const struct wy_store_result *r),
                   void *ctx);
void wy_store_read (struct wy_store *s, const struct wy_store_read *r,
                    void (*on_done) (void *ctx,
                                     const struct wy_store_result *r),
                    void *ctx);
void wy_store_put_object (struct wy_store *s, const char *cause,
                          const char *key, const void *p, size_t size_bytes,
                          void (*on_done) (void *ctx,
                                           const struct wy_store_result *r),
                          void *ctx);
void wy_store_get_object (
    struct wy_store *s, const char *cause, const char *key,
    void (*on_done) (void *ctx, const struct wy_store_result *r), void *ctx);
bool wy_store_is_down (const struct wy_store *s);
bool wy_store_is_idle (const struct wy_store *s);
uint32_t wy_store_retry_after_ms (const struct wy_store *s);
const struct wy_store_row *wy_store_find_row (const struct wy_store_result *r,
                                              const char *key);

#endif
