/* Duties of the leader: election, usage counts and usage reports.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "platform/duty_wire.h"
#include "support/duty_fixture.h"

static struct duty_entry a;
static struct duty_entry b;

static void
start_two_entries (void)
{
  duty_fixture_start ();
  a = (struct duty_entry){ .is_candidate = true, .peer = &b };
  b = (struct duty_entry){ .peer = &a };
  duty_entry_start (&a, "a");
  duty_entry_start (&b, "b");
  cr_assert (
      platform_fixture_run_until (&duty_fixture, duty_entry_is_leader, &a));
  b.is_candidate = true;
}

static void
stop (void)
{
  cr_expect_eq (wy_platform_duties_violations (duty_platform)->len, 0);
  duty_entry_kill (&a);
  duty_entry_kill (&b);
  duty_fixture_stop ();
}

Test (usage_counts, windows)
{
  struct wy_usage_counts *c = wy_usage_counts_new (1000);
  struct wy_usage_window *w;
  int64_t k = wy_usage_counts_begin (c, "acme", 5100);
  char *text;

  cr_expect_eq (k, 5);
  cr_expect_eq (wy_usage_counts_begin (c, "bank", 5900), 5);
  cr_expect_eq (wy_usage_counts_begin (c, "acme", 6100), 6);
  w = wy_usage_counts_next (c);
  cr_assert_not_null (w);
  cr_expect_eq (w->number, 5);
  /* Not complete: not stored, and its requests are open.  */
  cr_expect_eq (wy_usage_counts_complete (c, 6800), 4);
  wy_usage_counts_end (c, 5, "bank", false);
  wy_usage_counts_end (c, 5, "acme", true);
  text = wy_usage_counts_encode (w);
  cr_expect_not_null (strstr (text, "\"acme\":1"));
  cr_expect_not_null (strstr (text, "\"bank\":0"));
  w->stored = w->changes;
  cr_expect_eq (wy_usage_counts_complete (c, 6800), 5);
  cr_expect_eq (wy_usage_counts_next (c)->number, 6);
  /* A request that stays open delays its window only for a limited time.  */
  wy_usage_counts_next (c)->stored = 1;
  cr_expect_eq (wy_usage_counts_complete (c, 7800), 5);
  cr_expect_eq (wy_usage_counts_complete (c, 9000), 7);
  g_free (text);
  wy_usage_counts_free (c);
}

Test (usage_counts, sum)
{
  GHashTable *sum = wy_usage_counts_table_new ();
  const char *rows[] = { "{\"b\":1,\"a\":2}", "{\"a\":3,\"c\":0}", "garbage" };
  char *text;

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    wy_usage_counts_add (sum, rows[i], strlen (rows[i]));
  text = wy_usage_report_body (7, sum);
  cr_expect_str_eq (text, "{\"counts\":{\"a\":5,\"b\":1},\"window\":7}");
  g_free (text);
  g_hash_table_destroy (sum);
}

/* The leader is killed: another entry is elected, with a higher generation. */
Test (duties, leader_killed)
{
  int64_t generation;

  start_two_entries ();
  generation = wy_election_generation (a.election);
  cr_expect (!duty_entry_is_leader (&b));
  duty_entry_kill (&a);
  cr_expect (
      platform_fixture_run_until (&duty_fixture, duty_entry_is_leader, &b));
  cr_expect_gt (wy_election_generation (b.election), generation);
  stop ();
}

/* Guards against a leader that was suspended and continues as if no time had
   passed, since its monotonic clock has not counted the time.  */
Test (duties, leader_suspended)
{
  start_two_entries ();
  a.suspended_ms += DUTY_LEASE_MS;
  cr_expect (!duty_entry_is_leader (&a));
  stop ();
}

static bool
has_leader (void *ctx)
{
  return duty_entry_is_leader (&a) || duty_entry_is_leader (&b);
}

/* The leader's machine is replaced during the lease.  The new process has the
   same name, but must wait like any other candidate.  */
Test (duties, replaced_under_the_same_name)
{
  int64_t generation;

  start_two_entries ();
  generation = wy_election_generation (a.election);
  b.is_candidate = false;
  duty_entry_kill (&a);
  a = (struct duty_entry){ .is_candidate = true, .peer = &b };
  duty_entry_start (&a, "a");
  cr_expect (
      platform_fixture_run_until (&duty_fixture, duty_entry_is_leader, &a));
  cr_expect_gt (wy_election_generation (a.election), generation);
  stop ();
}

/* All entries are killed at once and restarted.  */
Test (duties, all_killed)
{
  int64_t generation;

  start_two_entries ();
  generation = wy_election_generation (a.election);
  duty_entry_kill (&a);
  duty_entry_kill (&b);
  a = (struct duty_entry){ .is_candidate = true, .peer = &b };
  b = (struct duty_entry){ .is_candidate = true, .peer = &a };
  duty_entry_start (&a, "a");
  duty_entry_start (&b, "b");
  cr_expect (platform_fixture_run_until (&duty_fixture, has_leader, NULL));
  cr_expect_gt (wy_election_generation (
                    duty_entry_is_leader (&a) ? a.election : b.election),
                generation);
  stop ();
}

/* The leader stops: it resigns, so that the lease need not expire.  */
Test (duties, leader_resigns)
{
  start_two_entries ();
  wy_election_resign (a.election, 0, "test");
  cr_expect (!duty_entry_is_leader (&a));
  cr_expect (
      platform_fixture_run_until (&duty_fixture, duty_entry_is_leader, &b));
  cr_expect (!duty_entry_is_leader (&a));
  stop ();
}

static bool
three_windows (void *ctx)
{
  return wy_platform_duties_window_count (duty_platform) >= 3;
}

static int64_t counted_window;

static bool
is_counted (void *ctx)
{
  counted_window = wy_usage_begin (((struct duty_entry *)ctx)->usage, "acme");
  return counted_window != 0;
}

static bool
acme_is_reported (void *ctx)
{
  return wy_platform_duties_request_count (duty_platform, "acme")
         == *(int *)ctx;
}

/* One report has the requests counted by both entries, without those that no
   target executed.  */
Test (usage, reported)
{
  int wanted = 2;
  int64_t w;

  start_two_entries ();
  cr_assert (platform_fixture_run_until (&duty_fixture, is_counted, &a));
  wy_usage_end (a.usage, counted_window, "acme", true);
  cr_assert (platform_fixture_run_until (&duty_fixture, is_counted, &b));
  wy_usage_end (b.usage, counted_window, "acme", true);
  w = wy_usage_begin (b.usage, "acme");
  wy_usage_end (b.usage, w, "acme", false);
  cr_expect (
      platform_fixture_run_until (&duty_fixture, acme_is_reported, &wanted));
  cr_expect (platform_fixture_run_until (&duty_fixture, three_windows, NULL));
  stop ();
}

/* An entry is killed after counting: its stored counts are reported.  */
Test (usage, entry_killed_after_counting)
{
  int wanted = 1;

  start_two_entries ();
  cr_assert (platform_fixture_run_until (&duty_fixture, is_counted, &b));
  platform_fixture_run_ms (&duty_fixture, DUTY_WINDOW_MS / 4);
  duty_entry_kill (&b);
  cr_expect (
      platform_fixture_run_until (&duty_fixture, acme_is_reported, &wanted));
  stop ();
}

/* Responses of the platform and of the store are lost, and calls are rejected.
   No window may be reported twice with different counts, or skipped.  */
Test (usage, platform_and_store_faults)
{
  struct wy_platform_duties_faults *f;
  int wanted = 1;

  start_two_entries ();
  f = wy_platform_duties_faults (duty_platform);
  f->respond_503 = 1;
  f->respond_429 = 1;
  f->lose_response = 1;
  wy_platform_store_faults (duty_fixture.store)->lose_response = 2;
  cr_assert (platform_fixture_run_until (&duty_fixture, is_counted, &a));
  wy_usage_end (a.usage, counted_window, "acme", true);
  cr_expect (
      platform_fixture_run_until (&duty_fixture, acme_is_reported, &wanted));
  stop ();
}

/* The leader is killed after a window's report was stored and sent.  Guards
   against a new leader that sums the counts again, when more have arrived, and
   reports the window a second time with different counts.  */
Test (usage, new_leader_sends_stored_report)
{
  char part[32];

  start_two_entries ();
  cr_assert (platform_fixture_run_until (&duty_fixture, three_windows, NULL));
  /* Counts that arrive too late for their windows.  */
  for (int64_t k = wy_usage_begin (b.usage, "x") - 6, n = 0; n < 6; n++)
    {
      snprintf (part, sizeof part, "%lld", (long long)k + n);
      wy_platform_store_put (duty_fixture.store, "wy-usage", part, "z/1",
                             "{\"late\":9}");
    }
  duty_entry_kill (&a);
  cr_expect (
      platform_fixture_run_until (&duty_fixture, duty_entry_is_leader, &b));
  platform_fixture_run_ms (&duty_fixture, 2L * DUTY_WINDOW_MS);
  stop ();
}

/* A network partition separates the leader from the platform.  Another entry,
   which may reach the platform, must be elected.  */
Test (duties, platform_unreachable)
{
  start_two_entries ();
  wy_platform_duties_faults (duty_platform)->silent = true;
  cr_expect (
      platform_fixture_run_until (&duty_fixture, duty_entry_is_leader, &b));
  stop ();
}

static int
call_platform (const char *holder, const char *generation, const char *body)
{
  struct wy_h1_header fields[] = { { "Host", "p" },
                                   { "Duty-Holder", holder },
                                   { "Fencing-Token", generation } };
  struct platform_response *p = platform_fixture_call (
      &duty_fixture, wy_platform_duties_port (duty_platform), "POST", "/usage",
      fields, G_N_ELEMENTS (fields), body);
  int status;

  cr_assert (
      platform_fixture_run_until (&duty_fixture, platform_response_done, p));
  status = p->status;
  platform_response_free (p);
  return status;
}

/* Guards against a stand-in that accepts any sequence of generations.  */
Test (duties, stand_in_detects_violations)
{
  const GPtrArray *v;

  duty_fixture_start ();
  v = wy_platform_duties_violations (duty_platform);
  cr_expect_eq (
      call_platform ("a", "2", "{\"window\":1,\"counts\":{\"x\":1}}"), 200);
  cr_expect_eq (
      call_platform ("a", "2", "{\"window\":1,\"counts\":{\"x\":1}}"), 200);
  cr_expect_eq (v->len, 0);
  call_platform ("a", "2", "{\"window\":1,\"counts\":{\"x\":2}}");
  cr_expect_eq (v->len, 1);
  call_platform ("b", "2", "{\"window\":2,\"counts\":{}}");
  cr_expect_eq (v->len, 2);
  call_platform ("b", "1", "{\"window\":3,\"counts\":{}}");
  cr_expect_eq (v->len, 3);
  cr_expect_eq (call_platform ("b", "3", "{\"window\":-1,\"counts\":{}}"),
                400);
  duty_fixture_stop ();
}
