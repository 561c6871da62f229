/* Counters, gauges and histograms, printed in the Prometheus text format.  */
#ifndef WY_TRACE_METRICS_H
#define WY_TRACE_METRICS_H

#include <stdint.h>

#include <glib.h>

#include "base/hist.h"

struct wy_metrics;

struct wy_metrics *wy_metrics_new (void);
void wy_metrics_free (struct wy_metrics *m);
uint64_t *wy_metrics_counter (struct wy_metrics *m, const char *name,
                              const char *help);
int64_t *wy_metrics_gauge (struct wy_metrics *m, const char *name,
                           const char *help);
struct wy_hist *wy_metrics_histogram (struct wy_metrics *m, const char *name,
                                      const char *help);

/* Metrics with the same name and different labels.  */
struct wy_metrics_family;

struct wy_metrics_family *wy_metrics_counter_family (struct wy_metrics *m,
                                                     const char *name,
                                                     const char *help,
                                                     uint32_t series_max);
struct wy_metrics_family *wy_metrics_gauge_family (struct wy_metrics *m,
                                                   const char *name,
                                                   const char *help,
                                                   uint32_t series_max);
struct wy_metrics_family *wy_metrics_histogram_family (struct wy_metrics *m,
                                                       const char *name,
                                                       const char *help,
                                                       uint32_t series_max);
uint64_t *wy_metrics_family_counter (struct wy_metrics_family *f,
                                     const char *labels);
int64_t *wy_metrics_family_gauge (struct wy_metrics_family *f,
                                  const char *labels);
struct wy_hist *wy_metrics_family_histogram (struct wy_metrics_family *f,
                                             const char *labels);
char *wy_metrics_label (const char *name, const char *value);

void wy_metrics_print (const struct wy_metrics *m, GString *out);

#endif
