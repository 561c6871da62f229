/* Paths to the store: direct, or through a peer that forwards calls.  Does no
   input or output; the caller reports the results of calls.  */
#ifndef WY_ROWS_PATHS_H
#define WY_ROWS_PATHS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <netinet/in.h>

enum
{
  WY_PATHS_RELAYS_MAX = 64
};

struct wy_relay
{
  struct sockaddr_in address;
  int64_t avoid_until_ms; /* after a failed call */
};

struct wy_paths
{
  struct sockaddr_in direct;
  bool direct_ok;
  int64_t direct_answered_ms; /* send time of the newest success */
  int64_t direct_restored_ms; /* send time of the first success after it */
  int64_t next_probe_ms;      /* time of the next probe while it fails */
  struct wy_relay relays[WY_PATHS_RELAYS_MAX];
  size_t n_relays;
  size_t next_relay;
};

void wy_paths_init (struct wy_paths *p, const struct sockaddr_in *direct,
                    size_t first_relay);
void wy_paths_set_relays (struct wy_paths *p, const struct sockaddr_in *peers,
                          size_t n);
struct sockaddr_in wy_paths_choose (struct wy_paths *p, int64_t now_ms,
                                    bool *relayed);
bool wy_paths_has_alternative (const struct wy_paths *p, int64_t now_ms);
bool wy_paths_record_direct (struct wy_paths *p, int64_t started_ms, bool ok);
void wy_paths_record_relay_failure (struct wy_paths *p,
                                    const struct sockaddr_in *peer,
                                    int64_t now_ms);

#endif
