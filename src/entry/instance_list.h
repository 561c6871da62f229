/* Targets from the instance list.  */
#ifndef WY_ENTRY_INSTANCE_LIST_H
#define WY_ENTRY_INSTANCE_LIST_H

#include <jansson.h>

#include "entry/state.h"

void wy_instance_list_start (struct wy_entry *e);
void wy_instance_list_stop (struct wy_entry *e);
void wy_instance_list_apply (struct wy_entry *e, const json_t *list);

#endif
