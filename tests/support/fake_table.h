/* A small table service and object store in the event loop of the test.  */
#ifndef WY_TESTS_FAKE_TABLE_H
#define WY_TESTS_FAKE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>
#include <uv.h>

#include "http/server.h"

struct fake_table
{
  uv_loop_t *loop;
  struct wy_http_server *server;
  char address[32]; /* "host:port" */
  int64_t rev;
  GHashTable *rows;    /* key -> struct fake_row */
  GHashTable *objects; /* key -> GBytes */
  /* Faults.  */
  bool down;                /* respond 503 */
  uint32_t delay_ms;        /* of each response */
  uint32_t lose_responses;  /* transactions to execute without responding */
  uint32_t drop_requests;   /* transactions to fail without execution */
  uint32_t calls_until_429; /* the call that gets status 429; 0: none */
  /* Lose one response to a write of a key with this suffix.  */
  const char *lose_response_key_suffix;
  /* Counts.  */
  uint32_t reads;
  uint32_t txns;
  uint32_t puts;
  uint32_t refused;
  uint32_t open;
  uint32_t open_max;
};

struct fake_row
{
  int64_t rev;
  json_t *value;
};

struct fake_table *fake_table_new (uv_loop_t *loop);
void fake_table_free (struct fake_table *t);
const json_t *fake_table_get (struct fake_table *t, const char *key);
const char *fake_table_text (struct fake_table *t, const char *key,
                             const char *member);
void fake_table_set (struct fake_table *t, const char *key, json_t *value);

/* Run LOOP until DONE returns true; false on timeout.  */
bool run_until (uv_loop_t *loop, bool (*done) (void *ctx), void *ctx);
void run_for (uv_loop_t *loop, uint32_t ms);
/* Run what is pending on LOOP.  */
void drain_loop (uv_loop_t *loop);

#endif
