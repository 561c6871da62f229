/* Metrics with labels.  */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "trace/metrics.h"

static char *
print (const struct wy_metrics *m)
{
  GString *out = g_string_new (NULL);

  wy_metrics_print (m, out);
  return g_string_free (out, FALSE);
}

static uint32_t
count (const char *text, const char *what)
{
  uint32_t n = 0;

  for (const char *p = text; (p = strstr (p, what)); p += strlen (what))
    n++;
  return n;
}

Test (metrics, one_description_per_name)
{
  struct wy_metrics *m = wy_metrics_new ();
  struct wy_metrics_family *c
      = wy_metrics_counter_family (m, "c_total", "Counts", 4);
  struct wy_metrics_family *h
      = wy_metrics_histogram_family (m, "h_us", "Times", 4);
  char *text;

  *wy_metrics_family_counter (c, "a=\"1\"") += 2;
  *wy_metrics_family_counter (c, "a=\"2\"") += 1;
  *wy_metrics_family_counter (c, "a=\"1\"") += 1;
  wy_hist_add (wy_metrics_family_histogram (h, "a=\"1\""), 10);
  text = print (m);
  cr_expect_eq (count (text, "# TYPE c_total counter\n"), 1);
  cr_expect_eq (count (text, "# TYPE h_us summary\n"), 1);
  cr_expect_not_null (strstr (text, "\nc_total{a=\"1\"} 3\n"), "%s", text);
  cr_expect_not_null (strstr (text, "\nc_total{a=\"2\"} 1\n"));
  cr_expect_not_null (strstr (text, "\nh_us{a=\"1\",quantile=\"0.5\"} 10\n"));
  cr_expect_not_null (strstr (text, "\nh_us_count{a=\"1\"} 1\n"));
  g_free (text);
  wy_metrics_free (m);
}

/* The operator may configure thousands of routes, whose names are labels.  The
   number of label sets must be bounded, and no count may be lost.  */
Test (metrics, label_sets_are_bounded)
{
  struct wy_metrics *m = wy_metrics_new ();
  struct wy_metrics_family *c
      = wy_metrics_counter_family (m, "c_total", "Counts", 3);
  char label[32];
  char *text;

  for (int i = 0; i < 1000; i++)
    {
      snprintf (label, sizeof label, "route=\"r%d\"", i);
      ++*wy_metrics_family_counter (c, label);
    }
  text = print (m);
  cr_expect_eq (count (text, "\nc_total{"), 4);
  cr_expect_not_null (strstr (text, "\nc_total{other=\"true\"} 997\n"), "%s",
                      text);
  g_free (text);
  wy_metrics_free (m);
}

/* A route's name with a quote must not produce malformed output.  */
Test (metrics, values_are_escaped)
{
  char *label = wy_metrics_label ("route", "a\"b\\c\nd");

  cr_expect_str_eq (label, "route=\"a\\\"b\\\\c d\"");
  g_free (label);
}
