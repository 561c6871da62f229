/* Loads of weights recognised by rejections.  */
#include <criterion/criterion.h>

#include "decide/weight_load.h"

enum
{
  LOAD_MS = 900,
  CHECK_MS = 20
};

/* Items wait during a load of LENGTH_MS that begins at START_MS and is noticed
   immediately.  Returns the number of rejected runs and sets *LOST_MS to the
   time from the end of the load to the first accepted run.  */
static uint32_t
rejections (struct wy_weight_load_time *t, int64_t start_ms, int64_t length_ms,
            int64_t *lost_ms)
{
  struct wy_weight_load l = { 0 };
  uint32_t n = 0;

  for (int64_t now_ms = start_ms;; now_ms += CHECK_MS)
    {
      if (wy_weight_load_blocks (&l, 0, now_ms))
        continue;
      if (now_ms - start_ms >= length_ms)
        {
          *lost_ms = now_ms - start_ms - length_ms;
          cr_expect (wy_weight_load_accepted (&l, t, now_ms, now_ms + 5));
          return n;
        }
      n++;
      cr_expect (wy_weight_load_rejected (&l, t, now_ms));
    }
}

/* Load: a weight load of 0.9 s.  Each attempt during it is a rejected run, and
   there were about six per load with pauses of 50 to 200 ms.  There must be
   about two, and the replica must not stay unused for long afterwards, also
   when loads take less or more time than is assumed at first.  */
Test (weight_load, few_rejections_and_little_time_lost)
{
  static const int64_t lengths_ms[] = { LOAD_MS, 400, 1400 };

  for (int k = 0; k < 3; k++)
    {
      struct wy_weight_load_time t = { 0 };
      uint32_t n = 0;
      int64_t lost_ms;

      for (int i = 0; i < 30; i++)
        rejections (&t, (int64_t)10000 * (i + 1), lengths_ms[k], &lost_ms);
      for (int i = 0; i < 20; i++)
        {
          n += rejections (&t, (int64_t)10000 * (i + 100), lengths_ms[k],
                           &lost_ms);
          cr_expect_lt (lost_ms, lengths_ms[k] / 3);
        }
      cr_expect_leq (n, 20 * 2);
    }
}

/* The list shows the new version before the usual time has passed: one run is
   sent, and no second one before it is accepted.  A run that was accepted
   before the load must not end it.  */
Test (weight_load, row_ends_the_pause)
{
  struct wy_weight_load l = { 0 };
  struct wy_weight_load_time t = { 0 };

  wy_weight_load_row_changed (&l);
  cr_expect_not (wy_weight_load_blocks (&l, 1, 50));
  wy_weight_load_rejected (&l, &t, 100);
  cr_expect_not (wy_weight_load_accepted (&l, &t, 99, 101));
  cr_expect (wy_weight_load_blocks (&l, 0, 500));
  wy_weight_load_row_changed (&l);
  cr_expect_not (wy_weight_load_blocks (&l, 0, 500));
  cr_expect (wy_weight_load_blocks (&l, 1, 500));
  cr_expect (wy_weight_load_accepted (&l, &t, 500, 510));
  cr_expect_not (wy_weight_load_blocks (&l, 1, 510));
  cr_expect_lt (wy_weight_load_usual_ms (&t), LOAD_MS);
}

/* A replica that rejects for longer than any load has another fault; it must
   then be handled like any replica that rejects work.  */
Test (weight_load, long_rejection_is_no_load)
{
  struct wy_weight_load l = { 0 };
  struct wy_weight_load_time t = { 0 };
  int64_t now_ms = 1;

  while (wy_weight_load_rejected (&l, &t, now_ms))
    now_ms += 100;
  cr_expect_gt (now_ms, 3000);
  cr_expect_lt (now_ms, 3200);
  cr_expect_not (wy_weight_load_blocks (&l, 0, now_ms));
}
