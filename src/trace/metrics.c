/* Counters, gauges and histograms of one process.  Callers keep a pointer to
   each metric and update it directly, without a lookup.  */
#include "trace/metrics.h"

#include <inttypes.h>
#include <string.h>

enum metric_kind
{
  METRIC_COUNTER,
  METRIC_GAUGE,
  METRIC_HISTOGRAM,
  METRIC_COUNTERS,
  METRIC_GAUGES,
  METRIC_HISTOGRAMS
};

/* One label set of a family.  */
struct series
{
  char *labels;
  uint64_t counter;
  int64_t gauge;
  struct wy_hist *histogram;
};

struct wy_metrics_family
{
  GHashTable *by_labels; /* struct labelled */
  GPtrArray *all_series; /* struct series, by first use */
  uint32_t series_max;
};

struct metric
{
  enum metric_kind kind;
  char *name;
  char *help;
  union
  {
    uint64_t counter;
    int64_t gauge;
    struct wy_hist *histogram;
    struct wy_metrics_family *family;
  } u;
};

struct wy_metrics
{
  GPtrArray *all; /* struct metric */
};

static void
series_free (gpointer p)
{
  struct series *l = p;

  g_free (l->labels);
  g_free (l->histogram);
  g_free (l);
}

static void
family_free (struct wy_metrics_family *f)
{
  g_hash_table_destroy (f->by_labels);
  g_ptr_array_free (f->all_series, TRUE);
  g_free (f);
}

static void
metric_free (gpointer p)
{
  struct metric *x = p;

  switch (x->kind)
    {
    case METRIC_COUNTER:
    case METRIC_GAUGE:
      break;
    case METRIC_HISTOGRAM:
      g_free (x->u.histogram);
      break;
    case METRIC_COUNTERS:
    case METRIC_GAUGES:
    case METRIC_HISTOGRAMS:
      family_free (x->u.family);
      break;
    }
  g_free (x->name);
  g_free (x->help);
  g_free (x);
}

/* Create an empty set of metrics.  */
struct wy_metrics *
wy_metrics_new (void)
{
  struct wy_metrics *m = g_malloc0 (sizeof *m);

  m->all = g_ptr_array_new_with_free_func (metric_free);
  return m;
}

/* Free M and all metrics in it.  */
void
wy_metrics_free (struct wy_metrics *m)
{
  g_ptr_array_free (m->all, TRUE);
  g_free (m);
}

static struct metric *
add (struct wy_metrics *m, enum metric_kind kind, const char *name,
     const char *help)
{
  struct metric *x = g_malloc0 (sizeof *x);

  x->kind = kind;
  x->name = g_strdup (name);
  x->help = g_strdup (help);
  g_ptr_array_add (m->all, x);
  return x;
}

/* Add a counter.  NAME follows the Prometheus rules and may end in labels in
   braces.  */
uint64_t *
wy_metrics_counter (struct wy_metrics *m, const char *name, const char *help)
{
  return &add (m, METRIC_COUNTER, name, help)->u.counter;
}

/* Add a gauge.  */
int64_t *
wy_metrics_gauge (struct wy_metrics *m, const char *name, const char *help)
{
  return &add (m, METRIC_GAUGE, name, help)->u.gauge;
}

/* Add a histogram, printed as a summary.  */
struct wy_hist *
wy_metrics_histogram (struct wy_metrics *m, const char *name, const char *help)
{
  struct metric *x = add (m, METRIC_HISTOGRAM, name, help);

  x->u.histogram = g_new0 (struct wy_hist, 1);
  return x->u.histogram;
}

static struct wy_metrics_family *
family (struct wy_metrics *m, enum metric_kind kind, const char *name,
        const char *help, uint32_t series_max)
{
  struct wy_metrics_family *f = g_new0 (struct wy_metrics_family, 1);

  f->by_labels = g_hash_table_new (g_str_hash, g_str_equal);
  f->all_series = g_ptr_array_new_with_free_func (series_free);
  f->series_max = series_max;
  add (m, kind, name, help)->u.family = f;
  return f;
}

/* Add a family of counters, with at most SERIES_MAX label sets: label values
   such as names of routes come from outside and must not exhaust the memory.
   Further label sets share one counter labelled other="true".  */
struct wy_metrics_family *
wy_metrics_counter_family (struct wy_metrics *m, const char *name,
                           const char *help, uint32_t series_max)
{
  return family (m, METRIC_COUNTERS, name, help, series_max);
}

/* Like wy_metrics_counter_family, with gauges.  */
struct wy_metrics_family *
wy_metrics_gauge_family (struct wy_metrics *m, const char *name,
                         const char *help, uint32_t series_max)
{
  return family (m, METRIC_GAUGES, name, help, series_max);
}

/* Like wy_metrics_counter_family, with histograms.  */
struct wy_metrics_family *
wy_metrics_histogram_family (struct wy_metrics *m, const char *name,
                             const char *help, uint32_t series_max)
{
  return family (m, METRIC_HISTOGRAMS, name, help, series_max);
}

static struct series *
find_series (struct wy_metrics_family *f, const char *labels)
{
  struct series *l = g_hash_table_lookup (f->by_labels, labels);

  if (!l && f->all_series->len >= f->series_max)
    {
      labels = "other=\"true\"";
      l = g_hash_table_lookup (f->by_labels, labels);
    }
  if (l)
    return l;
  l = g_new0 (struct series, 1);
  l->labels = g_strdup (labels);
  g_hash_table_insert (f->by_labels, l->labels, l);
  g_ptr_array_add (f->all_series, l);
  return l;
}

/* The counter of F with LABELS, a list of wy_metrics_label results separated
   by commas.  */
uint64_t *
wy_metrics_family_counter (struct wy_metrics_family *f, const char *labels)
{
  return &find_series (f, labels)->counter;
}

/* The gauge of F with LABELS.  */
int64_t *
wy_metrics_family_gauge (struct wy_metrics_family *f, const char *labels)
{
  return &find_series (f, labels)->gauge;
}

/* The histogram of F with LABELS.  */
struct wy_hist *
wy_metrics_family_histogram (struct wy_metrics_family *f, const char *labels)
{
  struct series *l = find_series (f, labels);

  if (!l->histogram)
    l->histogram = g_new0 (struct wy_hist, 1);
  return l->histogram;
}

/* Returns NAME="VALUE" with VALUE escaped.  The caller frees it.  */
char *
wy_metrics_label (const char *name, const char *value)
{
  GString *s = g_string_new (name);

  g_string_append (s, "=\"");
  for (; *value; value++)
    {
      if (*value == '"' || *value == '\\')
        g_string_append_c (s, '\\');
      g_string_append_c (s, (unsigned char)*value < ' ' ? ' ' : *value);
    }
  g_string_append_c (s, '"');
  return g_string_free (s, FALSE);
}

/* Append NAME and SUFFIX, and LABELS in braces unless empty.  */
static void
print_name (GString *out, const char *name, const char *suffix,
            const char *labels)
{
  g_string_append_printf (out, "%s%s", name, suffix);
  if (*labels)
    g_string_append_printf (out, "{%s}", labels);
}

static void
print_histogram (const char *name, const char *labels, const struct wy_hist *h,
                 GString *out)
{
  static const double quantile[] = { 0.5, 0.9, 0.99, 0.999 };

  for (size_t i = 0; i < G_N_ELEMENTS (quantile); i++)
    g_string_append_printf (out, "%s{%s%squantile=\"%g\"} %" PRIu64 "\n", name,
                            labels, *labels ? "," : "", quantile[i],
                            wy_hist_quantile (h, quantile[i]));
  print_name (out, name, "_sum", labels);
  g_string_append_printf (out, " %" PRIu64 "\n", h->sum);
  print_name (out, name, "_count", labels);
  g_string_append_printf (out, " %" PRIu64 "\n", h->n);
}

static void
print_family (const struct metric *x, GString *out)
{
  const struct wy_metrics_family *f = x->u.family;

  for (guint i = 0; i < f->all_series->len; i++)
    {
      const struct series *l = f->all_series->pdata[i];

      if (x->kind == METRIC_HISTOGRAMS)
        {
          print_histogram (x->name, l->labels, l->histogram, out);
          continue;
        }
      print_name (out, x->name, "", l->labels);
      if (x->kind == METRIC_GAUGES)
        g_string_append_printf (out, " %" PRId64 "\n", l->gauge);
      else
        g_string_append_printf (out, " %" PRIu64 "\n", l->counter);
    }
}

/* Append all metrics of M to OUT.  */
void
wy_metrics_print (const struct wy_metrics *m, GString *out)
{
  static const char *const type[]
      = { "counter", "gauge", "summary", "counter", "gauge", "summary" };

  for (guint i = 0; i < m->all->len; i++)
    {
      const struct metric *x = m->all->pdata[i];
      int base = (int)strcspn (x->name, "{");

      g_string_append_printf (out, "# HELP %.*s %s\n# TYPE %.*s %s\n", base,
                              x->name, x->help, base, x->name, type[x->kind]);
      switch (x->kind)
        {
        case METRIC_COUNTER:
          g_string_append_printf (out, "%s %" PRIu64 "\n", x->name,
                                  x->u.counter);
          break;
        case METRIC_GAUGE:
          g_string_append_printf (out, "%s %" PRId64 "\n", x->name,
                                  x->u.gauge);
          break;
        case METRIC_HISTOGRAM:
          print_histogram (x->name, "", x->u.histogram, out);
          break;
        case METRIC_COUNTERS:
        case METRIC_GAUGES:
        case METRIC_HISTOGRAMS:
          print_family (x, out);
          break;
        }
    }
}
