/* List of entries to call: one is used until a call fails, then the next.  */
#include "standin/entry_list.h"

/* Initialise L from ADDRESSES, strings of the form "HOST:PORT".  Return 0, or
   -1 if one is malformed or there are none.  */
int
wy_entry_list_init (struct wy_entry_list *l, const GPtrArray *addresses)
{
  l->hosts = g_ptr_array_new ();
  l->ports = g_array_new (FALSE, FALSE, sizeof (uint16_t));
  l->current = 0;
  for (guint i = 0; i < addresses->len; i++)
    {
      char *host;
      uint16_t port;

      if (!wy_standin_parse_address (addresses->pdata[i], &host, &port))
        return -1;
      g_ptr_array_add (l->hosts, host);
      g_array_append_val (l->ports, port);
    }
  return l->hosts->len > 0 ? 0 : -1;
}

/* Switch to the next entry, after the last one to the first.  */
void
wy_entry_list_next (struct wy_entry_list *l)
{
  l->current = (l->current + 1) % l->hosts->len;
}

/* Set the host and port of O to those of the entry in use.  */
void
wy_entry_list_set_target (const struct wy_entry_list *l,
                          struct wy_http_call_options *o)
{
  o->host = l->hosts->pdata[l->current];
  o->port = g_array_index (l->ports, uint16_t, l->current);
}
