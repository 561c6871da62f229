/* Logs on standard error, by log4c.  */
#include "trace/log.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <log4c.h>

enum
{
  LINE_SIZE_BYTES = 1024
};

static log4c_category_t *category;
static enum wy_log_level current = WY_LOG_INFO;

static int
priority_of (enum wy_log_level level)
{
  switch (level)
    {
    case WY_LOG_ERROR:
      return LOG4C_PRIORITY_ERROR;
    case WY_LOG_WARN:
      return LOG4C_PRIORITY_WARN;
    case WY_LOG_INFO:
      return LOG4C_PRIORITY_INFO;
    case WY_LOG_DEBUG:
      return LOG4C_PRIORITY_DEBUG;
    }
  return LOG4C_PRIORITY_INFO;
}

/* Start logging at LEVEL, with PROCESS as the category.  */
void
wy_log_open (const char *process, enum wy_log_level level)
{
  log4c_appender_t *appender;

  if (log4c_init ())
    return;
  category = log4c_category_get (process);
  appender = log4c_appender_get ("stderr");
  log4c_appender_set_type (appender, log4c_appender_type_get ("stream"));
  log4c_appender_set_layout (appender, log4c_layout_get ("dated"));
  log4c_layout_set_type (log4c_layout_get ("dated"),
                         log4c_layout_type_get ("dated"));
  log4c_category_set_appender (category, appender);
  wy_log_set_level (level);
}

/* Stop logging and free the memory of log4c.  */
void
wy_log_close (void)
{
  category = NULL;
  log4c_fini ();
}

/* Write events up to LEVEL from now on.  */
void
wy_log_set_level (enum wy_log_level level)
{
  current = level;
  if (category)
    log4c_category_set_priority (category, priority_of (level));
}

/* The current level.  */
enum wy_log_level
wy_log_get_level (void)
{
  return current;
}

/* Log EVENT with the key=value pairs given by FMT and the arguments, such as
   "peer=%s err=%d".  Nothing is written before wy_log_open.  */
void
wy_log (enum wy_log_level level, const char *event, const char *fmt, ...)
{
  char pairs[LINE_SIZE_BYTES];
  va_list ap;

  if (!category || level > current)
    return;
  va_start (ap, fmt);
  vsnprintf (pairs, sizeof pairs, fmt, ap);
  va_end (ap);
  log4c_category_log (category, priority_of (level), "event=%s %s", event,
                      pairs);
}
