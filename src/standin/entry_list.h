/* Calls to the service through a list of entries.  */
#ifndef WY_STANDIN_ENTRY_LIST_H
#define WY_STANDIN_ENTRY_LIST_H

#include "standin/standin.h"

struct wy_entries
{
  GPtrArray *hosts; /* char * */
  GArray *ports;    /* uint16_t */
  guint at;         /* entry in use */
};

int wy_entries_init (struct wy_entries *e, const GPtrArray *addresses);
void wy_entries_next (struct wy_entries *e);
void wy_entries_target (const struct wy_entries *e,
                        struct wy_http_call_options *o);

#endif
