/* Connections to the agents of the targets.  */
#ifndef WY_ENTRY_PEERS_H
#define WY_ENTRY_PEERS_H

#include "entry/state.h"

struct wy_peer *wy_peer_new (struct wy_entry *e, const char *id,
                             const char *host, uint16_t port, const char *zone,
                             struct wy_pool *pool);
void wy_peer_free (void *peer);
void wy_peer_set_subset (struct wy_peer *p, bool in_subset);
void wy_peer_connect (struct wy_peer *p);
void wy_peer_disconnect (struct wy_peer *p);
void wy_peer_sweep (struct wy_peer *p, int64_t now_ms);
GPtrArray *wy_peers_all (struct wy_entry *e);
int wy_peer_send (struct wy_peer *p, const struct wy_frame *f);

#endif
