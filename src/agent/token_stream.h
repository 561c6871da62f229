/* Event stream of a model run.  No I/O.  */
#ifndef WY_AGENT_TOKEN_STREAM_H
#define WY_AGENT_TOKEN_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inner/frame.h"

enum wy_token_stream_error
{
  WY_TOKEN_STREAM_EEVENT = -511,    /* not a valid event */
  WY_TOKEN_STREAM_ERUN = -512,      /* the event belongs to another run */
  WY_TOKEN_STREAM_ESEQUENCE = -513, /* a token is missing or repeated */
  WY_TOKEN_STREAM_ETOOLONG = -514
};

struct wy_token_stream
{
  const char *run;
  GString *partial; /* incomplete event */
  uint32_t n;       /* tokens so far */
  GArray *segments; /* struct wy_segment, from the versions of the tokens */
  bool done;        /* the last event was received */
  bool exported;    /* the run was exported; the stream ends here */
  bool proven;      /* the last event listed the same segments */
  char *finish;
};

void wy_token_stream_init (struct wy_token_stream *t, const char *run);
void wy_token_stream_clear (struct wy_token_stream *t);
int wy_token_stream_feed (struct wy_token_stream *t, const char *p, size_t n,
                          GByteArray *out);

#endif
