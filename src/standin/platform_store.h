/* Stand-in of the platform's store of rows and objects, with its feed of
   changes.  */
#ifndef WY_STANDIN_PLATFORM_STORE_H
#define WY_STANDIN_PLATFORM_STORE_H

#include <jansson.h>

#include "h1/server.h"

/* Injected faults, none if zeroed.  Each number counts the calls still to be
   affected, except delay_tx_ms.  */
struct wy_platform_store_faults
{
  uint32_t respond_503;   /* calls rejected with 503 */
  uint32_t respond_429;   /* calls rejected with 429 */
  uint32_t lose_response; /* transactions performed without a response */
  uint32_t delay_tx;      /* transactions performed delay_tx_ms after their
                             connection is aborted */
  uint32_t delay_tx_ms;
  bool silent;          /* all calls are ignored */
  bool compact_history; /* the next read of the feed gets 410 */
  bool stall_feed;      /* reads of the feed never end */
  uint32_t respond_507; /* objects rejected with 507 */
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
                               const char *partition, const char *key,
                               const char *value);
void wy_platform_store_delete (struct wy_platform_store *s, const char *table,
                               const char *partition, const char *key);
char *wy_platform_store_value (const struct wy_platform_store *s,
                               const char *table, const char *partition,
                               const char *key);
uint32_t wy_platform_store_row_count (const struct wy_platform_store *s,
                                      const char *table,
                                      const char *partition);
uint32_t wy_platform_store_object_count (const struct wy_platform_store *s);

#endif
