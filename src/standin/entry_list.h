/* List of entries to call, used one at a time.  */
#ifndef WY_STANDIN_ENTRY_LIST_H
#define WY_STANDIN_ENTRY_LIST_H

#include "standin/standin.h"

struct wy_entry_list
{
  GPtrArray *hosts; /* char * */
  GArray *ports;    /* uint16_t */
  guint current;    /* index of the entry in use */
};

int wy_entry_list_init (struct wy_entry_list *l, const GPtrArray *addresses);
void wy_entry_list_next (struct wy_entry_list *l);
void wy_entry_list_set_target (const struct wy_entry_list *l,
                               struct wy_http_call_options *o);

#endif
