/* The ways to the store: directly, or through another process of the system.
   No input or output: what became of calls is told to it.  */
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

struct wy_path
{
  struct sockaddr_in address;
  int64_t avoid_until_ms; /* a call through it failed */
};

struct wy_paths
{
  struct sockaddr_in direct;
  bool direct_ok;
  int64_t direct_heard_ms; /* start of the newest call answered directly */
  int64_t regained_ms;     /* start of the call that showed it to work again */
  int64_t probe_ms;        /* the next direct try while it fails */
  struct wy_path relays[WY_PATHS_RELAYS_MAX];
  size_t n_relays;
  size_t next_relay;
};

void wy_paths_init (struct wy_paths *p, const struct sockaddr_in *direct,
                    size_t first_relay);
void wy_paths_set_relays (struct wy_paths *p, const struct sockaddr_in *peers,
                          size_t n);
struct sockaddr_in wy_paths_choose (struct wy_paths *p, int64_t now_ms,
                                    bool *relayed);
bool wy_paths_has_other (const struct wy_paths *p, int64_t now_ms);
bool wy_paths_direct_ended (struct wy_paths *p, int64_t started_ms, bool ok);
void wy_paths_relay_failed (struct wy_paths *p, const struct sockaddr_in *peer,
                            int64_t now_ms);

#endif
