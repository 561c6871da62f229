/* Calls to the service through a list of entries: one is used until it
   fails, then the next one.  */
#include "standin/entry_list.h"

/* Read the "HOST:PORT" texts of ADDRESSES.  Returns 0, or -1 when one is
   wrong or there is none.  */
int
wy_entries_init (struct wy_entries *e, const GPtrArray *addresses)
{
  e->hosts = g_ptr_array_new ();
  e->ports = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  e->at = 0;
  for (guint i = 0; i < addresses->len; i++)
    {
      char *host;
      uint16_t port;

      if (!wy_standin_address (addresses->pdata[i], &host, &port))
        return -1;
      g_ptr_array_add (e->hosts, host);
      g_array_append_val (e->ports, port);
    }
  return e->hosts->len > 0 ? 0 : -1;
}

/* Use the next entry from now on.  */
void
wy_entries_next (struct wy_entries *e)
{
  e->at = (e->at + 1) % e->hosts->len;
}

/* Let O go to the entry in use.  */
void
wy_entries_target (const struct wy_entries *e, struct wy_http_call_options *o)
{
  o->host = e->hosts->pdata[e->at];
  o->port = g_array_index (e->ports, uint16_t, e->at);
}
