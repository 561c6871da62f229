/* Account of memory: its levels.  */
#include <criterion/criterion.h>

#include "base/memory_account.h"

enum
{
  BUDGET_BYTES = 1000
};

/* Loads that oscillate around a threshold.  Without hysteresis the level, and
   with it reading and admission, would change at each write.  Each row: bytes
   added and the expected level.  */
Test (memory_account, levels_have_hysteresis)
{
  static const struct
  {
    int64_t delta_bytes;
    enum wy_memory_level level;
  } rows[]
      = { { 600, WY_MEMORY_NORMAL },        { 1, WY_MEMORY_PAUSE_READING },
          { -50, WY_MEMORY_PAUSE_READING }, { -1, WY_MEMORY_NORMAL },
          { 201, WY_MEMORY_REJECT_NEW },    { -50, WY_MEMORY_REJECT_NEW },
          { 200, WY_MEMORY_SHED },          { -50, WY_MEMORY_SHED },
          { -1, WY_MEMORY_REJECT_NEW },     { -150, WY_MEMORY_PAUSE_READING },
          { 500, WY_MEMORY_SHED },          { -1200, WY_MEMORY_NORMAL } };
  struct wy_memory_account a;

  wy_memory_account_init (&a, BUDGET_BYTES);
  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      wy_memory_account_add (&a, i % WY_MEMORY_CLASSES, rows[i].delta_bytes);
      cr_expect_eq (wy_memory_account_level (&a), rows[i].level, "row %zu: %s",
                    i, wy_memory_level_name (wy_memory_account_level (&a)));
    }
  cr_expect_eq (a.total_bytes, 0);
  cr_expect_eq (a.peak_bytes, 1200);
}

/* Shedding must free memory down to the threshold of rejection.  If it stopped
   where level SHED is left, the next few bytes would start it again.  */
Test (memory_account, shedding_continues_below_its_level)
{
  struct wy_memory_account a;

  wy_memory_account_init (&a, BUDGET_BYTES);
  wy_memory_account_add (&a, WY_MEMORY_TO_CALLERS, 900);
  cr_expect_eq (wy_memory_account_to_shed_bytes (&a), 0);
  wy_memory_account_add (&a, WY_MEMORY_TO_CALLERS, 50);
  cr_expect_eq (wy_memory_account_to_shed_bytes (&a), 200);
  wy_memory_account_add (&a, WY_MEMORY_TO_CALLERS, -150);
  cr_expect_eq (wy_memory_account_level (&a), WY_MEMORY_REJECT_NEW);
  cr_expect_eq (wy_memory_account_to_shed_bytes (&a), 50);
  wy_memory_account_add (&a, WY_MEMORY_TO_CALLERS, -50);
  cr_expect_eq (wy_memory_account_to_shed_bytes (&a), 0);
  wy_memory_account_add (&a, WY_MEMORY_TO_CALLERS, 100);
  cr_expect_eq (wy_memory_account_to_shed_bytes (&a), 0);
}

/* Requests without a body hold little memory, and reads of results free it, so
   they are served as long as possible; an account without a budget, or none at
   all, rejects nothing.  */
Test (memory_account, rejects_bodies_first)
{
  struct wy_memory_account a;

  wy_memory_account_init (&a, BUDGET_BYTES);
  wy_memory_account_add (&a, WY_MEMORY_JOBS, 750);
  cr_expect_not (wy_memory_account_rejects (&a, true));
  wy_memory_account_add (&a, WY_MEMORY_JOBS, 1);
  cr_expect (wy_memory_account_rejects (&a, true));
  cr_expect_not (wy_memory_account_rejects (&a, false));
  wy_memory_account_add (&a, WY_MEMORY_JOBS, 150);
  cr_expect (wy_memory_account_rejects (&a, false));
  cr_expect_eq (a.rejections, 2);
  wy_memory_account_init (&a, 0);
  wy_memory_account_add (&a, WY_MEMORY_JOBS, INT64_C (1) << 40);
  cr_expect_not (wy_memory_account_rejects (&a, true));
  cr_expect_not (wy_memory_account_rejects (NULL, true));
}

/* Memory is short.  If jobs hold it, ordinary uploads must not be ended for
   that; if incomplete requests do, they are.  Each row: held by jobs, by
   bodies and by connections, and how much is to be freed.  */
Test (memory_account, incomplete_requests_give_way_for_their_own_part)
{
  static const int64_t rows[][4]
      = { { 900, 50, 10, 0 }, { 600, 200, 51, 1 }, { 0, 0, 700, 150 },
          { 0, 700, 0, 150 }, { 100, 300, 50, 0 }, { 300, 0, 500, 250 } };

  for (size_t i = 0; i < sizeof rows / sizeof *rows; i++)
    {
      struct wy_memory_account a;

      wy_memory_account_init (&a, BUDGET_BYTES);
      wy_memory_account_add (&a, WY_MEMORY_JOBS, rows[i][0]);
      wy_memory_account_add (&a, WY_MEMORY_BODIES, rows[i][1]);
      wy_memory_account_add (&a, WY_MEMORY_CONNECTIONS, rows[i][2]);
      cr_expect_eq (wy_memory_account_to_relieve_bytes (&a), rows[i][3],
                    "row %zu: %lld", i,
                    (long long)wy_memory_account_to_relieve_bytes (&a));
    }
}
