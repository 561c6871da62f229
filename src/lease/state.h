/* State machine of one lease in one process.  It does no I/O and reads no
   clock: the monotonic time is passed in.  */
#ifndef WY_LEASE_STATE_H
#define WY_LEASE_STATE_H

#include <stdbool.h>
#include <stdint.h>

enum wy_lease_step
{
  WY_LEASE_WAIT,
  WY_LEASE_READ,    /* read the rows */
  WY_LEASE_ACQUIRE, /* write, conditional on the revisions read */
  WY_LEASE_RENEW,
  WY_LEASE_LOST /* was held until now */
};

struct wy_lease_row
{
  int64_t rev;       /* of "lease/NAME" */
  int64_t token_rev; /* of "lease/NAME/fence" */
  int64_t fencing_token;
  uint32_t ttl_ms;
  bool released;
  bool own; /* written by this process */
};

struct wy_lease_state
{
  uint32_t ttl_ms;
  bool held;
  bool pending;            /* a response is outstanding */
  bool row_is_current;     /* the next step needs no read first */
  bool has_row;            /* row has been read or written */
  struct wy_lease_row row; /* as last read or written */
  int64_t row_observed_ms; /* when this rev was first read */
  int64_t until_ms;        /* end of the lease, less the margin */
  int64_t next_ms;         /* when to read or renew next */
  int64_t last_checked_ms; /* time of the last wy_lease_next_step */
  uint32_t max_gap_ms;     /* longer gaps between steps end the lease */
};

void wy_lease_set_ttl (struct wy_lease_state *s, uint32_t ttl_ms);
void wy_lease_state_init (struct wy_lease_state *s, uint32_t ttl_ms,
                          int64_t now_ms);
enum wy_lease_step wy_lease_next_step (struct wy_lease_state *s,
                                       int64_t now_ms);
void wy_lease_on_sent (struct wy_lease_state *s);
void wy_lease_on_read (struct wy_lease_state *s, int64_t now_ms,
                       const struct wy_lease_row *row, uint32_t jitter_ms);
void wy_lease_on_acquired (struct wy_lease_state *s, int64_t sent_ms,
                           int64_t now_ms, const struct wy_lease_row *row);
void wy_lease_on_renewed (struct wy_lease_state *s, int64_t sent_ms,
                          int64_t now_ms, int64_t rev);
void wy_lease_on_failed (struct wy_lease_state *s, int64_t now_ms,
                         bool conflict, uint32_t jitter_ms);
bool wy_lease_holds (const struct wy_lease_state *s, int64_t now_ms);

#endif
