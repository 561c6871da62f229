/* Timeline of all processes in the Chrome trace format.  */
#ifndef WY_CTL_CHROME_H
#define WY_CTL_CHROME_H

#include "check/timeline.h"

int wy_ctl_chrome (const char *out, const char *const *paths, int n);
json_t *wy_chrome_trace (const struct wy_timeline *t);

#endif
