/* Memory of items in the account of the process.  */
#include "jobs/active_job.h"

/* Bring the memory account up to date with the text and the result of I, which
   holds a copy of it.  */
void
wy_item_count_memory (struct wy_item *i)
{
  size_t bytes = i->text->len;

  if (i->result && !i->result->given_up)
    bytes *= 2;
  wy_memory_account_add (&i->job->env->memory, WY_MEMORY_JOBS,
                         (int64_t)bytes - (int64_t)i->counted_bytes);
  i->counted_bytes = bytes;
}
