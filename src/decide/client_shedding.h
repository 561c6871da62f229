/* Which clients' connections give way when memory or descriptors run short,
   and how many connections a process accepts.  Does no input or output.  */
#ifndef WY_DECIDE_CLIENT_SHEDDING_H
#define WY_DECIDE_CLIENT_SHEDDING_H

#include <stdbool.h>
#include <stdint.h>

#include "base/memory_account.h"

enum wy_client_state
{
  WY_CLIENT_WAITING,   /* for the first or next request */
  WY_CLIENT_RECEIVING, /* an incomplete request */
  WY_CLIENT_IN_PROGRESS,
  WY_CLIENT_CLOSING /* the last response was queued */
};

/* What is known of a connection.  */
struct wy_client_view
{
  enum wy_client_state state;
  bool has_served; /* a complete request */
  uint64_t held_bytes;
  uint32_t state_ms;  /* since the state began */
  uint32_t unread_ms; /* since all responses were last sent; 0: they are */
  uint32_t silent_ms; /* of these, during which the reader took nothing */
};

/* Connections that the listeners of a process accept at most.  */
struct wy_client_shares
{
  uint32_t callers;
  uint32_t peers;
  uint32_t readiness;
  uint32_t metrics;
};

uint64_t wy_client_rank_for_descriptor (const struct wy_client_view *v);
uint64_t wy_client_rank_for_memory (const struct wy_client_view *v,
                                    enum wy_memory_level level);
uint64_t wy_client_rank_for_body (const struct wy_client_view *v);
uint32_t wy_client_unread_limit (uint32_t limit_bytes,
                                 enum wy_memory_level level);
void wy_client_shares (uint32_t descriptors, int64_t budget_bytes,
                       struct wy_client_shares *out);

#endif
