/* Account of the memory that requests and jobs of a process occupy.

   Modules add what they allocate and subtract what they free, by class.  The
   total against the budget gives a level, which says what the process must do
   to stay within its memory: without it, callers that stop reading, or one job
   with long texts, would exhaust the memory and end the process with all the
   work in it.

   All functions accept NULL for an account without a limit.  */
#include "base/memory_account.h"

#include <string.h>

#include <glib.h>

enum
{
  PERCENT = 100,
  PAUSE_READING_PERCENT = 60,
  REJECT_NEW_PERCENT = 75,
  SHED_PERCENT = 90,
  /* A level is left when the total has fallen this far below its threshold, so
     that a total near a threshold does not change the level at each write.  */
  HYSTERESIS_PERCENT = 5,
  MB = 1 << 20,
  /* A process keeps within this part of its memory.  */
  BUDGET_DIVISOR = 2,
  /* Resident size of a process without work, 8 MB, and what is in use beyond
     the account when it peaks: 4 MB with 500 streams, 7 MB while texts of
     500 kB are stored, listed and read.  */
  UNCOUNTED_BYTES = 15 * MB,
  /* A process with very little memory gets at least the memory divided by
     this, or it would reject all work.  */
  BUDGET_MIN_DIVISOR = 8,
  /* Part of the budget that incomplete requests may hold while other work
     makes memory short.  */
  RECEIVED_DIVISOR = 4
};

/* The budget of a process with MEMORY_BYTES.  */
int64_t
wy_memory_budget_bytes (int64_t memory_bytes)
{
  return MAX (memory_bytes / BUDGET_DIVISOR - UNCOUNTED_BYTES,
              memory_bytes / BUDGET_MIN_DIVISOR);
}

static void
set_threshold (struct wy_memory_account *a, enum wy_memory_level level,
               int64_t percent)
{
  a->rise_bytes[level] = a->budget_bytes / PERCENT * percent;
  a->fall_bytes[level]
      = a->budget_bytes / PERCENT * (percent - HYSTERESIS_PERCENT);
}

/* Initialize A, empty, with a budget of BUDGET_BYTES; 0: no limit.  */
void
wy_memory_account_init (struct wy_memory_account *a, int64_t budget_bytes)
{
  memset (a, 0, sizeof *a);
  a->budget_bytes = budget_bytes;
  set_threshold (a, WY_MEMORY_PAUSE_READING, PAUSE_READING_PERCENT);
  set_threshold (a, WY_MEMORY_REJECT_NEW, REJECT_NEW_PERCENT);
  set_threshold (a, WY_MEMORY_SHED, SHED_PERCENT);
}

static void
update_level (struct wy_memory_account *a)
{
  while (a->level < WY_MEMORY_SHED
         && a->total_bytes > a->rise_bytes[a->level + 1])
    {
      a->level++;
      a->levels_raised++;
    }
  while (a->level > WY_MEMORY_NORMAL
         && a->total_bytes <= a->fall_bytes[a->level])
    a->level--;
  if (a->level > a->highest_level)
    a->highest_level = a->level;
  if (a->level == WY_MEMORY_SHED)
    a->shedding = true;
  else if (a->total_bytes <= a->rise_bytes[WY_MEMORY_REJECT_NEW])
    a->shedding = false;
}

/* Add DELTA_BYTES, negative for freed memory, to CLASS of A.  */
void
wy_memory_account_add (struct wy_memory_account *a, enum wy_memory_class class,
                       int64_t delta_bytes)
{
  if (!a)
    return;
  a->bytes[class] += delta_bytes;
  a->total_bytes += delta_bytes;
  if (a->total_bytes > a->peak_bytes)
    a->peak_bytes = a->total_bytes;
  if (a->budget_bytes)
    update_level (a);
}

/* The level of A.  */
enum wy_memory_level
wy_memory_account_level (const struct wy_memory_account *a)
{
  return a ? a->level : WY_MEMORY_NORMAL;
}

/* Bytes to free by closing connections whose readers take nothing; 0: none.
   From level SHED on, the total is brought down to the threshold of REJECT_NEW
   at once, so that work can be accepted again soon.  */
int64_t
wy_memory_account_to_shed_bytes (const struct wy_memory_account *a)
{
  int64_t above_bytes;

  if (!a || !a->shedding)
    return 0;
  above_bytes = a->total_bytes - a->rise_bytes[WY_MEMORY_REJECT_NEW];
  return above_bytes > 0 ? above_bytes : 0;
}

/* Bytes to free by ending incomplete requests, so that reading is no longer
   paused; 0: none.  If memory is short for other work, what connections and
   bodies hold up to a part of the budget is left to them.  */
int64_t
wy_memory_account_to_relieve_bytes (const struct wy_memory_account *a)
{
  int64_t received_bytes;
  int64_t above_bytes;

  if (!a || a->level == WY_MEMORY_NORMAL)
    return 0;
  received_bytes = a->bytes[WY_MEMORY_BODIES] + a->bytes[WY_MEMORY_CONNECTIONS]
                   - a->budget_bytes / RECEIVED_DIVISOR;
  above_bytes = a->total_bytes - a->fall_bytes[WY_MEMORY_PAUSE_READING];
  return MAX (MIN (above_bytes, received_bytes), 0);
}

/* Whether a new request must be rejected, and count it if so: from REJECT_NEW
   on one with a body, under SHED any.  */
bool
wy_memory_account_rejects (struct wy_memory_account *a, bool has_body)
{
  enum wy_memory_level level = wy_memory_account_level (a);

  if (level < WY_MEMORY_REJECT_NEW || (level < WY_MEMORY_SHED && !has_body))
    return false;
  a->rejections++;
  return true;
}

/* Name of CLASS in log lines and metrics.  */
const char *wy_memory_class_name (enum wy_memory_class class)
{
  static const char *const names[WY_MEMORY_CLASSES]
      = { "to_callers", "to_replicas", "bodies", "connections",
          "responses",  "jobs",        "store" };

  return names[class];
}

/* Name of LEVEL in log lines.  */
const char *
wy_memory_level_name (enum wy_memory_level level)
{
  static const char *const names[WY_MEMORY_LEVELS]
      = { "normal", "pause_reading", "reject_new", "shed" };

  return names[level];
}
