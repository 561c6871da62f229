/* Intrusive doubly linked list of queue items.  */
#ifndef WY_DECIDE_ITEM_LIST_H
#define WY_DECIDE_ITEM_LIST_H

#include "decide/queue.h"

void wy_queue_item_push (struct wy_queue_item_list *l,
                         struct wy_queue_item *it);
void wy_queue_item_push_front (struct wy_queue_item_list *l,
                               struct wy_queue_item *it);
void wy_queue_item_unlink (struct wy_queue_item_list *l,
                           struct wy_queue_item *it);

#endif
