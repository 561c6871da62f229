/* Bounds on what the clients of all HTTP/1.1 servers of a process can make it
   hold and do.  */
#ifndef WY_H1_OVERLOAD_H
#define WY_H1_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "base/memory_account.h"
#include "decide/client_shedding.h"

/* Why a connection was closed or its request rejected.  */
enum wy_h1_yield_reason
{
  WY_H1_YIELD_DESCRIPTORS, /* another connection needs its descriptor */
  WY_H1_YIELD_MEMORY,
  WY_H1_YIELD_BODY_ROOM, /* another body needs the room of its own */
  WY_H1_YIELD_READER,    /* took nothing for the time limit of readers */
  WY_H1_YIELD_REASONS
};

/* A connection that gives way.  */
struct wy_h1_yield
{
  enum wy_h1_yield_reason reason;
  const char *listener;
  struct wy_client_view client;
  uint32_t connections; /* open at its listener */
};

struct wy_h1_overload_stats
{
  uint64_t yields[WY_H1_YIELD_REASONS];
  uint64_t unread_pauses;    /* a request waited for its client to read */
  uint64_t turns_cut;        /* requests waited for the next turn */
  uint64_t accepts_deferred; /* all connections had a request in progress */
  uint64_t places_passed;    /* a response was a connection's last for one */
  uint64_t accepts_failed;
};

struct wy_h1_overload_options
{
  uv_loop_t *loop;
  struct wy_memory_account *memory; /* NULL: none */
  /* A connection gives way; may be NULL.  */
  void (*on_yield) (void *ctx, const struct wy_h1_yield *y);
  /* A connection can't be accepted for the system's error ERR; may be
     NULL.  */
  void (*on_accept_failed) (void *ctx, const char *listener, int err);
  void *ctx;
};

struct wy_h1_overload
{
  struct wy_h1_overload_options o;
  struct wy_h1_overload_stats stats;
  GQueue servers;      /* struct wy_h1_server */
  GQueue ready;        /* connections with unparsed bytes that await a turn */
  uv_idle_t next_turn; /* active while a further turn is wanted */
  uv_prepare_t begin_turn;
  uint32_t handles;       /* open or closing */
  uint64_t turn;          /* number of the present one */
  uint32_t turn_requests; /* taken in it */
  uint64_t relieved_turn; /* in which memory was last freed */
  int64_t relieved_bytes; /* total of the account after that */
};

struct wy_h1_overload *
wy_h1_overload_new (const struct wy_h1_overload_options *o);
void wy_h1_overload_close (struct wy_h1_overload *v);
const char *wy_h1_yield_name (enum wy_h1_yield_reason r);
const char *wy_h1_client_state_name (enum wy_client_state s);

#endif
