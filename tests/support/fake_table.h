/* A small table service and object store inside the test's own loop.  */
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
  bool down;                /* 503 */
  uint32_t delay_ms;        /* each answer */
  uint32_t lose_responses;  /* carry out this many transactions, no answer */
  uint32_t drop_requests;   /* no answer and no effect, this many */
  uint32_t calls_until_429; /* calls until 429; 0: none */
  const char *lose_response_key_suffix; /* lose the answer when a key written
                                           ends in it */
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

/* Run LOOP until DONE says so; false when it never did.  */
bool run_until (uv_loop_t *loop, bool (*done) (void *ctx), void *ctx);
void run_for (uv_loop_t *loop, uint32_t ms);
/* Run what is left to run and close the loop.  */
void drain_loop (uv_loop_t *loop);

#endif
