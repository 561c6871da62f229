/* Inside of the stand-in of the platform's store.  */
#ifndef WY_STANDIN_PLATFORM_STORE_STATE_H
#define WY_STANDIN_PLATFORM_STORE_STATE_H

#include "standin/platform_store.h"

struct wy_platform_row
{
  char *table;
  char *part;
  char *key;
  char *value; /* base64 */
  int64_t version;
  bool deleted;
};

struct wy_platform_wait
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
  uv_timer_t tick;
  GPtrArray *rows;     /* struct wy_platform_row */
  GHashTable *objects; /* GBytes by name */
  GPtrArray *waits;    /* struct wait */
  int64_t version;
  struct wy_platform_store_faults faults;
};

struct wy_platform_row *
wy_platform_store_find (const struct wy_platform_store *s, const char *table,
                        const char *part, const char *key);
void wy_platform_store_set (struct wy_platform_store *s, const char *table,
                            const char *part, const char *key,
                            const char *value);
void wy_platform_store_respond (struct wy_platform_store *s,
                                struct wy_h1_request *r, int status,
                                json_t *doc);
json_t *wy_platform_store_row_json (const struct wy_platform_row *r);
void wy_platform_store_get (struct wy_platform_store *s,
                            struct wy_h1_request *r, const char *target);
void wy_platform_store_partitions (struct wy_platform_store *s,
                                   struct wy_h1_request *r,
                                   const char *target);
void wy_platform_store_feed (struct wy_platform_store *s,
                             struct wy_h1_request *r, const char *target);
void wy_platform_store_tick (uv_timer_t *t);
void wy_platform_store_transact (struct wy_platform_store *s,
                                 struct wy_h1_request *r);

#endif
