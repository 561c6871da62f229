/* Internal state of the store stand-in, shared by platform_store*.c.  */
#ifndef WY_STANDIN_PLATFORM_STORE_STATE_H
#define WY_STANDIN_PLATFORM_STORE_STATE_H

#include "standin/platform_store.h"

struct wy_platform_row
{
  char *table;
  char *partition;
  char *key;
  char *value; /* base64 */
  int64_t version;
  bool deleted;
};

/* A read of the feed that waits for changes of TABLE after version AFTER.  */
struct wy_platform_feed_wait
{
  struct wy_platform_store *store;
  struct wy_h1_request *request;
  char *table;
  int64_t after;
  uint64_t until_ms;
};

struct wy_platform_store
{
  uv_loop_t *loop;
  struct wy_h1_server *server;
  uv_timer_t wait_timer;
  GPtrArray *rows;     /* struct wy_platform_row */
  GHashTable *objects; /* GBytes by name */
  GPtrArray *waits;    /* struct wy_platform_feed_wait */
  int64_t version;
  struct wy_platform_store_faults faults;
};

struct wy_platform_row *
wy_platform_store_find (const struct wy_platform_store *s, const char *table,
                        const char *partition, const char *key);
void wy_platform_store_set (struct wy_platform_store *s, const char *table,
                            const char *partition, const char *key,
                            const char *value);
void wy_platform_store_respond (struct wy_platform_store *s,
                                struct wy_h1_request *r, int status,
                                json_t *doc);
json_t *wy_platform_store_row_json (const struct wy_platform_row *r);
void wy_platform_store_read_rows (struct wy_platform_store *s,
                                  struct wy_h1_request *r, const char *target);
void wy_platform_store_partitions (struct wy_platform_store *s,
                                   struct wy_h1_request *r,
                                   const char *target);
void wy_platform_store_feed (struct wy_platform_store *s,
                             struct wy_h1_request *r, const char *target);
void wy_platform_store_check_waits (uv_timer_t *t);
void wy_platform_store_transact (struct wy_platform_store *s,
                                 struct wy_h1_request *r);

#endif
