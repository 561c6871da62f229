/* Handling common to all requests of callers.  */
#ifndef WY_ENTRY_CALLERS_H
#define WY_ENTRY_CALLERS_H

#include "entry/state.h"

/* One caller waiting for the response to a request.  */
struct wy_caller
{
  struct wy_sink sink; /* must stay first */
  struct wy_http_exchange *ex;
  struct wy_request *request;
};

bool wy_caller_check_ready (struct wy_entry *e, struct wy_http_exchange *ex);
bool wy_caller_read_headers (struct wy_request *r,
                             struct wy_http_exchange *ex);
void wy_caller_open (struct wy_request *r, struct wy_http_exchange *ex,
                     const struct wy_sink *sink);
void wy_caller_stream_data (struct wy_sink *s, struct wy_request *r,
                            const char *p, size_t n);
struct wy_http_exchange *wy_caller_detach (struct wy_sink *s);
void wy_caller_reject (struct wy_sink *s, struct wy_request *r,
                       enum wy_ran ran, enum wy_entry_reason reason,
                       uint32_t retry_after_ms);
void wy_caller_respond_bad_request (struct wy_http_exchange *ex,
                                    const char *detail);

void wy_completions_http (struct wy_entry *e, struct wy_http_exchange *ex);
void wy_services_http (struct wy_entry *e, struct wy_http_exchange *ex);

#endif
