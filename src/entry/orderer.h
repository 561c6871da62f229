/* Orders to the agents, for weight rollouts and drains.  */
#ifndef WY_ENTRY_ORDERER_H
#define WY_ENTRY_ORDERER_H

#include "entry/state.h"

void wy_order_free (void *order);
void wy_order_send (struct wy_entry *e, const struct wy_order_request *r,
                    uint64_t fingerprint,
                    void (*on_done) (void *ctx, int result, int64_t version),
                    void *ctx);
void wy_order_result_frame (struct wy_peer *p,
                            const struct wy_frame_ordered *f);
void wy_orders_fail_peer (struct wy_peer *p);
void wy_orders_sweep (struct wy_entry *e, int64_t now_ms);

#endif
