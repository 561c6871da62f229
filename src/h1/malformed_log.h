/* Log line and counter of malformed responses.  */
#ifndef WY_H1_MALFORMED_LOG_H
#define WY_H1_MALFORMED_LOG_H

#include "h1/client.h"
#include "trace/metrics.h"

void wy_h1_log_malformed (const struct wy_h1_malformed *m);
void wy_h1_count_malformed (struct wy_metrics_family *f,
                            const struct wy_h1_malformed *m);

#endif
