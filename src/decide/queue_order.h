/* Order in which queued items start; private to the queue modules.  */
#ifndef WY_DECIDE_QUEUE_ORDER_H
#define WY_DECIDE_QUEUE_ORDER_H

#include "decide/queue.h"

void wy_queue_enqueue (struct wy_queue *q, struct wy_queue_item *it);
void wy_queue_dequeue (struct wy_queue *q, struct wy_queue_item *it);
void wy_queue_start_if_first (struct wy_queue *q, struct wy_queue_item *it,
                              int64_t now_ms);

#endif
