/* Intrusive doubly linked list of queue items.  */
#include "decide/item_list.h"

#include <stddef.h>

/* Append IT to L.  */
void
wy_queue_item_push (struct wy_queue_item_list *l, struct wy_queue_item *it)
{
  it->next = NULL;
  it->prev = l->tail;
  if (l->tail)
    l->tail->next = it;
  else
    l->head = it;
  l->tail = it;
  l->n++;
}

/* Prepend IT to L.  */
void
wy_queue_item_push_front (struct wy_queue_item_list *l,
                          struct wy_queue_item *it)
{
  it->prev = NULL;
  it->next = l->head;
  if (l->head)
    l->head->prev = it;
  else
    l->tail = it;
  l->head = it;
  l->n++;
}

/* Remove IT from L, which must contain it.  */
void
wy_queue_item_unlink (struct wy_queue_item_list *l, struct wy_queue_item *it)
{
  if (it->prev)
    it->prev->next = it->next;
  else
    l->head = it->next;
  if (it->next)
    it->next->prev = it->prev;
  else
    l->tail = it->prev;
  it->prev = NULL;
  it->next = NULL;
  l->n--;
}
