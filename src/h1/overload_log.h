/* Log lines of clients that give way.  */
#ifndef WY_H1_OVERLOAD_LOG_H
#define WY_H1_OVERLOAD_LOG_H

#include "h1/overload.h"

void wy_h1_log_yield (void *ctx, const struct wy_h1_yield *y);
void wy_h1_log_accept_failed (void *ctx, const char *listener, int err);

#endif
