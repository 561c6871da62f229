/* Timeline writer and metrics.  */
#include <criterion/criterion.h>
#include <jansson.h>
#include <string.h>

#include "trace/metrics.h"
#include "trace/trace.h"

static struct wy_trace *
new_trace (struct wy_clock_manual *m, uint32_t ring_size)
{
  struct wy_trace_options o = { .process = "entry-1",
                                .incarnation = "i1",
                                .ring_size = ring_size,
                                .clock = &m->clock };
  struct wy_trace *t;

  wy_clock_manual_init (m, 1000);
  cr_assert_eq (wy_trace_new (&t, &o), 0);
  return t;
}

Test (trace, lines_are_json_with_fields)
{
  struct wy_clock_manual m;
  struct wy_trace *t = new_trace (&m, 0);
  GString *out = g_string_new (NULL);
  json_t *line;

  wy_trace_event (t, "run.start", "{s:s, s:I}", "req", "r1", "n",
                  (json_int_t)7);
  cr_assert_eq (wy_trace_read (t, 0, out), 1U);
  line = json_loads (out->str, 0, NULL);
  cr_assert_str_eq (json_string_value (json_object_get (line, "ev")),
                    "run.start");
  cr_assert_eq (json_integer_value (json_object_get (line, "n")), 7);
}

/* Strings from outside may have quotes, control characters and invalid UTF-8.
   Each line must still be one JSON object with these values.  */
Test (trace, any_text_makes_a_valid_line)
{
  struct wy_clock_manual m;
  struct wy_trace *t = new_trace (&m, 0);
  GString *out = g_string_new (NULL);
  json_t *list = json_pack ("[i, i]", 1, 2);
  json_t *line;
  const char *a;
  const char *b;
  const char *c;
  json_int_t lowest;
  int yes;
  int second;

  wy_trace_event (t, "x", "{s:s, s:s, s:s, s:I, s:b, s:o}", "a",
                  "q\" b\\ n\n\001", "b", "gr\303\274n", "c", "\377z", "low",
                  (json_int_t)INT64_MIN, "yes", 1, "list", list);
  wy_trace_event (t, "y", "{s:{s:i}}", "nested", "n", 1);
  wy_trace_read (t, 0, out);
  line = json_loads (out->str, JSON_DISABLE_EOF_CHECK, NULL);
  cr_assert_eq (json_unpack (line, "{s:s, s:s, s:s, s:I, s:b, s:[i, i]}", "a",
                             &a, "b", &b, "c", &c, "low", &lowest, "yes", &yes,
                             "list", &second, &second),
                0);
  cr_assert_str_eq (a, "q\" b\\ n\n\001");
  cr_assert_str_eq (b, "gr\303\274n");
  cr_assert_str_eq (c, "?z");
  cr_assert_eq (lowest, INT64_MIN);
  cr_assert_eq (second, 2);
  cr_assert (strstr (out->str, "\"nested\":{\"n\":1}}\n"));
  json_decref (line);
  g_string_free (out, TRUE);
  wy_trace_free (t);
}

/* The wall clock of a process steps back, or the clock of another process is
   ahead.  Timestamps must still increase, or an effect would sort before its
   cause.  */
Test (trace, timestamps_increase_when_clocks_do_not)
{
  struct wy_clock_manual m;
  struct wy_trace *t = new_trace (&m, 0);
  uint64_t a = wy_trace_timestamp (t);
  uint64_t b;

  m.wall = wy_timespec_from_ms (10);
  b = wy_trace_timestamp (t);
  cr_assert_gt (b, a);
  wy_trace_observe (t, b + 1000000);
  cr_assert_gt (wy_trace_timestamp (t), b + 1000000);
}

Test (trace, memory_is_bounded)
{
  struct wy_clock_manual m;
  struct wy_trace *t = new_trace (&m, 3);
  GString *out = g_string_new (NULL);

  for (int i = 0; i < 10; i++)
    wy_trace_event (t, "x", "{s:i}", "i", i);
  cr_assert_eq (wy_trace_read (t, 9, out), 10U);
  cr_assert (strstr (out->str, "\"i\":9"));
  cr_assert_null (strstr (out->str, "\"i\":8"));
  g_string_truncate (out, 0);
  wy_trace_read (t, 0, out);
  cr_assert (strstr (out->str, "\"i\":7"));
  cr_assert_null (strstr (out->str, "\"i\":6"));
}

Test (metrics, prometheus_text)
{
  struct wy_metrics *m = wy_metrics_new ();
  uint64_t *c = wy_metrics_counter (m, "wy_x_total{kind=\"a\"}", "Xs.");
  struct wy_hist *h = wy_metrics_histogram (m, "wy_ms", "Times.");
  GString *out = g_string_new (NULL);

  *c += 3;
  wy_hist_add (h, 5);
  wy_metrics_print (m, out);
  cr_assert (strstr (out->str, "# TYPE wy_x_total counter\n"
                               "wy_x_total{kind=\"a\"} 3\n"));
  cr_assert (strstr (out->str, "wy_ms_count 1\n"));
}
