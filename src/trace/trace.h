/* Timeline: one JSON line per event, with a timestamp of a hybrid logical
   clock, so that the events of all processes can be ordered.  */
#ifndef WY_TRACE_TRACE_H
#define WY_TRACE_TRACE_H

#include <stdint.h>

#include <glib.h>

#include "base/clock.h"

struct wy_trace;

enum wy_trace_error
{
  WY_TRACE_EOPEN = -901
};

struct wy_trace_options
{
  const char *process;     /* name of the process, such as "entry-1" */
  const char *incarnation; /* identifies one start of the process */
  const char *path;        /* file to append to, or NULL */
  uint32_t ring_size;      /* events kept in memory for readers */
  const struct wy_clock *clock;
};

int wy_trace_new (struct wy_trace **out, const struct wy_trace_options *o);
void wy_trace_free (struct wy_trace *t);
void wy_trace_event (struct wy_trace *t, const char *event, const char *fmt,
                     ...);
uint64_t wy_trace_timestamp (struct wy_trace *t);
void wy_trace_observe (struct wy_trace *t, uint64_t stamp);
uint64_t wy_trace_read (struct wy_trace *t, uint64_t after, GString *out);
const char *wy_trace_incarnation (const struct wy_trace *t);

#endif
