/* Logs on standard error: one line for each event, with the event's name and
   key=value pairs.  */
#ifndef WY_TRACE_LOG_H
#define WY_TRACE_LOG_H

enum wy_log_level
{
  WY_LOG_ERROR,
  WY_LOG_WARN,
  WY_LOG_INFO,
  WY_LOG_DEBUG
};

void wy_log_open (const char *process, enum wy_log_level level);
void wy_log_close (void);
void wy_log_set_level (enum wy_log_level level);
enum wy_log_level wy_log_get_level (void);
void wy_log (enum wy_log_level level, const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
