/* Which requests run one at a time, and which entries are told, when targets
   crash.  */
#include <criterion/criterion.h>
#include <string.h>

#include "decide/crash_tracker.h"
#include "decide/ring.h"
#include "decide/run_permits.h"
#include "gate/isolation.h"
#include "gate/suspect_list.h"

enum
{
  FINGERPRINT = 77,
  ENTRIES_MAX = 1000,
  FAN_OUT = 16,
  RUN_MS = 800
};

/* Entries ask for permits for one request at the same time.  Guards against
   more than one run at a time.  */
Test (crash_isolation, one_permit_a_request)
{
  static struct wy_run_permits p;

  cr_expect (wy_run_permits_take (&p, FINGERPRINT, 1, RUN_MS, 0));
  cr_expect_not (wy_run_permits_take (&p, FINGERPRINT, 2, RUN_MS, 1));
  cr_expect (wy_run_permits_take (&p, FINGERPRINT + 1, 3, RUN_MS, 1));
  wy_run_permits_release (&p, FINGERPRINT, 2);
  cr_expect_not (wy_run_permits_take (&p, FINGERPRINT, 2, RUN_MS, 2));
  wy_run_permits_release (&p, FINGERPRINT, 1);
  cr_expect (wy_run_permits_take (&p, FINGERPRINT, 2, RUN_MS, 3));
}

/* The entry that has a permit dies.  Guards against a request that never runs
   again.  */
Test (crash_isolation, permits_expire)
{
  static struct wy_run_permits p;

  cr_expect (wy_run_permits_take (&p, FINGERPRINT, 1, RUN_MS, 0));
  cr_expect_not (wy_run_permits_take (&p, FINGERPRINT, 2, RUN_MS, RUN_MS - 1));
  cr_expect (wy_run_permits_take (&p, FINGERPRINT, 2, RUN_MS, RUN_MS));
  cr_expect (
      wy_run_permits_take (&p, FINGERPRINT + 1, 3, INT64_MAX / 2, RUN_MS));
  cr_expect (wy_run_permits_take (&p, FINGERPRINT + 1, 4, RUN_MS,
                                  RUN_MS + WY_RUN_PERMIT_MAX_MS));
}

/* More requests are suspect than there are slots.  Guards against a permit
   that is given twice.  */
Test (crash_isolation, no_slot_no_permit)
{
  static struct wy_run_permits p;

  for (uint64_t f = 1; f <= WY_RUN_PERMITS_MAX; f++)
    cr_expect (wy_run_permits_take (&p, f, 1, RUN_MS, 0));
  cr_expect_not (
      wy_run_permits_take (&p, WY_RUN_PERMITS_MAX + 1, 1, RUN_MS, 1));
  cr_expect_not (wy_run_permits_take (&p, 1, 2, RUN_MS, 1));
}

/* The number of steps in which what the first of N entries tells reaches all,
   if each passes on what is new to it.  */
static uint32_t
steps_to_reach_all (size_t n)
{
  static uint32_t heard_at[ENTRIES_MAX]; /* step + 1; 0: not yet */
  size_t reached = 1;
  uint32_t step = 0;

  memset (heard_at, 0, sizeof heard_at);
  heard_at[0] = 1;
  while (reached < n && step < n)
    {
      step++;
      for (size_t i = 0; i < n; i++)
        {
          size_t at[FAN_OUT];
          size_t k
              = heard_at[i] == step ? wy_ring_fan_out (n - 1, FAN_OUT, at) : 0;

          while (k-- > 0)
            {
              size_t to = (i + 1 + at[k]) % n;

              reached += heard_at[to] == 0;
              heard_at[to] = heard_at[to] ? heard_at[to] : step + 1;
            }
        }
    }
  return step;
}

/* A crash is told in fleets of three to a thousand entries.  Guards against
   entries that are not told, and against messages that grow with the square of
   the fleet.  */
Test (crash_isolation, all_entries_are_told)
{
  size_t at[FAN_OUT];

  cr_expect_eq (steps_to_reach_all (3), 1);
  cr_expect_eq (steps_to_reach_all (13), 1);
  cr_expect_leq (steps_to_reach_all (40), 6);
  cr_expect_leq (steps_to_reach_all (531), 10);
  cr_expect_leq (steps_to_reach_all (1000), 10);
  cr_expect_leq (wy_ring_fan_out (999, FAN_OUT, at), 10);
}

/* A run is interrupted.  Guards against the next run of a suspect request
   before it is known whether its target has crashed.  */
Test (crash_isolation, verdict_is_awaited)
{
  static struct wy_crash_tracker t;

  wy_crash_tracker_init (&t);
  cr_expect_not (wy_crash_tracker_is_open (&t, FINGERPRINT, 0));
  wy_crash_tracker_run_interrupted (&t, FINGERPRINT, 1, 0);
  cr_expect (wy_crash_tracker_is_open (&t, FINGERPRINT, 1));
  cr_expect_not (wy_crash_tracker_is_open (&t, FINGERPRINT + 1, 1));
  wy_crash_tracker_verdict (&t, 2);
  cr_expect (wy_crash_tracker_is_open (&t, FINGERPRINT, 1));
  wy_crash_tracker_verdict (&t, 1);
  cr_expect_not (wy_crash_tracker_is_open (&t, FINGERPRINT, 1));
  wy_crash_tracker_run_interrupted (&t, FINGERPRINT, 3, 0);
  cr_expect_not (
      wy_crash_tracker_is_open (&t, FINGERPRINT, WY_CRASH_VERDICT_MS));
}

/* An entry tells of a crash and dies.  Guards against a suspect that no
   directory row has.  */
Test (crash_isolation, suspects_told_but_not_stored)
{
  static struct wy_crash_tracker witness;
  static struct wy_crash_tracker other;
  json_t *list;

  wy_crash_tracker_init (&witness);
  wy_crash_tracker_init (&other);
  wy_crash_tracker_run_interrupted (&witness, FINGERPRINT, 1, 0);
  wy_crash_tracker_target_crashed (&witness, 1, 1);
  list = wy_suspect_list_encode (&witness, 1);
  cr_expect (wy_suspect_list_hear (&other, list, 10));
  cr_expect_not (wy_suspect_list_hear (&other, list, 11), "heard twice");
  cr_expect_eq (wy_suspects_next_unstored (&other.suspects, 100, 109), 0);
  cr_expect_eq (wy_suspects_next_unstored (&other.suspects, 100, 110),
                FINGERPRINT);
  cr_expect_eq (wy_suspects_next_unstored (&other.suspects, 100, 111), 0);
  json_decref (list);
}

/* The store has one of two crashes of which an entry has told.  Guards against
   the second being taken for stored.  */
Test (crash_isolation, only_what_is_stored_counts_as_stored)
{
  static struct wy_crash_tracker witness;
  static struct wy_crash_tracker other;
  json_t *stored;
  json_t *told;

  wy_crash_tracker_init (&witness);
  wy_crash_tracker_init (&other);
  wy_crash_tracker_run_interrupted (&witness, FINGERPRINT, 1, 0);
  wy_crash_tracker_target_crashed (&witness, 1, 1);
  stored = wy_suspect_list_encode (&witness, 1);
  wy_crash_tracker_run_interrupted (&witness, FINGERPRINT, 2, 2);
  wy_crash_tracker_target_crashed (&witness, 2, 3);
  told = wy_suspect_list_encode (&witness, 3);
  wy_suspect_list_hear (&other, told, 4);
  wy_suspect_list_merge (&other, stored, 5);
  cr_expect_eq (wy_suspects_next_unstored (&other.suspects, 0, 6),
                FINGERPRINT);
  wy_suspect_list_hear (&witness, told, 7);
  cr_expect_eq (wy_suspects_next_unstored (&witness.suspects, 0, 8), 0,
                "its own");
  json_decref (stored);
  json_decref (told);
}

/* Equal requests come to one entry after a crash.  Guards against requests
   that are taken for equal, or known, for longer than the crash matters.  */
Test (crash_isolation, equal_requests)
{
  static struct wy_isolation i;

  cr_expect_not (wy_isolation_has_crashed (&i, "a", 1));
  wy_isolation_crash_seen (&i, "a", 1);
  cr_expect (wy_isolation_has_crashed (&i, "a", 2));
  cr_expect_not (wy_isolation_has_crashed (&i, "b", 2));
  wy_isolation_begin (&i, 5);
  wy_isolation_begin (&i, 5);
  wy_isolation_end (&i, 5);
  cr_expect (wy_isolation_is_running (&i, 5));
  cr_expect_not (wy_isolation_is_running (&i, 6));
  wy_isolation_end (&i, 5);
  cr_expect_not (wy_isolation_is_running (&i, 5));
  cr_expect_not (wy_isolation_was_answered (&i, 7, 2));
  wy_isolation_note_answer (&i, 7, 2);
  wy_isolation_note_answer (&i, 8, 3);
  cr_expect (wy_isolation_was_answered (&i, 7, 4));
  cr_expect_not (wy_isolation_was_answered (&i, 9, 4));
  cr_expect_not (wy_isolation_has_crashed (&i, "a", 20000));
  wy_isolation_crash_seen (&i, "a", 20000);
  cr_expect_not (wy_isolation_was_answered (&i, 7, 20000));
}
