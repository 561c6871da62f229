/* Counters of calls to the store by table.  */
#ifndef WY_ROWS_TRAFFIC_H
#define WY_ROWS_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

enum
{
  WY_TRAFFIC_TABLES_MAX = 24,
  WY_TRAFFIC_NAME_SIZE_BYTES = 32
};

struct wy_table_traffic
{
  char table[WY_TRAFFIC_NAME_SIZE_BYTES];
  uint64_t calls;
  uint64_t rows_read;
  uint64_t read_bytes;
  uint64_t written_bytes;
};

struct wy_traffic
{
  struct wy_table_traffic tables[WY_TRAFFIC_TABLES_MAX];
  uint32_t n_tables;
};

struct wy_table_traffic *wy_traffic_counters (struct wy_traffic *t,
                                              const char *table);

#endif
