/* Structured log lines on standard output, for the engineer on call: one JSON
   object a line.  Never blocks: lines are kept in a bounded buffer and the
   ones that do not fit are counted.  */
#ifndef WY_TRACE_NOTE_H
#define WY_TRACE_NOTE_H

#include <stdint.h>

struct uv_loop_s;

void wy_note_open (struct uv_loop_s *loop, const char *process,
                   const char *incarnation);
void wy_note (const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void wy_note_flush (void);
uint64_t wy_note_dropped (void);
void wy_note_close (void);

#endif
