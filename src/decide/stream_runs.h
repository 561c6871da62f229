/* Which run of a streamed request writes the response to its caller.  */
#ifndef WY_DECIDE_STREAM_RUNS_H
#define WY_DECIDE_STREAM_RUNS_H

#include <stdbool.h>
#include <stdint.h>

/* The response to the caller.  */
struct wy_stream
{
  bool resumable; /* other runs may continue it */
  bool begun;     /* an event has been passed on */
  bool gapless;   /* each of its events has the id after the one before */
  uint32_t owner; /* number of the run that writes it; 0: none at present */
  int64_t last_event; /* id of the last one, or the caller's; -1: none */
};

/* A run of the request at a replica.  */
struct wy_stream_run
{
  uint32_t number;     /* from 1 */
  int64_t after_event; /* id that it was asked to continue after; -1: none */
  uint32_t n_events;   /* passed on */
  int64_t first_event; /* id of the first of these; -1: none */
  int64_t last_event;
};

enum wy_stream_event_step
{
  WY_STREAM_PASS,
  WY_STREAM_BEGIN,    /* cancel all other runs, then begin the response */
  WY_STREAM_DROP,     /* not part of the response */
  WY_STREAM_ABORT_RUN /* its events can't be part of the response */
};

/* A complete response of a run.  */
struct wy_stream_end
{
  bool has_events; /* status 200, and a body that may be a stream of events */
  bool in_event;   /* the body ends inside an event */
  bool
      has_length; /* by a length or in chunks; else it ends with the connection
                   */
};

enum wy_stream_end_step
{
  WY_STREAM_END,   /* of the response to the caller, which is complete */
  WY_STREAM_WHOLE, /* nothing was passed on: treat it like a response that
                      isn't streamed */
  WY_STREAM_FAILED /* the run has failed */
};

void wy_stream_init (struct wy_stream *s, bool resumable,
                     int64_t callers_event);
bool wy_stream_may_be_resumed (const struct wy_stream *s);
bool wy_stream_may_start_run (const struct wy_stream *s, bool is_running);
void wy_stream_run_started (const struct wy_stream *s, uint32_t number,
                            struct wy_stream_run *r);
enum wy_stream_event_step wy_stream_on_event (struct wy_stream *s,
                                              struct wy_stream_run *r,
                                              int64_t id, bool has_data);
enum wy_stream_end_step wy_stream_on_end (const struct wy_stream *s,
                                          const struct wy_stream_run *r,
                                          const struct wy_stream_end *e);
void wy_stream_run_ended (struct wy_stream *s, const struct wy_stream_run *r);

#endif
