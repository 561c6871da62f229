/* Stand-in of the platform's store of rows and objects, with its feed.  */
#ifndef WY_STANDIN_PLATFORM_STORE_H
#define WY_STANDIN_PLATFORM_STORE_H

#include <jansson.h>

#include "h1/server.h"

/* What goes wrong; all off when zeroed.  Counts run down with each call that
   they hit.  */
struct wy_platform_store_faults
{
  uint32_t respond_503;   /* calls answered 503 and not performed */
  uint32_t respond_429;   /* calls answered 429 */
  uint32_t lose_response; /* transactions performed, their answer lost */
  uint32_t delay_tx; /* transactions performed LATE_MS after, unanswered */
  uint32_t delay_tx_ms;
  bool silent;          /* no call is answered or performed */
  bool compact_history; /* the next wait for changes is answered 410 */
  bool stall_feed;      /* waits for changes never end */
  uint32_t respond_507; /* objects refused as too much */
};

struct wy_platform_store_options
{
  uv_loop_t *loop;
  uint16_t port; /* 0: any free one */
};

struct wy_platform_store;

struct wy_platform_store *
wy_platform_store_new (const struct wy_platform_store_options *o);
void wy_platform_store_free (struct wy_platform_store *s);
uint16_t wy_platform_store_port (const struct wy_platform_store *s);
struct wy_platform_store_faults *
wy_platform_store_faults (struct wy_platform_store *s);
int64_t wy_platform_store_put (struct wy_platform_store *s, const char *table,
                               const char *part, const char *key,
                               const char *value);
void wy_platform_store_delete (struct wy_platform_store *s, const char *table,
                               const char *part, const char *key);
char *wy_platform_store_value (const struct wy_platform_store *s,
                               const char *table, const char *part,
                               const char *key);
uint32_t wy_platform_store_row_count (const struct wy_platform_store *s,
                                      const char *table, const char *part);
uint32_t wy_platform_store_object_count (const struct wy_platform_store *s);

#endif
