/* Client of the metadata store of versioned rows and raw objects, which holds
   all persistent state.

   Each call ends in one of three ways that its caller must distinguish: done,
   certainly not done (WY_ROWS_EREFUSED), or unknown (WY_ROWS_EUNKNOWN), in
   which case the store may still perform it seconds later if its conditions
   hold then.  */
#ifndef WY_ROWS_ROWS_H
#define WY_ROWS_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <netinet/in.h>
#include <uv.h>

#include "base/clock.h"
#include "rows/traffic.h"

enum wy_rows_error
{
  WY_ROWS_EREFUSED = -1101,   /* not done, and will not be */
  WY_ROWS_EUNKNOWN = -1102,   /* no response */
  WY_ROWS_ECONFLICT = -1103,  /* a precondition failed */
  WY_ROWS_ECOMPACTED = -1104, /* compacted past the version asked for */
  WY_ROWS_ENOTFOUND = -1105,
  WY_ROWS_EFULL = -1106,
  WY_ROWS_EMALFORMED = -1107 /* the response cannot be parsed */
};

struct wy_row
{
  const char *table;
  const char *partition;
  const char *key;
  const void *value;
  size_t size_bytes;
  int64_t version;
  bool deleted;
};

struct wy_rows_result
{
  int err;
  const struct wy_row *rows;
  size_t n;
  const char *const *partitions;
  size_t n_partitions;
  bool has_more;
  int64_t version;      /* the store's newest */
  int64_t store_now_ms; /* the store's monotonic clock */
  const void *object;
  size_t object_size_bytes;
};

/* A row of a transaction.  In conditions, VERSION is the one that the row must
   have; 0: the row must not exist.  */
struct wy_row_ref
{
  const char *table;
  const char *key;
  int64_t version;
};

struct wy_row_write
{
  const char *table;
  const char *key;
  const void *value;
  size_t size_bytes;
};

/* All rows are in one partition.  */
struct wy_rows_tx
{
  const char *partition;
  const struct wy_row_ref *conditions;
  size_t n_conditions;
  const struct wy_row_write *writes;
  size_t n_writes;
  const struct wy_row_ref *removals;
  size_t n_removals;
};

struct wy_rows_range
{
  const char *table;
  const char *partition;
  const char *from; /* first key; NULL: no lower bound */
  const char *to;   /* end, exclusive; NULL: no upper bound */
  uint32_t limit;   /* rows; 0: the store's default */
};

enum
{
  WY_ROWS_VERBS = 7, /* number of values of enum wy_store_verb */
  WY_ROWS_DONE = 0,
  WY_ROWS_NOT_DONE,
  WY_ROWS_UNKNOWN,
  WY_ROWS_OUTCOMES
};

/* Statistics of calls, for logs and metrics.  */
struct wy_rows_stats
{
  uint64_t calls;
  uint64_t direct_failed;
  uint64_t relayed;
  uint64_t relay_failed;
  bool direct_ok;
  uint64_t calls_by_outcome[WY_ROWS_VERBS][WY_ROWS_OUTCOMES];
  struct wy_traffic traffic;
};

struct wy_rows;
struct wy_h1_client;

struct wy_rows_options
{
  uv_loop_t *loop;
  const struct wy_clock *clock;
  struct wy_h1_client *http;
  struct sockaddr_in address;
  uint64_t seed;
  struct wy_memory_account *memory; /* NULL: none */
  size_t object_bytes;              /* limit of an object; 0: the default */
};

typedef void wy_rows_cb (void *ctx, const struct wy_rows_result *r);

struct wy_rows *wy_rows_new (const struct wy_rows_options *o);
void wy_rows_free (struct wy_rows *s);
void wy_rows_set_relays (struct wy_rows *s, const struct sockaddr_in *peers,
                         size_t n);
void wy_rows_stats (const struct wy_rows *s, struct wy_rows_stats *out);
int64_t wy_rows_store_now_ms (const struct wy_rows *s);
bool wy_rows_is_unreachable (const struct wy_rows *s);
bool wy_rows_is_direct (const struct wy_rows *s);
int64_t wy_rows_next_probe_ms (const struct wy_rows *s);

void wy_rows_get (struct wy_rows *s, const struct wy_rows_range *range,
                  wy_rows_cb *cb, void *ctx);
void wy_rows_list_partitions (struct wy_rows *s, const char *table,
                              const char *after, wy_rows_cb *cb, void *ctx);
void wy_rows_read_feed (struct wy_rows *s, const char *table, int64_t after,
                        uint32_t wait_ms, wy_rows_cb *cb, void *ctx);
void wy_rows_tx (struct wy_rows *s, const struct wy_rows_tx *tx,
                 wy_rows_cb *cb, void *ctx);
void wy_rows_put_object (struct wy_rows *s, const char *name, const void *p,
                         size_t n, wy_rows_cb *cb, void *ctx);
void wy_rows_get_object (struct wy_rows *s, const char *name, wy_rows_cb *cb,
                         void *ctx);
void wy_rows_delete_object (struct wy_rows *s, const char *name,
                            wy_rows_cb *cb, void *ctx);
void wy_rows_forward (struct wy_rows *s, const char *method,
                      const char *target, const void *body, size_t n,
                      void (*on_done) (void *ctx, int status, const char *body,
                                       size_t n),
                      void *ctx);

#endif
