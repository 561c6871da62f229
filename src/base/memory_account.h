/* Account of the memory that requests and jobs of a process occupy.  */
#ifndef WY_BASE_MEMORY_ACCOUNT_H
#define WY_BASE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

enum wy_memory_class
{
  WY_MEMORY_TO_CALLERS,  /* responses that callers have not read */
  WY_MEMORY_TO_REPLICAS, /* requests that replicas or the store have not read
                          */
  WY_MEMORY_BODIES,      /* bodies of callers' requests */
  WY_MEMORY_CONNECTIONS, /* of callers: heads and bytes not parsed yet */
  WY_MEMORY_RESPONSES,   /* of replicas, stored until they are complete */
  WY_MEMORY_JOBS,        /* bodies and texts of jobs */
  WY_MEMORY_STORE,       /* bodies and responses of calls to the store */
  WY_MEMORY_CLASSES
};

enum wy_memory_level
{
  WY_MEMORY_NORMAL,
  WY_MEMORY_PAUSE_READING, /* from sources whose reader is behind */
  WY_MEMORY_REJECT_NEW,    /* requests with bodies, and jobs */
  WY_MEMORY_SHED,          /* close connections whose reader takes nothing */
  WY_MEMORY_LEVELS
};

/* All zero: an account without a limit, always at level NORMAL.  */
struct wy_memory_account
{
  int64_t budget_bytes; /* 0: no limit */
  int64_t total_bytes;
  int64_t peak_bytes; /* of the total */
  int64_t bytes[WY_MEMORY_CLASSES];
  int64_t rise_bytes[WY_MEMORY_LEVELS]; /* above it, the level is reached */
  int64_t fall_bytes[WY_MEMORY_LEVELS]; /* at or below it, it is left */
  enum wy_memory_level level;
  enum wy_memory_level highest_level; /* since the owner has reset it */
  bool shedding; /* from level SHED until the total is below REJECT_NEW */
  uint64_t levels_raised;
  uint64_t sheds;
  uint64_t rejections;
};

int64_t wy_memory_budget_bytes (int64_t memory_bytes);
void wy_memory_account_init (struct wy_memory_account *a,
                             int64_t budget_bytes);
void wy_memory_account_add (struct wy_memory_account *a,
                            enum wy_memory_class class, int64_t delta_bytes);
enum wy_memory_level
wy_memory_account_level (const struct wy_memory_account *a);
int64_t wy_memory_account_to_shed_bytes (const struct wy_memory_account *a);
int64_t wy_memory_account_to_relieve_bytes (const struct wy_memory_account *a);
bool wy_memory_account_rejects (struct wy_memory_account *a, bool has_body);
const char *wy_memory_class_name (enum wy_memory_class class);
const char *wy_memory_level_name (enum wy_memory_level level);

#endif
