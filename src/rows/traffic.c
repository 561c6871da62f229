/* Counters of calls to the store by table.  */
#include "rows/traffic.h"

#include <string.h>

#include <glib.h>

/* The counters of TABLE, added if missing.  When the array is full, further
   tables share its last element, named "other".  */
struct wy_table_traffic *
wy_traffic_counters (struct wy_traffic *t, const char *table)
{
  struct wy_table_traffic *c;

  for (uint32_t i = 0; i < t->n_tables; i++)
    if (!strcmp (t->tables[i].table, table))
      return &t->tables[i];
  if (t->n_tables == WY_TRAFFIC_TABLES_MAX)
    return &t->tables[WY_TRAFFIC_TABLES_MAX - 1];
  c = &t->tables[t->n_tables++];
  g_strlcpy (c->table, t->n_tables == WY_TRAFFIC_TABLES_MAX ? "other" : table,
             sizeof c->table);
  return c;
}
