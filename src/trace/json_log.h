/* Structured log on standard output, with one JSON object for each line.
   Logging never blocks: lines are kept in a bounded buffer, and lines that do
   not fit are dropped and counted.  */
#ifndef WY_TRACE_JSON_LOG_H
#define WY_TRACE_JSON_LOG_H

#include <stdint.h>

struct uv_loop_s;

void wy_json_log_open (struct uv_loop_s *loop, const char *process,
                       const char *incarnation);
void wy_json_log (const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void wy_json_log_flush (void);
uint64_t wy_json_log_dropped (void);
void wy_json_log_close (void);

#endif
